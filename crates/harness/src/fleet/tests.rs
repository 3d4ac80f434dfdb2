use super::*;
use crate::day::Day;

fn fleet(text: &str) -> Fleet {
    Day::parse("day", text).unwrap().fleet
}

#[test]
fn a_front_end_without_keepers_is_told_nothing() {
    let files = Files::of(Path::new("/f"), 0);
    assert_eq!(lines(&Fleet::default(), 0, &[], "", &files), "");
}

#[test]
fn a_keeper_is_told_where_it_listens_and_a_member_only_where_keepers_are() {
    let fleet = fleet(
        "front-ends 5\nkeepers 3\nview-lease 800ms\nmarks yes\ntenant clinic quota 1000/s\n\
         pool lanes functions clashes,rare-* lanes 40\nreserve clinic pool lanes lanes 16\n",
    );
    let keepers = ["127.0.0.1:1".to_string(), "127.0.0.1:2".to_string(), "127.0.0.1:3".to_string()];
    let first = lines(&fleet, 0, &keepers, "127.0.0.1:9", &Files::of(Path::new("/f"), 0));
    let shared = "tenant clinic quota 1000/s\npool lanes functions clashes,rare-* lanes 40\n\
                  reserve clinic pool lanes lanes 16\n";
    let told = "keeper 1 127.0.0.1:1\nkeeper 2 127.0.0.1:2\nkeeper 3 127.0.0.1:3\n";
    let terms = "view-lease 800ms\nremember 600000ms\n";
    assert_eq!(
        first,
        format!(
            "member fe-0\n{told}keep 1 listen 127.0.0.1:9 store /f/store-0\nfleet-folder /f/fleet-0\n\
             {terms}retirements /f/retirements\n{shared}marks /f/marks-0 keep 4s\n"
        )
    );
    let fourth = lines(&fleet, 3, &keepers, "", &Files::of(Path::new("/f"), 3));
    assert_eq!(
        fourth,
        format!("member fe-3\n{told}fleet-folder /f/fleet-3\n{terms}{shared}marks /f/marks-3 keep 4s\n")
    );
}

fn word(at: u32, message: &str, keeper: u32, target: &str) -> String {
    format!(
        "{{\"timestamp\":\"2026-01-01T00:00:00.{at:06}Z\",\"level\":\"INFO\",\"message\":\"{message}\",\
         \"keeper\":{keeper},\"target\":\"{target}\"}}\n"
    )
}

#[test]
fn a_member_is_known_by_its_name_with_and_without_the_number_in_its_process() {
    assert_eq!(front_end(&member(7)), Some(7));
    assert_eq!([front_end("fe-4/0"), front_end("fe-x"), front_end("b/1")], [Some(4), None, None]);
}

#[test]
fn a_keeper_that_tells_of_another_leader_in_other_words_leads_no_more() {
    let named = |event: &str, message: &str, at: u32| {
        format!(
            "{{\"timestamp\":\"2026-01-01T00:00:00.{at:06}Z\",\"event\":\"{event}\",\"keeper\":1,\"message\":\"{message}\",\
             \"target\":\"stagehoist_consensus\"}}\n"
        )
    };
    let leading = named("following", "who leads has changed", 1) + &named("leading", "leading", 2);
    assert_eq!(leader([(0, leading.as_str())].into_iter()), Some(0));
    let over = leading + &named("following", "no longer leading", 3);
    assert_eq!(leader([(0, over.as_str())].into_iter()), None);
}

#[test]
fn the_leader_is_whoever_said_last_that_it_leads_and_took_nothing_back() {
    let ours = "stagehoist_consensus::node";
    let find = |logs: &[&str]| leader(logs.iter().enumerate().map(|(n, log)| (n as u32, *log)));
    let one = word(1, "leading", 1, ours) + &word(5, "following", 1, ours);
    let two = word(2, "following", 2, ours) + &word(4, "leading", 2, ours) + "not json\n";
    let three = word(3, "leading", 3, ours);
    assert_eq!(find(&[&one, &two, &three]), Some(1));
    assert_eq!(find(&[&one, "", &three]), Some(2));
    assert_eq!(find(&[&one]), None);
    // Words of others, and of another replica, count for nothing.
    let strange = word(9, "leading", 1, "elsewhere") + &word(9, "leading", 2, ours);
    assert_eq!(find(&[&strange]), None);
}

#[test]
fn every_configuration_of_the_days_passes_the_check() {
    use crate::layout::Layout;
    for name in ["retire", "fleet-trouble", "power-loss"] {
        let file = format!("{}/../../days/{name}.day", env!("CARGO_MANIFEST_DIR"));
        let day = Day::parse(name, &std::fs::read_to_string(&file).unwrap()).unwrap();
        let keepers: Vec<String> = (1..=day.fleet.keepers).map(|n| format!("127.0.0.1:{n}")).collect();
        let folder = tempfile::tempdir().unwrap();
        for front_end in 0..day.front_ends {
            let files = Files::of(folder.path(), front_end);
            let text = Layout::of(&day).config(&day, front_end, "127.0.0.1:8", "127.0.0.1:9")
                + &lines(&day.fleet, front_end, &keepers, "127.0.0.1:1", &files);
            let path = folder.path().join("conf");
            std::fs::write(&path, &text).unwrap();
            if let Err(faults) = stagehoist_config::load(&path) {
                panic!("{name} {front_end}: {faults:#?}\n{text}");
            }
        }
    }
}
