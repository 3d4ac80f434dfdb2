//! The list of front ends as it is followed: by a file and by blocking queries, through failures and after them.

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

/// Names of the next list; None: it could not be had.
async fn next(news: &mut mpsc::Receiver<Input>) -> Option<Vec<String>> {
    match tokio::time::timeout(LONG, news.recv()).await.expect("no news in time") {
        Some(Input::FrontEndList(list)) => list.map(|l| l.into_iter().map(|e| e.name).collect()),
        other => panic!("{other:?}"),
    }
}

fn on_a_thread_of_its_own(test: impl std::future::Future<Output = ()>) {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&rt, test);
}

#[test]
fn a_file_is_told_whole_and_one_that_is_malformed_as_a_failure_once() {
    on_a_thread_of_its_own(async {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("front-ends.list");
        std::fs::write(&path, "a generations 1\n").unwrap();
        let (news, mut told) = mpsc::channel(64);
        let (_asks, asked) = mpsc::unbounded_channel();
        let config = config(&format!("file {} poll 10ms", path.display()));
        tokio::task::spawn_local(watch(config, 1, Clock::new(), news, asked));
        assert_eq!(next(&mut told).await, Some(vec!["a".to_string()]));
        std::fs::write(&path, "a generations\n").unwrap();
        assert_eq!(next(&mut told).await, None);
        std::fs::write(&path, "a generations 1\nb generations 1-2\n").unwrap();
        // Nothing between: a failure is reported once, and a file that is the same not at all.
        assert_eq!(next(&mut told).await, Some(vec!["a".to_string(), "b".to_string()]));
    });
}

#[test]
fn a_catalog_that_fails_is_asked_again_and_its_list_is_told_when_it_answers() {
    on_a_thread_of_its_own(async {
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
        let (news, mut told) = mpsc::channel(64);
        let (_asks, asked) = mpsc::unbounded_channel();
        let config = config(&format!("consul http://{address} wait 30s pause 10ms"));
        tokio::task::spawn_local(watch(config, 1, Clock::new(), news, asked));
        assert_eq!(next(&mut told).await, Some(vec!["a".to_string()]));
        registry.set_failing(true);
        assert_eq!(next(&mut told).await, None);
        put("b");
        registry.set_failing(false);
        let mut then = next(&mut told).await;
        while then.is_none() {
            then = next(&mut told).await;
        }
        assert_eq!(then, Some(vec!["a".to_string(), "b".to_string()]));
        registry.remove("a");
        assert_eq!(next(&mut told).await, Some(vec!["b".to_string()]));
    });
}
