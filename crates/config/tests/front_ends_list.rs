//! The directive that names a divided fleet's list of front ends.

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
fn a_list_is_read_and_written_back() {
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
fn without_its_directive_front_ends_own_by_number() {
    let config = read("shards 4 generation 1\n");
    assert_eq!(config.front_ends_list, None);
    assert!(!config.render().contains("front-ends-list"));
}

#[test]
fn nonsense_is_told_with_file_and_line() {
    let told = |more: &str, line: usize, rest: &str| {
        let expected = format!("l.conf:{}:{rest}", BASE.lines().count() + line);
        let faults = parse("l.conf", &format!("{BASE}{more}")).unwrap_err();
        let told: Vec<String> = faults.0.iter().map(|f| f.to_string()).collect();
        assert!(told.iter().any(|t| t.contains(&expected)), "{expected}\nnot in\n{}", told.join("\n"));
    };
    let shards = "shards 4 generation 1\n";
    let list = |rest: &str| format!("{shards}shard-front-ends-list {rest}\n");
    told("shard-front-ends-list file a\n", 1, "1: shard-front-ends-list without shards; expected a shards");
    told(&list("file a wait 5s"), 2, "35: wait with this source; expected it with consul only");
    told(&list("file a pause 5s"), 2, "36: pause with this source; expected it with consul only");
    told(&list("file a service s"), 2, "38: service with this source; expected it with consul only");
    told(&list("consul h:1 poll 1s"), 2, "39: poll with this source; expected it with file only");
    told(&list("consul h:1 wait 10ms"), 2, "39: wait is \"10ms\"; expected a duration with its unit");
    told(&list("file a name \"\""), 2, "35: name is \"\"; expected some text");
    told(&list("file a name \"a b\""), 2, "35: no name of an entry; expected a word");
    told(&list("file \"\""), 2, "28: where is \"\"; expected some text");
    told(&list("file workers.list"), 2, "28: the list of workers as that of front ends; expected a list");
    told(&list("dns a"), 2, "23: source is \"dns\"");
    told(&list("file"), 2, "1: shard-front-ends-list lacks its where; expected some text");
    told(&format!("{}shard-front-ends-list file b\n", list("file a")), 3, "1: shard-front-ends-list stands");
}
