//! Directives that divide the fleet into shards.

use stagehoist_config::{parse, Config};
use stagehoist_sharding::TransitionPhase;

const BASE: &str = "\
class lookup aim 800ms give-up 2.5s
broker amqp://127.0.0.1:5672/
consume calls
worker-list file workers.list
zone-names north,south
zone north
front-ends 3
fleet-front-ends 24
";

const ALL_DIRECTIVES: &str = "\
shards 8 generation 7 next 9 stage both calls 1000/s workers 24 first 6
shard 8 weight 3
shard-front-ends north 14
shard-front-ends south 10
function payroll class lookup memory 64MB calls 300/s
function roster class lookup memory 64MB spread 2
function rare-* class lookup memory 64MB
tenant hall quota 50/s functions payroll,roster
tenant other quota 50/s
";

const FUNCTION: &str = "function f class lookup memory 1MB\n";

fn read(more: &str) -> Config {
    parse("s.conf", &format!("{BASE}{more}")).unwrap()
}

fn faults(text: &str) -> Vec<String> {
    parse("s.conf", text).unwrap_err().0.iter().map(|f| f.to_string()).collect()
}

#[test]
fn shards_are_parsed_and_rendered() {
    let config = read(ALL_DIRECTIVES);
    let sharding = config.sharding.as_ref().unwrap();
    let (old, new) = (sharding.divisions.old(), sharding.divisions.next().unwrap());
    assert_eq!((old.shards(), old.generation(), new.shards(), new.generation()), (8, 7, 9, 8));
    assert_eq!(
        (sharding.divisions.phase(), new.weight(8), new.weight(7)),
        (Some(TransitionPhase::Both), 3, 1)
    );
    assert_eq!((sharding.calls, sharding.workers, sharding.first), (1_000.0, Some(24), 6));
    assert_eq!(sharding.zones, [(0, 14), (1, 10)]);
    assert_eq!(
        (sharding.hot[0].calls, sharding.hot[0].spread, sharding.hot[1].spread),
        (300.0, None, Some(2))
    );
    assert_eq!(sharding.tenants["hall"], ["payroll", "roster"]);
    assert_eq!(parse("again.conf", &config.render()).unwrap(), config);
}

#[test]
fn the_maximum_length_of_the_worker_list_is_configurable() {
    let config = read(&format!("{FUNCTION}workers-most 65536\nshards 24 generation 1 workers 30000\n"));
    assert_eq!(config.max_workers, 65_536);
    assert_eq!(parse("again.conf", &config.render()).unwrap(), config);
    assert_eq!(read(FUNCTION).max_workers, 10_000);
}

#[test]
fn sharding_defaults() {
    let config = read(&format!("{FUNCTION}shards 8 generation 1\n"));
    let sharding = config.sharding.as_ref().unwrap();
    assert_eq!(
        (sharding.divisions.phase(), sharding.calls, sharding.workers, sharding.first),
        (None, 0.0, None, 0)
    );
    assert_eq!((&sharding.zones[..], sharding.hot.len()), (&[(0, 12), (1, 12)][..], 0));
    assert_eq!(parse("again.conf", &config.render()).unwrap(), config);
}

#[test]
fn without_the_shards_directive_the_fleet_is_not_divided() {
    let config = read(FUNCTION);
    assert_eq!(config.sharding, None);
    let rendered = config.render();
    assert!(!rendered.contains("shard") && !rendered.contains("/s") && !rendered.contains("spread"));
    assert_eq!(parse("again.conf", &config.render()).unwrap(), config);
}

#[test]
fn invalid_settings_are_reported_with_file_and_line() {
    let assert_fault = |more: &str, line: usize, rest: &str| {
        let expected = format!("s.conf:{}:{rest}", BASE.lines().count() + 1 + line);
        let reported = faults(&format!("{BASE}{FUNCTION}{more}"));
        assert!(
            reported.iter().any(|t| t.contains(&expected)),
            "expected fault {expected}\nnot found in\n{}",
            reported.join("\n")
        );
    };
    assert_fault("shards 0 generation 1\n", 1, "8: count is \"0\"; expected a whole number from 1 to 4096");
    assert_fault(
        "shards 5000 generation 1\n",
        1,
        "8: count is \"5000\"; expected a whole number from 1 to 4096",
    );
    assert_fault("shards 8 generation 0\n", 1, "21: generation is \"0\"; expected a whole number from 1");
    assert_fault(
        "shards 8 generation 1 workers 7\n",
        1,
        "8: 8 shards for 7 workers: some shards would have no worker; expected at most as many shards as workers",
    );
    assert_fault(
        "shards 8 generation 1 workers 10001\n",
        1,
        "31: more workers than the limit of 10000; expected at most as many as workers-most",
    );
    assert_fault(
        "workers-most 20\nshards 8 generation 1 workers 21\n",
        2,
        "31: more workers than the limit of 20",
    );
    assert_fault(
        "workers-most 65537\n",
        1,
        "14: count is \"65537\"; expected a whole number from 1 to 65536",
    );
    assert_fault("workers-most 0\n", 1, "14: count is \"0\"; expected a whole number from 1 to 65536");
    assert_fault(
        "shards 200 generation 1\n",
        1,
        "8: 200 shards for 12 front ends of a zone: each front end would serve more than 16 shards",
    );
    assert_fault(
        "shards 8 generation 1 next 9\n",
        1,
        "28: next without a stage; expected stage announced, both or closing",
    );
    assert_fault("shards 8 generation 1 stage both\n", 1, "29: stage without a next number of shards");
    assert_fault("shards 8 generation 1 next 300 stage both\n", 1, "28: 300 shards for 12 front ends");
    assert_fault(
        "shards 8 generation 1 first 22\n",
        1,
        "29: front ends 22 to 24 of 24; expected numbers below",
    );
    assert_fault(
        "shards 8 generation 1\nshard 8 weight 2\n",
        2,
        "7: shard 8 of 8; expected a number from 0 to 7",
    );
    assert_fault(
        "shards 8 generation 1\nshard 1 weight 17\n",
        2,
        "16: weight is \"17\"; expected a whole number from 1 to 16",
    );
    assert_fault("shards 8 generation 1\nshard 1 weight 2\nshard 1 weight 3\n", 3, "1: shard is repeated");
    assert_fault(
        "shards 8 generation 1\nshard-front-ends east 30\n",
        2,
        "18: zone east is not known; expected one of",
    );
    assert_fault(
        "shards 8 generation 1\nshard-front-ends north 20\n",
        2,
        "24: 20 front ends in zones, 24 in the fleet",
    );
    let shards = "shards 8 generation 1\n";
    let pool = "member a\nkeeper 1 127.0.0.1:1\npool p functions f lanes 5\n";
    assert_fault(&format!("{shards}{pool}"), 1, "8: shards together with pools; expected only one of them");
    assert_fault(
        &format!("{shards}function x class lookup memory 1MB spread 9\n"),
        2,
        "43: function x spread over more",
    );
    assert_fault(
        &format!("{shards}function x* class lookup memory 1MB calls 9/s\n"),
        2,
        "43: calls of function x*",
    );
    assert_fault(
        &format!("{shards}tenant t quota 1/s functions a*\n"),
        2,
        "30: functions of tenant t; expected names",
    );
    assert_fault("shard 1 weight 2\n", 1, "1: shard without shards; expected a shards line");
    assert_fault("shard-front-ends north 24\n", 1, "1: shard-front-ends without shards");
    assert_fault("function x class lookup memory 1MB calls 9/s\n", 1, "42: calls without shards");
    assert_fault("tenant t quota 1/s functions a\n", 1, "30: functions without shards");
    let nowhere = format!("{}{FUNCTION}shards 8 generation 1\n", BASE.replace("zone north\n", ""));
    assert!(faults(&nowhere)
        .iter()
        .any(|f| f.contains("s.conf:9:8: shards without a zone; expected a zone line")));
}
