//! SIGHUP while the file is incomplete, and together with signals that end the process.

use crate::stage::{config, ms, served, Stage};
use rustix::process::Signal;
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::EventBus;
use std::time::Instant;

/// The file is partial at the signal and complete later, without another signal: it must be read all the same. Then
/// SIGTERM arrives between two SIGHUPs while the file is missing: calls must be answered and the exit must be
/// regular.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_file_that_is_incomplete_at_the_signal_is_read_once_it_is_complete() {
    let mut stage = Stage::start(4, 256).await;
    let mut client = stage.client().await;
    let bus = EventBus::start(1).await.unwrap();
    stage.bus.copy_to(&bus);
    let document = config(&stage.executors, bus.address, 256).to_string();
    std::fs::write(&stage.config, &document[..document.len() / 2]).unwrap();
    stage.signal(Signal::HUP);
    // The signal has been handled before these are answered.
    for n in 1..=20 {
        client.raw(&array(&[b"HEALTH", (9000 + n).to_string().as_bytes(), b""])).await.unwrap();
        client.wait(n, ms(4000)).await;
    }
    assert_eq!(bus.connections(), 0);
    let new = stage.config.with_extension("new");
    std::fs::write(&new, &document).unwrap();
    std::fs::rename(&new, &stage.config).unwrap();
    let deadline = Instant::now() + ms(5000);
    while bus.connections() == 0 {
        assert!(Instant::now() < deadline, "the file was not read again");
        tokio::time::sleep(ms(10)).await;
    }
    stage.bus = bus;
    stage.calls(&mut client, 1..=20, ms(10)).await;
    std::fs::remove_file(&stage.config).unwrap();
    [Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM].iter().for_each(|s| stage.signal(*s));
    stage.call(&mut client, 21).await;
    let answers = client.wait(41, ms(4000)).await;
    assert_eq!(served(&answers[20..]), 21);
    assert_eq!(stage.ends(ms(3500)).await, Some(0));
    stage.verdict(&answers[20..]);
}
