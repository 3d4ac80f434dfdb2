//! A replica that was stopped for longer than the others retain their logs.

mod common;

use common::{clock, in_force, retirement, shown, wait, Fleet};
use stagehoist_cluster_state::RetirementMode;
use stagehoist_consensus::{start, Options};

#[test]
fn a_keeper_that_was_stopped_for_long_recovers_from_a_snapshot() {
    let mut fleet = Fleet::new(3);
    fleet.timing.log = (20, 5);
    fleet.start_all();
    let statistics = |f: &Fleet, n: u64| f.running[&n].statistics().borrow().clone();
    fleet.until("joined", |f| f.sessions().iter().all(|s| s.member.borrow().is_some()));
    fleet.stop(3);
    let last = statistics(&fleet, 1).last_entry;
    for n in 0..40 {
        let function = format!("f{n}");
        fleet.session(1).retire.try_send(retirement(&function, RetirementMode::Strict)).unwrap();
        fleet.until(&function, |f| f.sessions().iter().all(|s| in_force(s, &function)));
    }
    // No log contains the entries that it lacks any more.
    fleet.until("logs are purged", |f| (1..=2).all(|n| statistics(f, n).purged > last));
    fleet.start(3);
    fleet.until("the replica follows", |f| f.votes(3) && statistics(f, 3).purged > last);
    // The majority now needs this replica.
    fleet.stop(1);
    fleet.session(3).retire.try_send(retirement("g", RetirementMode::Available)).unwrap();
    fleet.until("agreed", |f| shown(f.session(2), "g").is_some());
    let new = start(Options { session_folder: None, ..fleet.options(&["new".into()]) }, clock()).unwrap();
    wait("all is shown to a new one", || (0..40).all(|n| in_force(&new.sessions["new"], &format!("f{n}"))));
    new.stop();
}
