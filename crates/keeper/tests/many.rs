//! Many sessions at three keepers.

mod common;

use common::{clock, confirm, in_force, retirement, wait, Fleet};
use stagehoist_keeper::{start, Options};
use stagehoist_registry::Mode;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const SESSIONS: usize = 350;

fn threads() -> BTreeSet<String> {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    tasks.map(|t| t.unwrap().file_name().to_string_lossy().into_owned()).collect()
}

/// Processor time of some threads, in hundredths of a second.
fn spent(threads: &BTreeSet<String>) -> u64 {
    let of = |thread: &String| {
        let stat = std::fs::read_to_string(format!("/proc/self/task/{thread}/stat")).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or_default().to_string();
        let fields: Vec<&str> = after.split_whitespace().collect();
        let field = |n: usize| fields.get(n).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        field(11) + field(12)
    };
    threads.iter().map(of).sum()
}

#[test]
fn every_one_of_350_sessions_is_shown_a_change_and_confirms_it() {
    let before = threads();
    let fleet = Fleet::started(3);
    fleet.until("a leader", |f| f.leader().is_some());
    let keepers: BTreeSet<String> = threads().difference(&before).cloned().collect();
    let names: Vec<String> = (0..SESSIONS).map(|n| format!("s{n}")).collect();
    let options = Options { incarnations: None, ..fleet.options(&names) };
    let began = Instant::now();
    let many = start(options, clock()).unwrap();
    let sessions: Vec<_> = many.sessions.values().collect();
    wait("all joined", || sessions.iter().all(|s| s.member.borrow().is_some()));
    println!("{SESSIONS} joined after {:?}", began.elapsed());
    let leader = fleet.leader().unwrap();
    let figures = || fleet.running[&leader].figures().borrow().clone();
    let (was, spent_was, at) = (figures(), spent(&keepers), Instant::now());
    std::thread::sleep(Duration::from_secs(3));
    let (is, spent_is, took) = (figures(), spent(&keepers), at.elapsed().as_secs_f64());
    println!(
        "at ease: {:.0} messages in and {:.0} out a second, three keepers and their relays {:.3} cores",
        (is.messages_in - was.messages_in) as f64 / took,
        (is.messages_out - was.messages_out) as f64 / took,
        (spent_is - spent_was) as f64 / 100.0 / took,
    );
    assert!(is.messages_in > was.messages_in && is.promised > was.promised);
    let began = Instant::now();
    sessions[0].retire.try_send(retirement("f", Mode::Strict)).unwrap();
    fleet.until("in force at all", |_| {
        sessions.iter().for_each(|s| confirm(s));
        sessions.iter().all(|s| in_force(s, "f"))
    });
    println!("in force at {SESSIONS} after {:?}", began.elapsed());
    many.stop();
}
