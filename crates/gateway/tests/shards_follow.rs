//! Tests of following the list of front ends, by a file and by blocking queries, through failures and after them.

use stagehoist_config::{parse, Config};
use stagehoist_emulator::list::{Listed, Registry};
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::discovery::front_ends::watch;
use stagehoist_gateway::state::Input;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

const LONG: Duration = Duration::from_secs(30);

fn config(list: &str) -> Rc<Config> {
    let text = format!(
        "class lookup aim 800ms give-up 2500ms\nfunction f class lookup memory 64MB\n\
         broker amqp://127.0.0.1:1/\nconsume calls\nworker-list file none\nfleet-front-ends 4\n\
         shards 4 generation 1\nshard-front-ends-list {list}\n"
    );
    Rc::new(parse("f.conf", &text).unwrap())
}

/// Returns the names in the next list; `None` if the list failed.
async fn next(inputs: &mut mpsc::Receiver<Input>) -> Option<Vec<String>> {
    match tokio::time::timeout(LONG, inputs.recv()).await.expect("no input in time") {
        Some(Input::FrontEndList(list)) => list.map(|l| l.into_iter().map(|e| e.name).collect()),
        other => panic!("{other:?}"),
    }
}

fn run_local(test: impl std::future::Future<Output = ()>) {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&rt, test);
}

#[test]
fn a_file_is_reported_completely_and_a_malformed_one_as_a_failure_once() {
    run_local(async {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("front-ends.list");
        std::fs::write(&path, "a generations 1\n").unwrap();
        let (inputs, mut received) = mpsc::channel(64);
        let (_requests, request_receiver) = mpsc::unbounded_channel();
        let config = config(&format!("file {} poll 10ms", path.display()));
        tokio::task::spawn_local(watch(config, 1, Clock::new(), inputs, request_receiver));
        assert_eq!(next(&mut received).await, Some(vec!["a".to_string()]));
        std::fs::write(&path, "a generations\n").unwrap();
        assert_eq!(next(&mut received).await, None);
        std::fs::write(&path, "a generations 1\nb generations 1-2\n").unwrap();
        // No input in between: a failure is reported once, and an unchanged file is not reported.
        assert_eq!(next(&mut received).await, Some(vec!["a".to_string(), "b".to_string()]));
    });
}

#[test]
fn a_failing_catalog_is_queried_again_and_its_list_is_reported_when_it_recovers() {
    run_local(async {
        let registry = Registry::new();
        let put = |name: &str| {
            let (name, zone, kind) = (name.to_string(), String::new(), String::new());
            registry.tag(&name, &["generation-1"]);
            registry.put(Listed { name, zone, kind, cell: 0, capacity: 1.0, started_ms: 0, draining: false });
        };
        put("a");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let addresses = ["a", "b"].map(|n| (n.to_string(), "127.0.0.1:9".to_string())).into();
        tokio::task::spawn_local(registry.clone().serve(listener, addresses));
        let (inputs, mut received) = mpsc::channel(64);
        let (_requests, request_receiver) = mpsc::unbounded_channel();
        let config = config(&format!("consul http://{address} wait 30s pause 10ms"));
        tokio::task::spawn_local(watch(config, 1, Clock::new(), inputs, request_receiver));
        assert_eq!(next(&mut received).await, Some(vec!["a".to_string()]));
        registry.set_failing(true);
        assert_eq!(next(&mut received).await, None);
        put("b");
        registry.set_failing(false);
        let mut recovered = next(&mut received).await;
        while recovered.is_none() {
            recovered = next(&mut received).await;
        }
        assert_eq!(recovered, Some(vec!["a".to_string(), "b".to_string()]));
        registry.remove("a");
        assert_eq!(next(&mut received).await, Some(vec!["b".to_string()]));
    });
}
