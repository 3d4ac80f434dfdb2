//! Recovery phases end whatever the evidence, admit calls within reservations first, and open by evidence.

use proptest::prelude::*;
use stagehoist_recovery::phases::{Admission, Limits, RecoveryEvidence, RecoveryPhase};
use stagehoist_recovery::RecoveryPhases;

const S: i64 = 1_000_000;
const WARM: RecoveryEvidence = RecoveryEvidence {
    store: true,
    record: true,
    open_inquiries: 0,
    ended: 100,
    in_time: 99,
    workers: 10,
    warm_workers: 10,
    unused_capacity: 1.0,
};
const COLD: RecoveryEvidence =
    RecoveryEvidence { ended: 100, in_time: 10, warm_workers: 0, unused_capacity: 0.0, ..WARM };

fn at(stage: RecoveryPhase) -> RecoveryPhases {
    let mut phases = RecoveryPhases::new(Limits::default(), 1, 0);
    if stage >= RecoveryPhase::ResolvingInDoubt {
        phases.observe(&RecoveryEvidence { store: true, ..RecoveryEvidence::default() }, 0);
    }
    if stage >= RecoveryPhase::Ramping {
        phases.observe(&COLD, 0);
    }
    assert_eq!(phases.phase(), stage);
    phases
}

/// Returns how many of a thousand calls outside reservations are admitted.
fn admitted_of_1000(phases: &mut RecoveryPhases, now: i64) -> usize {
    (0..1000).filter(|_| phases.admit(false, 5 * S, now) == Admission::Admit).count()
}

#[test]
fn calls_wait_for_storage_and_in_doubt_resolution_if_their_time_allows() {
    for stage in [RecoveryPhase::OpeningStorage, RecoveryPhase::ResolvingInDoubt] {
        let mut phases = at(stage);
        assert!(matches!(phases.admit(true, 10 * S, 0), Admission::Wait { until } if until <= 5 * S));
        let Admission::Reject { reason, retry_after } = phases.admit(true, S, 0) else { panic!() };
        assert_eq!(reason, stage.name());
        assert!((3 * S..=10 * S).contains(&retry_after), "{retry_after}");
    }
}

#[test]
fn retry_delays_are_spread_and_reproducible_for_a_seed() {
    let times = |seed| -> Vec<i64> {
        let mut phases = RecoveryPhases::new(Limits::default(), seed, 0);
        let calls = (0..1000).map(|_| match phases.admit(false, 0, 0) {
            Admission::Reject { retry_after, .. } => retry_after,
            other => panic!("{other:?}"),
        });
        calls.collect()
    };
    assert_eq!(times(4), times(4));
    for tenth in 0..10 {
        let from = 5 * S + tenth * S / 2;
        let inside = times(4).iter().filter(|t| (from..from + S / 2).contains(*t)).count();
        assert!((50..200).contains(&inside), "{inside}");
    }
}

#[test]
fn a_cold_fleet_admits_reservations_and_a_minimum_share_of_other_calls() {
    let mut phases = at(RecoveryPhase::Ramping);
    for second in 1..19 {
        assert!(!phases.observe(&COLD, second * S));
        assert_eq!(phases.admit(true, 0, second * S), Admission::Admit);
        assert!((20..100).contains(&admitted_of_1000(&mut phases, second * S)));
    }
}

#[test]
fn a_warm_fleet_opens_in_steps_before_the_time_limit() {
    let mut phases = at(RecoveryPhase::Ramping);
    let mut part = phases.admitted_share();
    let mut now = 0;
    while phases.phase() == RecoveryPhase::Ramping {
        now += S / 2;
        phases.observe(&WARM, now);
        assert!(phases.admitted_share() <= 2.0 * part + 1e-9);
        part = phases.admitted_share();
    }
    assert!((2 * S..5 * S).contains(&now), "{now}");
    assert_eq!(admitted_of_1000(&mut phases, now), 1000);
}

#[test]
fn each_cold_signal_alone_keeps_other_calls_at_the_minimum_share() {
    let signs = [
        RecoveryEvidence { warm_workers: 0, ..WARM },
        RecoveryEvidence { in_time: 0, ..WARM },
        RecoveryEvidence { unused_capacity: 0.0, ..WARM },
        RecoveryEvidence { ended: 3, in_time: 3, ..WARM },
        RecoveryEvidence { workers: 0, ..WARM },
    ];
    for signal in signs {
        let mut phases = at(RecoveryPhase::Ramping);
        for second in 1..20 {
            phases.observe(&signal, second * S);
        }
        assert!(phases.admitted_share() < 0.06, "{signal:?}: {}", phases.admitted_share());
    }
    // The admitted share falls again when the evidence is lost.
    let mut phases = at(RecoveryPhase::Ramping);
    for half in 1..4 {
        phases.observe(&WARM, half * S / 2);
    }
    assert!(phases.admitted_share() > 0.3);
    phases.observe(&COLD, 2 * S);
    assert!(phases.admitted_share() < 0.06);
}

#[test]
fn a_lone_survivor_serves_after_the_time_limits() {
    let mut phases = RecoveryPhases::new(Limits::default(), 1, 0);
    let no_evidence = RecoveryEvidence { open_inquiries: 4, ..RecoveryEvidence::default() };
    let mut entered = Vec::new();
    while let Some(due) = phases.next_update() {
        if phases.observe(&no_evidence, due) {
            entered.push((phases.phase(), due));
        }
    }
    let entered_phases: Vec<RecoveryPhase> = entered.iter().map(|e| e.0).collect();
    assert_eq!(
        entered_phases,
        [RecoveryPhase::ResolvingInDoubt, RecoveryPhase::Ramping, RecoveryPhase::Serving]
    );
    assert_eq!((entered[0].1, entered[1].1), (2 * S, 5 * S));
    assert!(entered[2].1 <= 46 * S, "{entered:?}");
}

fn evidence() -> impl Strategy<Value = RecoveryEvidence> {
    (any::<[bool; 2]>(), 0u32..5, 0u32..100, 0u32..100, 0u32..20, 0u32..20, 0.0f64..1.0).prop_map(
        |([store, record], open_inquiries_drawn, ended, in_time, workers, warm, unused)| RecoveryEvidence {
            store,
            record,
            open_inquiries: open_inquiries_drawn,
            ended,
            in_time: in_time.min(ended),
            workers,
            warm_workers: warm.min(workers),
            unused_capacity: unused,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(28), ..Default::default() })]

    /// For any evidence at any time, phases only advance, each ends within its limit, and the last is always reached.
    #[test]
    fn phases_end_for_any_evidence_and_times(
        seed in any::<u64>(),
        steps in prop::collection::vec((evidence(), 1i64..3 * S), 60..120),
    ) {
        let mut phases = RecoveryPhases::new(Limits::default(), seed, 0);
        let (mut now, mut last) = (0, RecoveryPhase::OpeningStorage);
        for (evidence, pause) in steps.into_iter().cycle().take(400) {
            // Update on new evidence and at the requested times, as the driver does.
            let then = now + pause;
            while let Some(due) = phases.next_update().filter(|due| *due <= then) {
                now = now.max(due);
                phases.observe(&evidence, now);
                prop_assert!(phases.next_update().is_none_or(|next| next > now));
            }
            now = then;
            phases.observe(&evidence, now);
            prop_assert!(phases.phase() >= last);
            last = phases.phase();
            prop_assert!(now < 2 * S || last > RecoveryPhase::OpeningStorage);
            prop_assert!(now < 5 * S || last > RecoveryPhase::ResolvingInDoubt);
            prop_assert!(now < 60 * S || last == RecoveryPhase::Serving);
            if let Admission::Wait { until } = phases.admit(false, 10 * S, now) {
                prop_assert!(until > now && until <= now + 10 * S);
            }
        }
        prop_assert_eq!(last, RecoveryPhase::Serving);
    }
}
