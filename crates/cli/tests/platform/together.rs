//! Clients that disconnect from several front ends with the same executors. Late attempts are judged over all front
//! ends together, because a single one sees them too rarely.

use crate::stage::{command, ms, Stage, KEYS, LOOK};
use rustix::process::{kill_process, Pid, Signal};
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::{
    after_leaving, Client, ExecutorRequest, Fault, ObservedRequest, SentRequest,
};
use std::net::SocketAddr;
use std::process::Child;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time for which one process is stopped while the clients of all leave.
const NOT_RUN: Duration = Duration::from_millis(80);
const ROUNDS: u64 = 12;
/// Number of calls of one client.
const CALLS_PER_CLIENT: u64 = 4;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Departure {
    Abort,
    Close,
    Reset,
}
const DEPARTURES: [Departure; 3] = [Departure::Abort, Departure::Close, Departure::Reset];

/// Another front-end process; killed when dropped.
struct OtherFrontEnd(Child);

impl Drop for OtherFrontEnd {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn request(n: u64) -> (Vec<u8>, SentRequest) {
    let (class, is_unsafe) = if n.is_multiple_of(4) { ("book", true) } else { ("look", false) };
    let (id, tag, body) = (format!("{n:016x}"), n.to_string(), vec![n as u8; 20]);
    let key = KEYS[(n % 4) as usize];
    let fields =
        format!("ref={id},allow={LOOK},project=acme,lookup={key},effort=20,extras=memory_mb:64;lanes:4");
    let bytes = array(&[b"REQ", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), &body]);
    let (at, allow, left) = (Instant::now(), ms(LOOK), None);
    (bytes, SentRequest { at, id, tag, allow, is_unsafe, body, left })
}

/// Runs a client that sends calls and then cancels or disconnects; returns its calls with the time at which it left.
async fn run_leaving_client(to: SocketAddr, first: u64, how: Departure, stays: Duration) -> Vec<SentRequest> {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let mut sent = Vec::new();
    for n in first..first + CALLS_PER_CLIENT {
        let (bytes, call) = request(n);
        stream.write_all(&bytes).await.unwrap();
        sent.push(call);
    }
    tokio::time::sleep(stays).await;
    let left = Instant::now();
    match how {
        Departure::Abort => {
            for n in first..first + CALLS_PER_CLIENT {
                stream.write_all(&array(&[b"ABORT", n.to_string().as_bytes()])).await.unwrap();
            }
            // It stays connected, so that the ABORT is its only cancellation.
            tokio::spawn(async move {
                tokio::time::sleep(ms(2 * LOOK)).await;
                drop(stream);
            });
        }
        Departure::Close => drop(stream.shutdown().await),
        Departure::Reset => stream.set_zero_linger().unwrap(),
    }
    sent.iter_mut().for_each(|a| a.left = Some(left));
    sent
}

/// Returns the capture with one attempt added for a call of each list, started at this time after its client left.
fn with_late_attempts(
    seen: &[(u32, Vec<ObservedRequest>)],
    sent: &[&[SentRequest]],
    after: Duration,
) -> Vec<(u32, Vec<ObservedRequest>)> {
    let mut seen = seen.to_vec();
    for call in sent.iter().map(|list| &list[0]) {
        let (id, class, key) = (call.id.clone(), "look".to_string(), KEYS[0].to_string());
        let at = call.left.unwrap() + after;
        seen[0].1.push(ObservedRequest {
            front_end: 0,
            at,
            what: ExecutorRequest::Run { id, class, key, body: Vec::new(), wait: Duration::ZERO },
        });
    }
    seen
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_attempts_start_for_clients_that_left_over_three_front_ends_together() {
    let stage = Stage::start(6, 256).await;
    let others = [command(&stage.config), command(&stage.config)];
    let at = [stage.listen, others[0].1, others[1].1];
    let others = others.map(|(child, _, _)| OtherFrontEnd(child));
    let pids = [stage.child.id(), others[0].0.id(), others[1].0.id()];
    // Every front end serves and learns where the functions are loaded.
    for (n, to) in at.iter().enumerate() {
        let mut client = Client::connect(*to).await.unwrap();
        for call in 0..8 {
            client.raw(&request(900_000 + 100 * n as u64 + call).0).await.unwrap();
        }
        assert_eq!(client.wait(8, ms(5000)).await.len(), 8);
    }
    let mut sent: [Vec<SentRequest>; 3] = Default::default();
    let mut left_meanwhile = 0;
    for round in 0..ROUNDS {
        // Errors lead to retries, missing answers to hedged requests.
        for executor in &stage.executors {
            executor.spoil([
                Fault::Error,
                Fault::Error,
                Fault::Error,
                Fault::Error,
                Fault::Error,
                Fault::Never,
            ]);
        }
        let mut clients = tokio::task::JoinSet::new();
        for (process, to) in at.into_iter().enumerate() {
            for (k, how) in DEPARTURES.into_iter().enumerate() {
                let first = 1 + (round * 9 + process as u64 * 3 + k as u64) * CALLS_PER_CLIENT;
                let stays = ms(15 + 7 * ((round + k as u64) % 6));
                clients.spawn(async move { (process, run_leaving_client(to, first, how, stays).await) });
            }
        }
        // One front end is stopped in each round, and the data of its clients stays in its sockets meanwhile.
        let pid = Pid::from_raw(pids[round as usize % 3] as i32).unwrap();
        tokio::time::sleep(ms(round % 4 * 5)).await;
        let stopped = Instant::now();
        kill_process(pid, Signal::STOP).unwrap();
        tokio::time::sleep(NOT_RUN).await;
        kill_process(pid, Signal::CONT).unwrap();
        let on_again = Instant::now();
        while let Some(done) = clients.join_next().await {
            let (process, list) = done.unwrap();
            let meanwhile = |a: &&SentRequest| a.left.is_some_and(|at| at > stopped && at < on_again);
            if process as u64 == round % 3 {
                left_meanwhile += list.iter().filter(meanwhile).count();
            }
            sent[process].extend(list);
        }
    }
    // Wait until every call's deadline has passed.
    tokio::time::sleep(ms(LOOK + 200)).await;
    let seen: Vec<_> = stage.executors.iter().map(|e| (e.id, e.seen())).collect();
    let all = sent.concat();
    assert_eq!(all.len() as u64, ROUNDS * 9 * CALLS_PER_CLIENT);
    let together = after_leaving(&all, &seen);
    println!("all front ends: {together}; {} attempts started after their client left", together.after);
    for (n, list) in sent.iter().enumerate() {
        println!("front end {n}: {}", after_leaving(list, &seen));
    }
    // Retries and hedged requests are among them.
    let runs = |a: &SentRequest| {
        let each = seen.iter().flat_map(|(_, seen)| seen);
        each.filter(|s| matches!(&s.what, ExecutorRequest::Run { id, .. } if *id == a.id)).count()
    };
    let retried = all.iter().filter(|a| runs(a) > 1).count();
    println!("{retried} calls were retried, {left_meanwhile} were left at a stopped process");
    assert!(
        retried >= 10 && left_meanwhile as u64 >= ROUNDS * CALLS_PER_CLIENT,
        "{retried}, {left_meanwhile}"
    );
    assert!(!together.is_break(), "{together}");
    // With one more late attempt at each front end, the same capture is a violation over all of them, although each
    // alone would see only one.
    let lists = sent.each_ref().map(|list| &list[..]);
    let late = with_late_attempts(&seen, &lists, ms(101));
    for list in lists {
        assert_eq!(after_leaving(list, &late).late, after_leaving(list, &seen).late + 1);
    }
    assert!(after_leaving(&all, &late).is_break());
    assert_eq!(after_leaving(&all, &late).late, together.late + 3);
    let in_transit = with_late_attempts(&seen, &lists, ms(99));
    assert_eq!(after_leaving(&all, &in_transit).late, together.late);
}
