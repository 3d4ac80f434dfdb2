//! Each kind of invalid setting returns its own error, so that a configuration check can report its location.

mod common;

use common::division;
use stagehoist_sharding::{
    ranked, Division, DivisionError, Divisions, HomeShards, HotFunction, TransitionPhase, MAX_SHARDS,
};
use std::collections::BTreeMap;

fn hot(name: &str, spread: Option<u32>) -> HotFunction {
    HotFunction { name: name.into(), calls: 5.0, spread }
}

#[test]
fn invalid_divisions() {
    assert_eq!(Division::new(0, 1), Err(DivisionError::NoShards));
    let shards = MAX_SHARDS + 1;
    assert_eq!(Division::new(shards, 1), Err(DivisionError::TooManyShards { shards }));
    let weighted = |shard, weight| Division::weighted(4, 1, BTreeMap::from([(shard, weight)]));
    assert_eq!(weighted(4, 2), Err(DivisionError::UnknownShard { shard: 4, shards: 4 }));
    assert_eq!(weighted(3, 0), Err(DivisionError::BadWeight { shard: 3, weight: 0 }));
    assert_eq!(weighted(3, 17), Err(DivisionError::BadWeight { shard: 3, weight: 17 }));
    assert_eq!((weighted(3, 16).unwrap().weight(3), weighted(3, 16).unwrap().weight(2)), (16, 1));
}

#[test]
fn fleet_too_small_for_division() {
    let division = division(8);
    let workers = DivisionError::MoreShardsThanWorkers { shards: 8, workers: 7 };
    assert_eq!(division.check(Some(7), 24, 2, 4), Err(workers));
    let few = DivisionError::TooFewFrontEnds { shards: 8, front_ends: 1, max: 4 };
    assert_eq!(division.check(Some(24), 3, 2, 4), Err(few));
    assert_eq!(division.check(None, 4, 2, 4), Ok(()));
    assert_eq!(ranked(&division, 3, 3), Err(DivisionError::NoOwnedShards { rank: 3, of: 3 }));
    assert_eq!(ranked(&division, 0, 0), Err(DivisionError::NoOwnedShards { rank: 0, of: 0 }));
}

#[test]
fn invalid_hot_functions() {
    let of = |list: &[HotFunction]| HomeShards::new(&division(8), 100.0, list).map(|_| ());
    let bad = |spread| DivisionError::BadSpread { name: "f".into(), spread, shards: 8 };
    assert_eq!(of(&[hot("f", Some(0))]), Err(bad(0)));
    assert_eq!(of(&[hot("f", Some(9))]), Err(bad(9)));
    assert_eq!(
        of(&[hot("f", None), hot("f", None)]),
        Err(DivisionError::DuplicateFunction { name: "f".into() })
    );
    let many: Vec<HotFunction> = (0..8_193).map(|i| hot(&i.to_string(), None)).collect();
    assert_eq!(of(&many), Err(DivisionError::TooManyHotFunctions { configured: 8_193, max: 8_192 }));
    for calls in [f64::NAN, f64::INFINITY, -1.0, 1e300, 0.0] {
        let odd = HotFunction { name: "f".into(), calls, spread: None };
        assert_eq!(of(&[odd]), Ok(()));
    }
}

#[test]
fn new_generation_must_be_greater() {
    let (old, new) = (division(4), Division::new(5, 1).unwrap());
    let not_increasing = DivisionError::GenerationNotIncreasing { new: 1, old: 1 };
    assert_eq!(Divisions::changing(old, new, TransitionPhase::Both), Err(not_increasing));
}
