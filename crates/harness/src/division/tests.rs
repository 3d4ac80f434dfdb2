use super::*;
use crate::layout::Layout;
use std::collections::BTreeSet;

const DAY: &str = "front-ends 24\nmachines 3\nworkers 24\nshards 8\nrate 200/s\n";

fn day() -> Day {
    Day::parse("day", DAY).unwrap()
}

#[test]
fn a_change_goes_through_its_stages_and_ends() {
    let mut division = Division::new(8);
    let mut lines = Vec::new();
    while let Some(further) = division.further(9) {
        division = further;
        lines.push(division.line(&day(), 5));
    }
    let rest = "calls 200/s workers 24 first 5\n";
    assert_eq!(lines[0], format!("shards 8 generation 1 next 9 stage announced {rest}"));
    assert_eq!(lines[1], format!("shards 8 generation 1 next 9 stage both {rest}"));
    assert_eq!(lines[2], format!("shards 8 generation 1 next 9 stage closing {rest}"));
    assert_eq!(lines[3..], [format!("shards 9 generation 2  {rest}")]);
    assert_eq!(division.further(9), None);
}

#[test]
fn callers_compute_the_homes_that_front_ends_are_told() {
    let mut day = day();
    for stage in
        [None, Some(TransitionPhase::Announced), Some(TransitionPhase::Both), Some(TransitionPhase::Closing)]
    {
        day.division = Some(Division { next: stage.map(|s| (9, s)), ..Division::new(8) });
        let text = Layout::of(&day).config(&day, 7, "127.0.0.1:8", "127.0.0.1:9");
        let config = stagehoist_config::parse("front-end", &text).unwrap();
        let told = config.sharding.unwrap();
        let homes = HomeShards::new(told.divisions.addressed(), told.calls, &told.hot).unwrap();
        let addresses = Addresses::of(&day).unwrap();
        let mut used = BTreeSet::new();
        for call in 0..2_000u64 {
            let function = match call % 4 {
                0 => "free-times".to_string(),
                1 => "clashes".to_string(),
                2 => "recurring".to_string(),
                _ => format!("rare-{:03}", call / 4),
            };
            let queue = addresses.queue(&function, call);
            assert_eq!(
                queue,
                shard_queue(
                    told.divisions.addressed().generation(),
                    homes.for_call(Key::of(&function), call)
                )
            );
            used.insert(queue);
        }
        let all: BTreeSet<String> = addresses.queues().into_iter().collect();
        assert_eq!(all.len(), if stage >= Some(TransitionPhase::Both) { 9 } else { 8 });
        assert_eq!(used, all, "{stage:?}");
    }
}

#[test]
fn a_day_without_shards_sends_all_to_one_queue_and_tells_nothing_of_them() {
    let day = Day::parse("day", "front-ends 3\n").unwrap();
    let addresses = Addresses::of(&day).unwrap();
    assert_eq!((addresses.queue("clashes", 3), addresses.queues()), (QUEUE.into(), vec![QUEUE.to_string()]));
    assert!(!Layout::of(&day).config(&day, 0, "127.0.0.1:8", "127.0.0.1:9").contains("shard"));
}

#[test]
fn absurd_days_are_told() {
    let faults = |text: &str| -> Vec<String> {
        Day::parse("day", text).unwrap_err().iter().map(|f| format!("{}: {}", f.at.line, f.what)).collect()
    };
    assert_eq!(faults("front-ends 5\nmachines 2\n"), ["1: 5 front ends on 2 machines"]);
    assert_eq!(faults("shards 0\n"), ["1: 0 shards"]);
    assert_eq!(faults("workers 4\nfront-ends 24\nshards 5\n"), ["1: 5 shards"]);
    assert_eq!(faults("at 1s shards 2\n"), ["1: a change of shards on a day without them"]);
    assert_eq!(faults("owners list\n"), ["1: owners by a list on a day without shards"]);
    assert_eq!(
        faults(&format!("{DAY}owners list\nat 1s shards 9\n")),
        ["7: a change of shards beside a list of owners"]
    );
    assert_eq!(faults(&format!("{DAY}owners us\n")), ["6: found \"us\""]);
    assert!(Day::parse("day", &format!("{DAY}owners list\n")).unwrap().owners_listed);
    let stands = faults(&format!("{DAY}at 1s machine 3 kill for 1s\n"));
    assert!(stands.len() == 1 && stands[0].ends_with("names a machine that does not stand"), "{stands:?}");
    let day = Day::parse("day", &format!("{DAY}at 1s machine 2 stop for 1s\n")).unwrap();
    assert_eq!((day.of_machine(0), day.of_machine(2)), (0..8, 16..24));
}
