//! Process exit at the moment when data arrives on its sockets: the process is stopped so that the signal and the
//! data are pending at the same time.

use crate::stage::{config_classes, ms, Stage, KEYS};
use rustix::process::Signal;
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::{Client, ExecutorRequest, Fault, SentRequest};
use std::time::{Duration, Instant};

/// Minimum time from SIGTERM to SIGKILL, if the longest deadline is 3 s or more.
const KILL_DELAY: Duration = Duration::from_millis(3700);
/// A deadline longer than a drain waits for.
const LONG_DEADLINE: u64 = 9000;

fn request(n: u64, class: &str, allow: u64) -> Vec<u8> {
    let key = KEYS[(n % 4) as usize];
    let fields = format!("ref={n:016x},allow={allow},project=acme,lookup={key},effort=20");
    array(&[b"REQ", n.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), b"x"])
}

impl Stage {
    /// Sends a call of an unsafe class (odd number) or a safe one, with a long deadline.
    async fn long_call(&mut self, client: &mut Client, n: u64) {
        let (class, is_unsafe) = if n % 2 == 1 { ("book", true) } else { ("look", false) };
        let at = Instant::now();
        client.raw(&request(n, class, LONG_DEADLINE)).await.unwrap();
        let (id, tag, body) = (format!("{n:016x}"), n.to_string(), b"x".to_vec());
        self.sent.push(SentRequest { at, id, tag, allow: ms(LONG_DEADLINE), is_unsafe, body, left: None });
    }

    /// Waits until the executors have received this number of attempts.
    async fn attempts(&self, many: usize) {
        let deadline = Instant::now() + ms(5000);
        while (0..self.executors.len()).map(|n| self.runs(n)).sum::<usize>() < many {
            assert!(Instant::now() < deadline, "attempts are missing");
            tokio::time::sleep(ms(5)).await;
        }
    }

    /// Waits until the process has handled SIGTERM.
    async fn wait_draining(&self) {
        let mut client = self.client().await;
        for n in 1.. {
            client.raw(&array(&[b"HEALTH", n.to_string().as_bytes(), b""])).await.unwrap();
            if client.wait(n, ms(2000)).await[n - 1].word == "not_serving" {
                return;
            }
        }
    }

    async fn with_long_calls() -> Stage {
        let stage =
            Stage::start_with(2, 256, |document| config_classes(document, "hard_limit", LONG_DEADLINE)).await;
        stage.executors.iter().for_each(|e| e.spoil([Fault::Never; 64]));
        stage
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_outlasts_the_drain_is_answered_before_the_process_ends() {
    let mut stage = Stage::with_long_calls().await;
    let mut client = stage.client().await;
    for n in 1..=6 {
        stage.long_call(&mut client, n).await;
    }
    stage.attempts(6).await;
    let term = Instant::now();
    stage.signal(Signal::TERM);
    assert_eq!((stage.ends(KILL_DELAY).await, term.elapsed() < KILL_DELAY), (Some(0), true));
    let answers = client.wait(6, ms(1000)).await;
    assert_eq!(answers.len(), 6, "not every call is answered once: {answers:?}");
    assert!(
        answers.iter().all(|a| a.word == "500"),
        "a call that may have run was answered differently: {answers:?}"
    );
    stage.verdict(&answers);
}

/// The drain time is counted from when SIGTERM was sent, like the time until SIGKILL, even if the process was stopped
/// in between.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_that_was_stopped_at_sigterm_exits_in_time_with_all_calls_answered() {
    let mut stage = Stage::with_long_calls().await;
    let mut client = stage.client().await;
    for n in 1..=4 {
        stage.long_call(&mut client, n).await;
    }
    stage.attempts(4).await;
    stage.signal(Signal::STOP);
    let term = Instant::now();
    stage.signal(Signal::TERM);
    tokio::time::sleep(ms(1000)).await;
    stage.signal(Signal::CONT);
    let code = stage.ends(KILL_DELAY.saturating_sub(term.elapsed())).await;
    assert_eq!(code, Some(0), "it did not exit before it would be killed");
    let answers = client.wait(4, ms(1000)).await;
    assert_eq!(answers.len(), 4, "not every call is answered once: {answers:?}");
    stage.verdict(&answers);
}

/// The process is stopped between SIGTERM and the time when it stops accepting requests, and continues after that
/// time. Its sockets then contain connections not accepted yet, unread complete requests, partial ones, ABORT and
/// HEALTH.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_requests_at_exit_are_answered_and_no_connection_is_reset() {
    let mut stage = Stage::start(2, 256).await;
    let mut open = stage.client().await;
    stage.call(&mut open, 1).await;
    assert_eq!(open.wait(1, ms(3000)).await.len(), 1);
    let term = Instant::now();
    stage.signal(Signal::TERM);
    stage.wait_draining().await;
    stage.signal(Signal::STOP);
    stage.call(&mut open, 2).await;
    let mut new = Vec::new();
    for n in 3..=22 {
        new.push(stage.client().await);
        let last = new.len() - 1;
        stage.call(&mut new[last], n).await;
    }
    let mut health = stage.client().await;
    health.raw(&array(&[b"HEALTH", b"5", b""])).await.unwrap();
    let mut half = stage.client().await;
    let whole = request(31, "look", 1500);
    half.raw(&whole[..whole.len() - 1]).await.unwrap();
    let mut silent = stage.client().await;
    let mut aborted = stage.client().await;
    let both = [request(32, "look", 1500), array(&[b"ABORT", b"32"])].concat();
    aborted.raw(&both).await.unwrap();
    // After the time in which requests are accepted.
    tokio::time::sleep(ms(1100).saturating_sub(term.elapsed())).await;
    stage.signal(Signal::CONT);
    let mut answers = open.wait(2, ms(3000)).await;
    for client in &mut new {
        let got = client.wait(1, ms(3000)).await;
        assert_eq!(got.len(), 1, "an unread request on a new connection was not answered once");
        answers.extend(got);
    }
    assert_eq!(answers.len(), 22);
    assert_eq!(health.wait(1, ms(1000)).await[0].word, "not_serving");
    for (client, max) in [(&mut half, 0), (&mut silent, 0), (&mut aborted, 1)] {
        let got = client.wait(2, ms(1000)).await;
        assert!(client.closed().is_some() && got.len() <= max, "{got:?}");
        assert!(!client.was_reset(), "the connection was reset instead of closed");
    }
    assert!(!open.was_reset());
    assert_eq!(stage.ends(KILL_DELAY.saturating_sub(term.elapsed())).await, Some(0));
    stage.verdict(&answers);
}

/// Signals in any order and number end the process once, after all accepted calls are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn coinciding_signals_end_the_process_once() {
    for signals in [
        [Signal::TERM, Signal::TERM, Signal::HUP],
        [Signal::HUP, Signal::TERM, Signal::INT],
        [Signal::TERM, Signal::HUP, Signal::TERM],
    ] {
        let mut stage = Stage::start(2, 256).await;
        let mut client = stage.client().await;
        for n in 1..=10 {
            stage.call(&mut client, n).await;
        }
        stage.signal(Signal::STOP);
        // All of them are pending when it continues.
        signals.into_iter().for_each(|signal| stage.signal(signal));
        for n in 11..=20 {
            stage.call(&mut client, n).await;
        }
        stage.signal(Signal::CONT);
        let answers = client.wait(20, ms(3000)).await;
        assert_eq!(answers.len(), 20, "{signals:?}");
        stage.signal(Signal::TERM);
        assert_eq!(stage.ends(ms(3000)).await, Some(0), "{signals:?}");
        stage.verdict(&answers);
    }
}

/// Requests that arrive after the accepting time are rejected and never forwarded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_forwarded_after_the_end_of_accepting() {
    let mut stage = Stage::start(2, 256).await;
    let mut client = stage.client().await;
    stage.signal(Signal::TERM);
    stage.wait_draining().await;
    stage.signal(Signal::STOP);
    for n in 1..=8 {
        stage.call(&mut client, n).await;
    }
    tokio::time::sleep(ms(1100)).await;
    stage.signal(Signal::CONT);
    let answers = client.wait(8, ms(3000)).await;
    assert_eq!(answers.len(), 8);
    assert_eq!(stage.ends(ms(3000)).await, Some(0));
    for (n, executor) in stage.executors.iter().enumerate() {
        for seen in executor.seen() {
            if let ExecutorRequest::Run { id, .. } = seen.what {
                let answer = answers.iter().find(|a| format!("{:016x}", a.tag.parse::<u64>().unwrap()) == id);
                assert_ne!(answer.map(|a| &*a.word), Some("503"), "forwarded to {n} and rejected: {id}");
            }
        }
    }
    stage.verdict(&answers);
}
