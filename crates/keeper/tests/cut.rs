//! A member that is cut off, and a strict retirement.

mod common;

use common::{clock, confirm, in_force, is_fresh, retirement, shown, wait, Fleet};
use stagehoist_keeper::{start, Options};
use stagehoist_registry::{Mode, State};

/// A member that reaches the keepers by relays of its own.
fn apart(fleet: &Fleet) -> (Options, Vec<common::relay::Relay>) {
    let mut options = fleet.options(&["apart".into()]);
    let relays: Vec<_> = fleet.keepers.values().map(|to| common::relay::Relay::new(to)).collect();
    options.keepers = fleet.keepers.keys().copied().zip(relays.iter().map(|r| r.address.clone())).collect();
    (options, relays)
}

#[test]
fn a_strict_retirement_is_in_force_only_once_the_promise_to_one_cut_off_ran_out() {
    let fleet = Fleet::started(3);
    let (options, relays) = apart(&fleet);
    let now = clock();
    let apart = start(options, now.clone()).unwrap();
    let session = &apart.sessions["apart"];
    wait("a promise to it", || is_fresh(session, &now));
    relays.iter().for_each(|r| r.cut(true));
    fleet.session(1).retire.try_send(retirement("f", Mode::Strict)).unwrap();
    let mut was_fresh = 0;
    wait("in force at the others", || {
        // Looked at in this order: what is fresh after it was seen in force would be a call served after.
        let is_in_force = fleet.sessions().iter().any(|s| in_force(s, "f"));
        let fresh = is_fresh(session, &now);
        assert!(!(is_in_force && fresh), "in force while the one cut off may still serve");
        was_fresh += u32::from(fresh);
        fleet.sessions().iter().for_each(|s| confirm(s));
        is_in_force
    });
    assert!(was_fresh > 0 && shown(session, "f").is_none());
    relays.iter().for_each(|r| r.cut(false));
    wait("it is shown it once it is back", || in_force(session, "f"));
    apart.stop();
}

#[test]
fn an_available_retirement_names_the_one_cut_off_until_it_confirms() {
    let fleet = Fleet::started(3);
    let (options, relays) = apart(&fleet);
    let now = clock();
    let apart = start(options, now.clone()).unwrap();
    let session = &apart.sessions["apart"];
    wait("a promise to it", || is_fresh(session, &now));
    relays.iter().for_each(|r| r.cut(true));
    fleet.session(1).retire.try_send(retirement("f", Mode::Available)).unwrap();
    fleet.until("in force but for it", |f| {
        let state = shown(f.session(2), "f").map(|t| t.state);
        matches!(state, Some(State::InForce { but_for }) if but_for.iter().any(|m| m.name == "apart"))
    });
    relays.iter().for_each(|r| r.cut(false));
    fleet.until("in force at all", |f| {
        confirm(session);
        in_force(f.session(2), "f")
    });
    apart.stop();
}
