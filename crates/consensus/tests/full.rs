//! A cluster state that is full: retirements requested meanwhile are accepted once there is capacity.

mod common;

use common::{clock, retirement, shown, terms, Fleet};
use stagehoist_cluster_state::{LeaseTerms, Retirement, RetirementMode};
use stagehoist_consensus::{start, Options, Session};
use std::cell::RefCell;
use std::collections::BTreeSet;

/// Length of the view in bytes above which the cluster state is full.
const FULL: usize = 2 << 20;
/// How long a retirement's tombstone is retained, in microseconds.
const REMEMBER: i64 = 4_000_000;

fn length(session: &Session) -> usize {
    postcard::to_stdvec(&*session.status.borrow().view).unwrap().len()
}

/// A retirement of the maximum length.
fn long(n: usize) -> Retirement {
    Retirement {
        successor: Some("s".repeat(256)),
        reason: "r".repeat(1024),
        ..retirement(&format!("{n:0>256}"), RetirementMode::Available)
    }
}

#[test]
fn a_retirement_deferred_by_a_full_cluster_state_is_accepted_once_there_is_capacity() {
    let mut fleet = Fleet::new(1);
    let options =
        Options { terms: LeaseTerms { tombstone_retention: REMEMBER, ..terms() }, ..fleet.keeper_options(1) };
    fleet.running.insert(1, start(options, clock()).unwrap());
    fleet.until("a leader", |f| f.leader().is_some());
    let mut sent = 0;
    while length(fleet.session(1)) <= FULL {
        let shown = fleet.session(1).status.borrow().view.tombstones.len();
        // Small batches near the end, so that few retirements are in flight when the cluster state is full.
        let step = if length(fleet.session(1)) < FULL - 150_000 { 64 } else { 16 };
        while sent < shown + step && fleet.session(1).retire.try_send(long(sent)).is_ok() {
            sent += 1;
        }
        fleet.until("accepted or forgotten", |f| f.session(1).status.borrow().view.tombstones.len() != shown);
    }
    for late in ["late-0", "late-1"] {
        fleet.session(1).retire.try_send(retirement(late, RetirementMode::Available)).unwrap();
    }
    let never = retirement("never", RetirementMode::Available);
    fleet.session(1).retire.try_send(Retirement { generation: 0, ..never }).unwrap();
    let seen = RefCell::new(BTreeSet::new());
    let is_in_force = |s: &Session, late: &str| {
        if shown(s, late).is_some() {
            seen.borrow_mut().insert(late.to_string());
        }
        seen.borrow().contains(late)
    };
    assert!(shown(fleet.session(1), "late-0").is_none(), "the cluster state was not full");
    fleet.until("accepted later", |f| ["late-0", "late-1"].iter().all(|l| is_in_force(f.session(1), l)));
    assert!(shown(fleet.session(1), "never").is_none());
}
