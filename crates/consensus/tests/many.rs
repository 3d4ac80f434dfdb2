//! Many sessions at three replicas. The front ends run in a separate process, so that the cost of each side can be
//! measured.

mod common;

use common::{clock, confirm, in_force, is_fresh, retirement, wait, Fleet};
use stagehoist_cluster_state::RetirementMode;
use stagehoist_consensus::{start, Options};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const SESSIONS: usize = 350;
/// Environment variable with the replicas' addresses for the front-end process.
const KEEPERS: &str = "STAGEHOIST_TEST_KEEPERS";
/// Marks this test's lines, as the test runner may write text before them on the same line.
const OUTPUT_PREFIX: &str = "says ";

/// CPU time of a thread of this process in seconds.
fn cpu_seconds(thread: &str) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/self/task/{thread}/schedstat")).unwrap();
    stat.split_whitespace().next().unwrap().parse::<u64>().unwrap() as f64 / 1e9
}

/// A memory figure of this process in KiB.
fn memory(field: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with(field)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

struct Many {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Many {
    fn start(fleet: &Fleet) -> Many {
        let keepers: Vec<String> = fleet.keepers.iter().map(|(n, at)| format!("{n}={at}")).collect();
        let mut command = Command::new(std::env::current_exe().unwrap());
        command
            .args(["--exact", "the_front_ends", "--ignored", "--nocapture"])
            .env(KEEPERS, keepers.join(" "));
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
        let (input, output) = (child.stdin.take().unwrap(), BufReader::new(child.stdout.take().unwrap()));
        Many { child, input, output }
    }

    /// Reads the next output of the process: a time in milliseconds.
    fn ms(&mut self) -> f64 {
        let mut line = String::new();
        loop {
            line.clear();
            assert!(self.output.read_line(&mut line).unwrap() > 0, "the front-end process exited");
            if let Some((_, ms)) = line.split_once(OUTPUT_PREFIX) {
                return ms.trim().parse().unwrap();
            }
        }
    }

    fn send_line(&mut self) {
        self.input.write_all(b"\n").unwrap();
    }
}

impl Drop for Many {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a step while the replicas' own front ends confirm the views they receive.
fn with_confirmations<T>(fleet: &Fleet, work: impl FnOnce() -> T) -> T {
    let is_done = AtomicBool::new(false);
    std::thread::scope(|s| {
        s.spawn(|| {
            while !is_done.load(Ordering::Relaxed) {
                fleet.sessions().into_iter().for_each(confirm);
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        let done = std::panic::catch_unwind(std::panic::AssertUnwindSafe(work));
        is_done.store(true, Ordering::Relaxed);
        done.unwrap()
    })
}

/// The front-end process: joins, retires one function on the first input line and exits on the second.
#[test]
#[ignore = "started as a separate process by the test below"]
fn the_front_ends() {
    let keepers = std::env::var(KEEPERS).unwrap();
    let keepers: BTreeMap<u64, String> = keepers
        .split(' ')
        .map(|k| k.split_once('=').unwrap())
        .map(|(n, at)| (n.parse().unwrap(), at.into()))
        .collect();
    let members = (0..SESSIONS).map(|n| format!("s{n}")).collect();
    let options = Options { replicas: keepers, members, ..common::options() };
    let (began, now) = (Instant::now(), clock());
    let many = start(options, now.clone()).unwrap();
    let sessions: Vec<_> = many.sessions.values().collect();
    let output = |since: Instant| println!("{OUTPUT_PREFIX}{}", since.elapsed().as_secs_f64() * 1000.0);
    wait("a lease for every session", || sessions.iter().all(|s| is_fresh(s, &now)));
    output(began);
    let mut line = String::new();
    for function in ["f", "g", "h"] {
        std::io::stdin().read_line(&mut line).unwrap();
        let began = Instant::now();
        sessions[0].retire.try_send(retirement(function, RetirementMode::Strict)).unwrap();
        wait("in force for all sessions", || {
            sessions.iter().for_each(|s| confirm(s));
            sessions.iter().all(|s| in_force(s, function))
        });
        output(began);
    }
    std::io::stdin().read_line(&mut line).unwrap();
    many.stop();
}

#[test]
fn every_one_of_350_sessions_is_shown_a_change_and_confirms_it() {
    let fleet = Fleet::started(3);
    let leader = fleet.leader().unwrap();
    let statistics = || fleet.running[&leader].statistics().borrow().clone();
    let before = memory("VmHWM");
    let mut many = Many::start(&fleet);
    println!("{SESSIONS} with a promise after {:.0} ms", many.ms());
    let (was, spent_was, at) = (statistics(), cpu_seconds(&fleet.threads[&leader]), Instant::now());
    std::thread::sleep(Duration::from_secs(4));
    let (is, spent_is, took) =
        (statistics(), cpu_seconds(&fleet.threads[&leader]), at.elapsed().as_secs_f64());
    println!(
        "at ease: {:.0} messages in and {:.0} out a second, {:.0} promises; the leader's thread {:.4} cores",
        (is.messages_received - was.messages_received) as f64 / took,
        (is.messages_sent - was.messages_sent) as f64 / took,
        (is.promised - was.promised) as f64 / took,
        (spent_is - spent_was) / took,
    );
    assert!(is.sessions >= SESSIONS && is.promised > was.promised);
    for _ in 0..3 {
        let spent_was = cpu_seconds(&fleet.threads[&leader]);
        let ms = with_confirmations(&fleet, || {
            many.send_line();
            many.ms()
        });
        let cpu_seconds = cpu_seconds(&fleet.threads[&leader]) - spent_was;
        println!(
            "in force at {SESSIONS} after {ms:.0} ms; the leader's thread {:.0} ms",
            cpu_seconds * 1000.0
        );
    }
    println!("three keepers and their relays: {} KiB more at most", memory("VmHWM") - before);
    many.send_line();
}
