//! An hour in which the regions don't hear each other, in simulated time around the cluster state's real state: who may still
//! change what, what is refused meanwhile, and what is joined afterwards.

mod world;

use super::fault::Outcome;
use crate::letter::{CHANGES, DAY};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist_cluster_state::{LeaseTerms, Micros, RetirementMode};
use std::collections::VecDeque;
use world::World;

/// Every member reports once a step; so a promise of two seconds never runs out at ease.
const STEP: Micros = 500_000;
/// A view beyond this takes no retirement more: half of the longest frame (`VIEW_MOST` of the sessions).
pub const FULL: usize = (4 << 20) / 2;
/// Time before the cut, and after the hour until what is left is reported.
const BEFORE: Micros = 20_000_000;
const AFTER: Micros = 120_000_000;

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Members; half of them in each region.
    pub members: usize,
    pub cut: Micros,
    /// Of the changes, those of functions that are retired strictly.
    pub strict: f64,
    /// The region with the leader has the majority; else none has, and nobody is elected.
    pub majority: bool,
    /// Retirements are refused once the view is full, as the leader does.
    pub bounded: bool,
    pub seed: u64,
    pub terms: LeaseTerms,
}

/// What came of it. Times in milliseconds of simulated time, to a step.
#[derive(Clone, Debug, Default)]
pub struct Course {
    /// Changes proposed in the leader's region during the cut; those that the cluster state took, refused as full, and that
    /// came in force before its end.
    pub proposed: usize,
    pub taken: usize,
    pub refused_full: usize,
    pub forced: usize,
    pub force_ms: Vec<f64>,
    /// Names of members excepted, over all changes, at the end of the cut.
    pub excepted: usize,
    pub first_full_s: Option<f64>,
    /// Bytes of the view at the end of the cut; and what a member of the leader's region was sent as views, a second.
    pub view: usize,
    pub views_a_second: f64,
    /// Changes that wait in the other region at the end of the cut, and those of them in force at the end of all.
    pub waited: usize,
    pub joined: usize,
    /// For how long, in seconds, a member of each region had no fresh view.
    pub stale_s: f64,
    pub stale_near_s: f64,
    /// From the end of the cut until no member is excepted any more and all that waited is in force; None: never.
    pub healed_s: Option<f64>,
    /// Views that a member of the other region is sent for that, in bytes.
    pub catch_up: usize,
}

/// Plays it.
///
/// # Errors
/// A view can't be encoded.
pub fn play(plan: Plan) -> Outcome<Course> {
    let mut world = World::new(plan);
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    while world.now < BEFORE {
        world.step(false)?;
    }
    (world.course.stale_s, world.course.stale_near_s) = (0.0, 0.0);
    let (mut functions, mut waits, mut next) = (Vec::new(), VecDeque::new(), 0);
    let share = CHANGES / DAY * STEP as f64 / 1e6;
    while world.now < BEFORE + plan.cut {
        world.step(true)?;
        if !random.random_bool(share) {
            continue;
        }
        let mode =
            if random.random_bool(plan.strict) { RetirementMode::Strict } else { RetirementMode::Available };
        let near = random.random_bool(0.5);
        next += 1;
        if !near {
            waits.push_back((next, mode));
            continue;
        }
        world.course.proposed += 1;
        // Without a majority the change is proposed and not agreed on.
        if plan.majority {
            if world.propose(next, mode)? {
                functions.push(next);
            } else {
                world.course.refused_full += 1;
                let at = (world.now - BEFORE) as f64 / 1e6;
                world.course.first_full_s.get_or_insert(at);
            }
        }
    }
    world.course.taken = functions.len();
    world.course.forced = world.forced(&functions);
    world.course.excepted = world.excepted();
    world.course.view = world.view_bytes()?;
    world.course.views_a_second /= plan.cut as f64 / 1e6;
    world.course.waited = waits.len();
    let (healed, stale) = (world.now, (world.course.stale_s, world.course.stale_near_s));
    let late: Vec<usize> = waits.iter().map(|(n, _)| *n).collect();
    let mut seen = 0;
    while world.now < healed + AFTER {
        world.step(false)?;
        // A session hands over what waits as soon as it is welcomed.
        while let Some((n, mode)) = waits.pop_front() {
            if !world.propose(n, mode)? {
                waits.push_front((n, mode));
                break;
            }
        }
        if world.shown != seen {
            seen = world.shown;
            world.course.catch_up += world.view_bytes()?;
        }
        if world.forced(&late) == late.len() && world.excepted() == 0 {
            world.course.healed_s = Some((world.now - healed) as f64 / 1e6);
            break;
        }
    }
    world.course.joined = world.forced(&late);
    (world.course.stale_s, world.course.stale_near_s) = stale;
    world.course.force_ms.sort_by(f64::total_cmp);
    Ok(world.course)
}
