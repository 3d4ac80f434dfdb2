//! The directive that names the list of front ends of a sharded fleet.

use stagehoist_config::{parse, Config, FrontEndsList, ListSource};

const BASE: &str = "\
class lookup aim 800ms give-up 2.5s
function f class lookup memory 1MB
broker amqp://127.0.0.1:5672/
consume calls
worker-list file workers.list
fleet-front-ends 4
";

fn read(more: &str) -> Config {
    parse("l.conf", &format!("{BASE}{more}")).unwrap()
}

#[test]
fn a_list_is_parsed_and_rendered() {
    let consul =
        ListSource::Consul { address: "127.0.0.1:8500".into(), service: "gateways".into(), wait: 30_000_000 };
    let file = ListSource::File { path: "front ends.list".into(), poll: 250_000 };
    for (line, source, pause, name, interval) in [
        (
            "consul http://127.0.0.1:8500/ service gateways wait 30s pause 5s name gw",
            consul,
            5_000_000,
            "gw",
            5_000_000,
        ),
        ("file \"front ends.list\"", file, 0, "front-end", 250_000),
    ] {
        let config = read(&format!("shards 4 generation 1\nshard-front-ends-list {line}\n"));
        let list = FrontEndsList { source, pause, name: name.into() };
        assert_eq!(config.front_ends_list.as_ref(), Some(&list));
        assert_eq!(list.interval(), interval);
        assert_eq!(parse("again.conf", &config.render()).unwrap(), config);
    }
    let defaults = read("shards 4 generation 1\nshard-front-ends-list consul h:1\n").front_ends_list.unwrap();
    let source = ListSource::Consul { address: "h:1".into(), service: "front-ends".into(), wait: 10_000_000 };
    assert_eq!(defaults, FrontEndsList { source, pause: 1_000_000, name: "front-end".into() });
}

#[test]
fn without_the_list_directive_front_ends_own_shards_by_number() {
    let config = read("shards 4 generation 1\n");
    assert_eq!(config.front_ends_list, None);
    assert!(!config.render().contains("front-ends-list"));
}

#[test]
fn invalid_settings_are_reported_with_file_and_line() {
    let assert_fault = |more: &str, line: usize, rest: &str| {
        let expected = format!("l.conf:{}:{rest}", BASE.lines().count() + line);
        let faults = parse("l.conf", &format!("{BASE}{more}")).unwrap_err();
        let reported: Vec<String> = faults.0.iter().map(|f| f.to_string()).collect();
        assert!(
            reported.iter().any(|t| t.contains(&expected)),
            "expected fault {expected}\nnot found in\n{}",
            reported.join("\n")
        );
    };
    let shards = "shards 4 generation 1\n";
    let list = |rest: &str| format!("{shards}shard-front-ends-list {rest}\n");
    assert_fault(
        "shard-front-ends-list file a\n",
        1,
        "1: shard-front-ends-list without shards; expected a shards",
    );
    assert_fault(
        &list("file a wait 5s"),
        2,
        "35: wait is not valid with this source; expected source consul for this key",
    );
    assert_fault(
        &list("file a pause 5s"),
        2,
        "36: pause is not valid with this source; expected source consul for this key",
    );
    assert_fault(
        &list("file a service s"),
        2,
        "38: service is not valid with this source; expected source consul for this key",
    );
    assert_fault(
        &list("consul h:1 poll 1s"),
        2,
        "39: poll is not valid with this source; expected source file for this key",
    );
    assert_fault(&list("consul h:1 wait 10ms"), 2, "39: wait is \"10ms\"; expected a duration with its unit");
    assert_fault(&list("file a name \"\""), 2, "35: name is \"\"; expected some text");
    assert_fault(&list("file a name \"a b\""), 2, "35: not a valid entry name; expected a word");
    assert_fault(&list("file \"\""), 2, "28: where is \"\"; expected some text");
    assert_fault(
        &list("file workers.list"),
        2,
        "28: the list of front ends is the same as that of workers; expected a separate list",
    );
    assert_fault(&list("dns a"), 2, "23: source is \"dns\"");
    assert_fault(&list("file"), 2, "1: shard-front-ends-list is missing its where; expected some text");
    assert_fault(
        &format!("{}shard-front-ends-list file b\n", list("file a")),
        3,
        "1: shard-front-ends-list is repeated",
    );
}
