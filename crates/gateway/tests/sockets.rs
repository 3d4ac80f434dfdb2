//! The gateway as a library over sockets: failover between brokers, each login mechanism, a list in a file, and a graceful
//! shutdown.

use stagehoist_config::parse;
use stagehoist_emulator::broker::{self, Broker, BrokerOptions, Faults, Handle};
use stagehoist_gateway::{serve, Running};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

fn start_broker(mechanisms: &str) -> (String, Handle) {
    let (handle, commands) = Handle::new();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    listener.set_nonblocking(true).unwrap();
    let options = BrokerOptions { mechanisms: mechanisms.into(), ..BrokerOptions::default() };
    std::thread::spawn(move || {
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&rt, async move {
            let listener = TcpListener::from_std(listener).unwrap();
            broker::serve(listener, Broker::new(options), commands).await.unwrap();
        });
    });
    (address, handle)
}

fn wait_ready(running: &Running, ready: bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while running.is_ready() != ready {
        assert!(Instant::now() < deadline, "not {ready} in time: {:?}", running.states());
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn an_unreachable_broker_and_one_that_refuses_the_login_are_skipped() {
    // A port without a listener.
    let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (good, handle) = start_broker("AMQPLAIN");
    let folder = tempfile::tempdir().unwrap();
    let list = folder.path().join("workers.list");
    std::fs::write(&list, "w1 127.0.0.1:9 capacity 4\n").unwrap();
    let config = parse(
        "sockets.conf",
        &format!(
            "front-ends 2\nclass lookup aim 800ms give-up 2500ms\nfunction f class lookup memory 64MB\n\
             broker amqp://guest:guest@{dead}/\nbroker amqp://guest:wrong@{good}/\nbroker amqp://guest:guest@{good}/\n\
             consume calls declare transient\nreconnect first 10ms most 100ms\n\
             worker-list file {} poll 20ms\nlisten metrics 127.0.0.1:0\n",
            list.display()
        ),
    )
    .unwrap();
    let running = serve(&config, None).unwrap();
    wait_ready(&running, true);
    assert!(!running.has_unexpected_exit());
    // All connections are closed; the front ends reconnect by themselves.
    handle.fault(Faults::Drop { queue: "calls".into() });
    std::thread::sleep(Duration::from_millis(400));
    wait_ready(&running, true);
    // A malformed list has no effect; an empty one does.
    std::fs::write(&list, "w1\n").unwrap();
    std::thread::sleep(Duration::from_millis(400));
    assert!(running.is_ready());
    std::fs::write(&list, "# none\n").unwrap();
    wait_ready(&running, false);
    running.drain();
    running.join().unwrap();
}
