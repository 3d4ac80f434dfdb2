//! Directives of a process that is part of a fleet.

use stagehoist_config::{parse, Config};

const ALONE: &str = "\
class lookup aim 800ms give-up 2.5s
function free-times class lookup memory 64MB
function recurring class lookup memory 64MB
tenant other quota 50/s
tenant clinics quota 50/s
broker amqp://127.0.0.1:5672/
consume calls
worker-list file workers.list
";

const FLEET: &str = "\
fleet-front-ends 5
member a
keeper 1 127.0.0.1:7001
keeper 2 127.0.0.1:7002
keeper 3 127.0.0.1:7003
keep 2 listen 127.0.0.1:7002 store keeper-two
fleet-folder \"of a\"
view-lease 500ms
retirements retired.list
function later class lookup memory 64MB generation 3 retire strict
pool calls functions free-times,later* lanes 100
pool rest functions recurring lanes by-workers
reserve clinics pool calls lanes 40
reserve clinics pool rest lanes 4
marks marks
";

fn faults(text: &str) -> Vec<String> {
    parse("fleet.conf", text).unwrap_err().0.iter().map(|f| f.to_string()).collect()
}

fn read(more: &str) -> Config {
    parse("fleet.conf", &format!("{ALONE}{more}")).unwrap()
}

#[test]
fn a_fleet_is_parsed_with_its_defaults_and_rendered() {
    let config = read(FLEET);
    let fleet = config.fleet.as_ref().unwrap();
    assert_eq!((fleet.member.as_str(), fleet.keepers.len(), fleet.view_lease), ("a", 3, 500_000));
    assert_eq!((fleet.drift, fleet.remember, fleet.max_startup_wait), (0.01, 3_600_000_000, 2_000_000));
    let keep = fleet.keep.as_ref().unwrap();
    assert_eq!((keep.number, keep.store.as_str()), (2, "keeper-two"));
    assert_eq!(fleet.pools[0].functions, ["free-times", "later*"]);
    assert_eq!((fleet.pools[0].permits, fleet.pools[1].permits), (Some(100), None));
    assert_eq!(fleet.pools[0].reservations, [("clinics".to_string(), 40)]);
    let later = config.function("later").unwrap();
    assert_eq!((later.generation, later.strict), (3, true));
    assert!(!config.is_strict("free-times") && config.is_strict("later"));
    assert_eq!(parse("again.conf", &config.render()).unwrap(), config);
}

#[test]
fn without_fleet_directives_there_is_no_fleet() {
    let config = read("");
    assert_eq!(config.fleet, None);
    assert!(!config.render().contains("generation"));
    assert_eq!(parse("again.conf", &config.render()).unwrap(), config);
}

#[test]
fn inconsistent_directives_are_reported_with_position_and_expected_value() {
    let lines = ALONE.lines().count();
    let assert_fault = |more: &str, line: usize, rest: &str| {
        let expected = format!("fleet.conf:{}:{rest}", lines + line);
        let reported = faults(&format!("{ALONE}{more}"));
        assert!(
            reported.iter().any(|t| t.contains(&expected)),
            "expected fault {expected}\nnot found in\n{}",
            reported.join("\n")
        );
    };
    let with = |more: &str| format!("member a\nkeeper 1 127.0.0.1:7001\n{more}");
    assert_fault("member a\n", 1, "1: member without keepers; expected 1, 3 or 5 keeper lines");
    assert_fault("keeper 1 127.0.0.1:1\n", 1, "1: keeper without a member; expected a member line");
    assert_fault("keeper 0 127.0.0.1:1\n", 1, "8: number is \"0\"; expected a whole number from 1");
    assert_fault(&with("keeper 2 127.0.0.1:2\n"), 3, "1: 2 keepers; expected 1, 3 or 5 keeper lines");
    assert_fault(&with("keeper 1 127.0.0.1:2\n"), 3, "1: keeper is repeated");
    assert_fault(
        &with("keep 4 listen 127.0.0.1:4 store s\n"),
        3,
        "6: keep names keeper 4; expected the number of",
    );
    assert_fault(
        &with("view-lease 50ms\n"),
        3,
        "12: value is \"50ms\"; expected a duration with its unit (us, ms, s, m, h) from 100ms to 1m",
    );
    assert_fault(&with("drift 2%\n"), 3, "7: share is \"2%\"; expected a number from 0 to 0.2");
    assert_fault("retirements f\n", 1, "1: retirements without keepers; expected member and keeper lines");
    assert_fault("function x class lookup memory 1MB retire strict\n", 1, "43: retire without keepers");
    assert_fault(
        &with("function x@2 class lookup memory 1MB\n"),
        3,
        "10: function x@2; expected a name without @",
    );
    assert_fault(
        &with("pool p functions f lanes many\n"),
        3,
        "26: lanes is \"many\"; expected a whole number from 1, or by-workers",
    );
    assert_fault(
        &with("pool p functions f,g lanes 1\npool q functions g lanes 1\n"),
        4,
        "18: pool q includes g, as does pool p",
    );
    let pool = with("pool p functions f lanes 10\nreserve clinics pool p lanes 6\n");
    assert_fault(
        &format!("{pool}reserve clinics pool p lanes 1\n"),
        5,
        "1: reserve clinics is repeated for pool p",
    );
    assert_fault(&format!("{pool}reserve clinics pool q lanes 1\n"), 5, "22: reserve names pool q");
    assert_fault(
        &with("pool p functions f lanes 5\nreserve clinics pool p lanes 6\n"),
        4,
        "30: 6 lanes of pool p are reserved; expected at most its 5",
    );
    assert_fault(&format!("{pool}reserve nobody pool p lanes 1\n"), 5, "9: reserve names tenant nobody");
    // Calls without a tenant are counted for the first tenant, which can't have a reservation.
    assert_fault(
        &format!("{pool}reserve other pool p lanes 1\n"),
        5,
        "9: reserve names tenant other, which owns the",
    );
    assert_fault(&pool, 3, "1: pool without fleet-front-ends; expected a fleet-front-ends line");
    let pool = with("pool p functions f lanes 10\n");
    assert!(parse("f.conf", &format!("{ALONE}fleet-front-ends 2\n{pool}")).is_ok());
    // The tenant of a reservation must also exist if no tenant is configured.
    let alone = ALONE.replace("tenant other quota 50/s\ntenant clinics quota 50/s\n", "");
    let reported = faults(&format!("{alone}fleet-front-ends 2\n{pool}reserve clinics pool p lanes 1\n"));
    assert!(reported.iter().any(|t| t.contains("reserve names tenant clinics")), "{reported:?}");
}

#[test]
fn pools_need_keepers() {
    let reported = faults(&format!("{ALONE}fleet-front-ends 2\npool p functions f lanes 10\n"));
    assert!(reported.iter().any(|t| t.contains("pool without keepers")), "{reported:?}");
}

#[test]
fn marks_without_keepers_need_a_single_front_end_and_are_kept_longer_than_any_call() {
    let lines = ALONE.lines().count();
    let config = read("marks \"of a\" keep 30s most 5000\n");
    let marks = config.marks.as_ref().unwrap();
    assert_eq!((marks.folder.as_str(), marks.keep, marks.most), ("of a", 30_000_000, 5000));
    assert_eq!(parse("again.conf", &config.render()).unwrap(), config);
    assert_eq!(read("").marks, None);
    let short = faults(&format!("{ALONE}marks m keep 2.5s\n"));
    let at = format!("fleet.conf:{}:14: marks are kept no longer than the longest give-up", lines + 1);
    assert!(short[0].contains(&at), "{short:?}");
    for two in ["front-ends 2\n", "fleet-front-ends 2\n"] {
        let faults = faults(&format!("{ALONE}{two}marks m\n"));
        assert!(faults[0].contains("marks without keepers for 2 front ends"), "{faults:?}");
    }
}

#[test]
fn recovery_is_parsed_with_its_defaults_and_requires_a_fleet_folder() {
    let recover = |line: &str| read(&format!("{FLEET}{line}")).fleet.unwrap().recover;
    assert_eq!(recover(""), None);
    let all = recover("recover\n").unwrap();
    assert_eq!((all.waking, all.asking, all.reserved), (2_000_000, 3_000_000, 20_000_000));
    assert_eq!((all.share, all.new), (0.05, 60_000_000));
    let some = recover("recover asking 1s share 0.5\n").unwrap();
    assert_eq!((some.waking, some.asking, some.share), (2_000_000, 1_000_000, 0.5));
    let config = read(&format!("{FLEET}recover reserved 10s new 5s\n"));
    assert_eq!(parse("again.conf", &config.render()).unwrap(), config);
    let without = format!("{ALONE}{FLEET}recover\n").replace("fleet-folder \"of a\"\n", "");
    assert!(faults(&without)[0].contains("recover without a fleet-folder"), "{:?}", faults(&without));
    assert!(faults(&format!("{ALONE}recover\n"))[0].contains("recover without keepers"));
    assert_eq!(faults(&format!("{ALONE}{FLEET}recover share 0\n")).len(), 1);
}
