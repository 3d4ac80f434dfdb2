//! A worker on its socket: a version of a model is loaded, asked and unloaded apart from the model's first.

use stagehoist_emulator::store;
use stagehoist_emulator::worker::{self, Catalogue, Program, Spec, WorkerOptions};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The status and the body of an answer.
async fn ask(address: &str, line: &str, body: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = body.len();
    let head = format!("{line} HTTP/1.1\r\nhost: w\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_string())
}

async fn with_a_worker(told: impl AsyncFnOnce(&str)) {
    let local = tokio::task::LocalSet::new();
    let play = local.run_until(async {
        let program = Program { memory: 100, lanes: 1, start: 1000, run: 1000 };
        let (near, far) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let address = near.local_addr().unwrap().to_string();
        let options = WorkerOptions {
            name: "w".into(),
            spec: Spec { load_on_miss: false, ..Spec::default() },
            catalogue: Arc::new(Catalogue(vec![("f".into(), program)])),
            store: far.local_addr().unwrap().to_string(),
            seed: 1,
        };
        tokio::task::spawn_local(store::serve(far, Default::default(), Arc::default()));
        tokio::task::spawn_local(worker::run(near, options, Arc::default(), true));
        told(&address).await;
    });
    tokio::time::timeout(std::time::Duration::from_secs(60), play).await.expect("an answer");
}

#[tokio::test]
async fn a_version_is_loaded_asked_and_unloaded_apart_from_the_first() {
    with_a_worker(async |w: &str| {
        let second = "{\"parameters\":{\"version\":\"2\"}}";
        assert_eq!(ask(w, "POST /v2/models/f/versions/2/infer", "{}").await.0, 404, "not loaded yet");
        assert_eq!(ask(w, "POST /v2/repository/models/f/load", second).await.0, 200);
        assert_eq!(ask(w, "GET /v2/models/f/versions/2/ready", "").await.0, 200);
        assert_eq!(ask(w, "POST /v2/models/f/versions/2/infer", "{\"id\":\"c\"}").await.0, 200);
        for first in
            ["GET /v2/models/f/ready", "POST /v2/models/f/infer", "POST /v2/models/f/versions/1/infer"]
        {
            assert_eq!(ask(w, first, "{}").await.0, 404, "{first}");
        }
        assert_eq!(ask(w, "POST /v2/repository/models/f/load", "{}").await.0, 200);
        assert_eq!(ask(w, "POST /v2/repository/models/f/unload", second).await.0, 200);
        assert_eq!(ask(w, "GET /v2/models/f/versions/2/ready", "").await.0, 404);
        assert_eq!(ask(w, "POST /v2/models/f/versions/1/infer", "{}").await.0, 200, "the first stays");
        assert_eq!(ask(w, "POST /v2/models/f/versions/x/infer", "{}").await.0, 404);
    })
    .await;
}
