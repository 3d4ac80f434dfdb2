//! Clients that leave several front ends before the same executors: judged over all of them, as one comes too rarely to be
//! seen at one.

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

/// For so long one process is not run, as the clients of all leave.
const NOT_RUN: Duration = Duration::from_millis(80);
const ROUNDS: u64 = 12;
/// Calls of one client.
const EACH: u64 = 4;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Abort,
    Close,
    Reset,
}
const HOW: [Leaves; 3] = [Leaves::Abort, Leaves::Close, Leaves::Reset];

/// A process beside that of the harness; ended with it.
struct Beside(Child);

impl Drop for Beside {
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

/// A client of a front end that asks and leaves; what it asked, with when it began to leave.
async fn leaves(to: SocketAddr, first: u64, how: Leaves, stays: Duration) -> Vec<SentRequest> {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let mut asked = Vec::new();
    for n in first..first + EACH {
        let (bytes, one) = request(n);
        stream.write_all(&bytes).await.unwrap();
        asked.push(one);
    }
    tokio::time::sleep(stays).await;
    let left = Instant::now();
    match how {
        Leaves::Abort => {
            for n in first..first + EACH {
                stream.write_all(&array(&[b"ABORT", n.to_string().as_bytes()])).await.unwrap();
            }
            // It stays connected, so that its word is the ABORT alone.
            tokio::spawn(async move {
                tokio::time::sleep(ms(2 * LOOK)).await;
                drop(stream);
            });
        }
        Leaves::Close => drop(stream.shutdown().await),
        Leaves::Reset => stream.set_zero_linger().unwrap(),
    }
    asked.iter_mut().for_each(|a| a.left = Some(left));
    asked
}

/// The capture with one attempt for a call of each of these lists so long after its client left.
fn doctored(
    seen: &[(u32, Vec<ObservedRequest>)],
    asked: &[&[SentRequest]],
    after: Duration,
) -> Vec<(u32, Vec<ObservedRequest>)> {
    let mut seen = seen.to_vec();
    for one in asked.iter().map(|list| &list[0]) {
        let (id, class, key) = (one.id.clone(), "look".to_string(), KEYS[0].to_string());
        let at = one.left.unwrap() + after;
        seen[0].1.push(ObservedRequest {
            front_end: 0,
            at,
            what: ExecutorRequest::Run { id, class, key, body: Vec::new(), wait: Duration::ZERO },
        });
    }
    seen
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_that_leave_three_front_ends_have_nothing_begun_after_that_over_all_of_them() {
    let stage = Stage::start(6, 256).await;
    let others = [command(&stage.config), command(&stage.config)];
    let at = [stage.listen, others[0].1, others[1].1];
    let others = others.map(|(child, _, _)| Beside(child));
    let pids = [stage.child.id(), others[0].0.id(), others[1].0.id()];
    // Every front end serves, and knows where the functions are.
    for (n, to) in at.iter().enumerate() {
        let mut client = Client::connect(*to).await.unwrap();
        for call in 0..8 {
            client.raw(&request(900_000 + 100 * n as u64 + call).0).await.unwrap();
        }
        assert_eq!(client.wait(8, ms(5000)).await.len(), 8);
    }
    let mut asked: [Vec<SentRequest>; 3] = Default::default();
    let mut left_meanwhile = 0;
    for round in 0..ROUNDS {
        // Errors ask for retries, silence for hedged requests.
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
            for (k, how) in HOW.into_iter().enumerate() {
                let first = 1 + (round * 9 + process as u64 * 3 + k as u64) * EACH;
                let stays = ms(15 + 7 * ((round + k as u64) % 6));
                clients.spawn(async move { (process, leaves(to, first, how, stays).await) });
            }
        }
        // One of them is stopped in each round, and what its clients say lies in its sockets meanwhile.
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
            asked[process].extend(list);
        }
    }
    // All time that any of the calls had.
    tokio::time::sleep(ms(LOOK + 200)).await;
    let seen: Vec<_> = stage.executors.iter().map(|e| (e.id, e.seen())).collect();
    let all = asked.concat();
    assert_eq!(all.len() as u64, ROUNDS * 9 * EACH);
    let together = after_leaving(&all, &seen);
    println!("over all: {together}; {} began after it at all", together.after);
    for (n, list) in asked.iter().enumerate() {
        println!("front end {n}: {}", after_leaving(list, &seen));
    }
    // Further attempts and hedged requests are among them.
    let runs = |a: &SentRequest| {
        let each = seen.iter().flat_map(|(_, seen)| seen);
        each.filter(|s| matches!(&s.what, ExecutorRequest::Run { id, .. } if *id == a.id)).count()
    };
    let again = all.iter().filter(|a| runs(a) > 1).count();
    println!("{again} tried again, {left_meanwhile} left a process that did not run");
    assert!(again >= 10 && left_meanwhile as u64 >= ROUNDS * EACH, "{again}, {left_meanwhile}");
    assert!(!together.is_break(), "{together}");
    // The same capture with one late attempt more at each front end, which alone would see that one, is a break over all.
    let lists = asked.each_ref().map(|list| &list[..]);
    let late = doctored(&seen, &lists, ms(101));
    for list in lists {
        assert_eq!(after_leaving(list, &late).late, after_leaving(list, &seen).late + 1);
    }
    assert!(after_leaving(&all, &late).is_break());
    assert_eq!(after_leaving(&all, &late).late, together.late + 3);
    let on_its_way = doctored(&seen, &lists, ms(99));
    assert_eq!(after_leaving(&all, &on_its_way).late, together.late);
}
