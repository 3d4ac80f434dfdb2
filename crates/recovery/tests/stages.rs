//! Stages end for whatever is seen, let reservations in first, and open by evidence.

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
    let mut stages = RecoveryPhases::new(Limits::default(), 1, 0);
    if stage >= RecoveryPhase::ResolvingInDoubt {
        stages.observe(&RecoveryEvidence { store: true, ..RecoveryEvidence::default() }, 0);
    }
    if stage >= RecoveryPhase::Ramping {
        stages.observe(&COLD, 0);
    }
    assert_eq!(stages.phase(), stage);
    stages
}

/// How many of a thousand calls outside reservations enter.
fn others(stages: &mut RecoveryPhases, now: i64) -> usize {
    (0..1000).filter(|_| stages.admit(false, 5 * S, now) == Admission::Enter).count()
}

#[test]
fn calls_wait_through_waking_and_asking_where_their_time_allows() {
    for stage in [RecoveryPhase::OpeningStorage, RecoveryPhase::ResolvingInDoubt] {
        let mut stages = at(stage);
        assert!(matches!(stages.admit(true, 10 * S, 0), Admission::Wait { until } if until <= 5 * S));
        let Admission::Refuse { reason, retry_after } = stages.admit(true, S, 0) else { panic!() };
        assert_eq!(reason, stage.word());
        assert!((3 * S..=10 * S).contains(&retry_after), "{retry_after}");
    }
}

#[test]
fn refusals_come_back_spread_and_the_same_for_one_seed() {
    let times = |seed| -> Vec<i64> {
        let mut stages = RecoveryPhases::new(Limits::default(), seed, 0);
        let calls = (0..1000).map(|_| match stages.admit(false, 0, 0) {
            Admission::Refuse { retry_after, .. } => retry_after,
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
fn reservations_enter_a_cold_fleet_and_of_the_others_only_the_least_part() {
    let mut stages = at(RecoveryPhase::Ramping);
    for second in 1..19 {
        assert!(!stages.observe(&COLD, second * S));
        assert_eq!(stages.admit(true, 0, second * S), Admission::Enter);
        assert!((20..100).contains(&others(&mut stages, second * S)));
    }
}

#[test]
fn a_warm_fleet_opens_by_steps_before_any_limit() {
    let mut stages = at(RecoveryPhase::Ramping);
    let mut part = stages.admitted_share();
    let mut now = 0;
    while stages.phase() == RecoveryPhase::Ramping {
        now += S / 2;
        stages.observe(&WARM, now);
        assert!(stages.admitted_share() <= 2.0 * part + 1e-9);
        part = stages.admitted_share();
    }
    assert!((2 * S..5 * S).contains(&now), "{now}");
    assert_eq!(others(&mut stages, now), 1000);
}

#[test]
fn each_sign_of_cold_alone_keeps_the_others_out() {
    let signs = [
        RecoveryEvidence { warm_workers: 0, ..WARM },
        RecoveryEvidence { in_time: 0, ..WARM },
        RecoveryEvidence { unused_capacity: 0.0, ..WARM },
        RecoveryEvidence { ended: 3, in_time: 3, ..WARM },
        RecoveryEvidence { workers: 0, ..WARM },
    ];
    for sign in signs {
        let mut stages = at(RecoveryPhase::Ramping);
        for second in 1..20 {
            stages.observe(&sign, second * S);
        }
        assert!(stages.admitted_share() < 0.06, "{sign:?}: {}", stages.admitted_share());
    }
    // Evidence that goes away shuts again.
    let mut stages = at(RecoveryPhase::Ramping);
    for half in 1..4 {
        stages.observe(&WARM, half * S / 2);
    }
    assert!(stages.admitted_share() > 0.3);
    stages.observe(&COLD, 2 * S);
    assert!(stages.admitted_share() < 0.06);
}

#[test]
fn a_lone_survivor_serves_by_the_limits() {
    let mut stages = RecoveryPhases::new(Limits::default(), 1, 0);
    let nothing = RecoveryEvidence { open_inquiries: 4, ..RecoveryEvidence::default() };
    let mut entered = Vec::new();
    while let Some(due) = stages.due() {
        if stages.observe(&nothing, due) {
            entered.push((stages.phase(), due));
        }
    }
    let stages: Vec<RecoveryPhase> = entered.iter().map(|e| e.0).collect();
    assert_eq!(stages, [RecoveryPhase::ResolvingInDoubt, RecoveryPhase::Ramping, RecoveryPhase::Serving]);
    assert_eq!((entered[0].1, entered[1].1), (2 * S, 5 * S));
    assert!(entered[2].1 <= 46 * S, "{entered:?}");
}

fn seen() -> impl Strategy<Value = RecoveryEvidence> {
    (any::<[bool; 2]>(), 0u32..5, 0u32..100, 0u32..100, 0u32..20, 0u32..20, 0.0f64..1.0).prop_map(
        |([store, record], unheard, ended, in_time, workers, warm, unused)| RecoveryEvidence {
            store,
            record,
            open_inquiries: unheard,
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

    /// Whatever is seen and whenever: stages only go on, each within its limit, and all are over in the end.
    #[test]
    fn stages_end_for_any_answers_and_times(
        seed in any::<u64>(),
        steps in prop::collection::vec((seen(), 1i64..3 * S), 60..120),
    ) {
        let mut stages = RecoveryPhases::new(Limits::default(), seed, 0);
        let (mut now, mut last) = (0, RecoveryPhase::OpeningStorage);
        for (seen, pause) in steps.into_iter().cycle().take(400) {
            // As the driver does: when told, and when due.
            let then = now + pause;
            while let Some(due) = stages.due().filter(|due| *due <= then) {
                now = now.max(due);
                stages.observe(&seen, now);
                prop_assert!(stages.due().is_none_or(|next| next > now));
            }
            now = then;
            stages.observe(&seen, now);
            prop_assert!(stages.phase() >= last);
            last = stages.phase();
            prop_assert!(now < 2 * S || last > RecoveryPhase::OpeningStorage);
            prop_assert!(now < 5 * S || last > RecoveryPhase::ResolvingInDoubt);
            prop_assert!(now < 60 * S || last == RecoveryPhase::Serving);
            if let Admission::Wait { until } = stages.admit(false, 10 * S, now) {
                prop_assert!(until > now && until <= now + 10 * S);
            }
        }
        prop_assert_eq!(last, RecoveryPhase::Serving);
    }
}
