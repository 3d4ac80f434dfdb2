//! Tests of the clock of notifications, and of captures that were altered to break rule 3 by it.

use super::*;
use crate::platform::executor::{ExecutorRequest, ObservedRequest};
use crate::platform::judge::{judge, RuleSettings};
use std::collections::BTreeMap;

const S: Duration = Duration::from_secs(1);

fn outage(t: Instant, kind: SubscriptionFault) -> Outage {
    Outage { began: t + 10 * S, ended: t + 30 * S, kind }
}

#[test]
fn an_event_counts_at_once_before_an_outage_after_its_relief_and_after_its_end() {
    let t = Instant::now();
    let silent = [outage(t, SubscriptionFault::Silent)];
    let at = |seconds: u32| notified_at(t + seconds * S, &silent, &[]);
    assert_eq!(at(9), t + 9 * S);
    assert_eq!(at(10), t + 14 * S);
    assert_eq!(at(13), t + 14 * S);
    assert_eq!(at(20), t + 20 * S);
    assert_eq!(at(30), t + 30 * S);
}

#[test]
fn a_break_gives_two_seconds_and_asking_again_on_an_accepted_connection_gives_none() {
    let t = Instant::now();
    for kind in [SubscriptionFault::Refusing, SubscriptionFault::Closing] {
        assert_eq!(notified_at(t + 11 * S, &[outage(t, kind)], &[]), t + 12 * S);
    }
    let silent = [outage(t, SubscriptionFault::Silent)];
    let asked = [t + 2 * S, t + 12 * S, t + 13 * S];
    assert_eq!(notified_at(t + 11 * S, &silent, &asked), t + 12 * S);
    assert_eq!(notified_at(t + 25 * S, &silent, &asked), t + 25 * S);
    let unreachable = [outage(t, SubscriptionFault::Unreachable)];
    assert_eq!(notified_at(t + 11 * S, &unreachable, &asked[..1]), t + 14 * S);
}

#[test]
fn a_short_outage_counts_what_it_held_back_at_its_end() {
    let t = Instant::now();
    let short = Outage { began: t, ended: t + S, kind: SubscriptionFault::Silent };
    assert_eq!(notified_at(t, &[short], &[]), t + S);
}

/// One send and one order to load past the grace, for a drain before, at the start of and inside an outage.
#[test]
fn sends_and_orders_past_the_grace_are_found_for_each_time_of_a_drain() {
    let t = Instant::now();
    let grace = Duration::from_millis(250);
    let outages = [outage(t, SubscriptionFault::Silent)];
    for drain in [5u32, 10, 20] {
        let notified = notified_at(t + drain * S, &outages, &[]);
        let told =
            RuleSettings { drained: BTreeMap::from([(1, notified)]), grace, ..RuleSettings::default() };
        let broken = |late: Duration| {
            let at = notified + grace + late;
            let run = ExecutorRequest::Run {
                id: "1".into(),
                class: "".into(),
                key: "".into(),
                body: vec![],
                wait: Duration::ZERO,
            };
            let hold = |copies| ExecutorRequest::Hold { key: "k".into(), copies };
            let seen = [run, hold(1), hold(0)].map(|what| ObservedRequest { front_end: 0, at, what });
            judge(&[], &[], &[(1, seen.to_vec())], &told).len()
        };
        assert_eq!(broken(Duration::from_millis(40)), 0, "drain at {drain} s, within the slack");
        assert_eq!(broken(Duration::from_millis(60)), 2, "drain at {drain} s: the run and the order");
    }
}
