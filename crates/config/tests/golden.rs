//! Golden files: configurations with every directive, and their rendered form as written by the build before the
//! packages were renamed. The files never change with the code: a difference means that the name or meaning of a setting
//! changed.

use stagehoist_config::parse;

fn assert_rendered(name: &str, text: &str, golden: &str) {
    let config = parse(name, text).unwrap_or_else(|faults| panic!("{faults}"));
    let rendered = config.render();
    assert!(rendered == golden, "{name} is rendered differently from its golden file; now:\n{rendered}");
    assert_eq!(parse("rendered.conf", golden).unwrap(), config);
}

#[test]
fn every_directive_of_a_fleet_is_parsed_and_rendered_as_before() {
    assert_rendered(
        "fleet.conf",
        include_str!("golden/fleet.conf"),
        include_str!("golden/fleet.rendered.conf"),
    );
}

#[test]
fn every_directive_of_a_divided_fleet_is_parsed_and_rendered_as_before() {
    assert_rendered(
        "divided.conf",
        include_str!("golden/divided.conf"),
        include_str!("golden/divided.rendered.conf"),
    );
}
