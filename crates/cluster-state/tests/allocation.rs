//! Dealing in a simulated fleet: never more runs than the pool has permits, owners get their permits back in the
//! stated time, and what nobody reserved or uses is lent.

mod allocation_world;

use allocation_world::{Faults, World, LIMITS, MS, STEP, TERMS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PERMITS: u32 = 100;
const RESERVED: u32 = 40;
/// Four rounds of report and answer (the owner asks, borrowers are told less, their runs end and they tell
/// so, the owner is given more), and the longest run.
const BACK: i64 = 4 * (50 + 12 + 10) * MS + LIMITS.longest_run;

fn faults() -> impl Strategy<Value = Faults> {
    (0..400u32, 0..200u32, 0..300u32, 0..4u32, 0..10u32)
        .prop_map(|(lost, doubled, late, restart, elect)| Faults { lost, doubled, late, restart, elect })
}

fn settle_allocation(world: &mut World, span: i64) {
    for _ in 0..span / STEP {
        world.step();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, rng_seed: RngSeed::Fixed(28), ..ProptestConfig::default() })]

    #[test]
    fn runs_never_exceed_the_pool(
        seed: u64, members in 1..=5usize, lanes in 1..60u32, part in 0..=100u32, faults in faults(),
    ) {
        let mut world = World::new(seed, members, lanes, lanes * part / 100, faults);
        let mut most = 0;
        for step in 0..2000 {
            if step % 40 == 0 {
                let (n, others, owner) = (world.draw(members), world.draw(80), world.draw(80));
                world.load(n, others, owner);
            }
            world.step();
            most = most.max(world.runs());
            prop_assert!(world.runs() <= lanes as usize, "{} runs in step {step}", world.runs());
        }
        // More than the guaranteed minimums came into use at some time, unless leaders followed each other too fast for
        // it.
        prop_assert!(most > 0 || lanes < 25, "{most} of {lanes}");
    }

    #[test]
    fn a_pool_that_shrinks_is_kept_to_once_what_was_given_has_ended(
        seed: u64, to in 5..60u32, lost in 0..300u32,
    ) {
        let mut world = World::new(seed, 5, 60, 20, Faults { lost, ..Faults::default() });
        for n in 0..5 {
            world.load(n, 60, 20);
        }
        settle_allocation(&mut world, 3000 * MS);
        prop_assert!(world.runs() <= 60);
        world.pools(to, to / 3);
        // Leases that stand, the runs under them, and the views that are lost on the way.
        settle_allocation(&mut world, TERMS.lease + LIMITS.longest_run + 1500 * MS);
        for _ in 0..200 {
            world.step();
            prop_assert!(world.runs() <= to as usize, "{} of {to}", world.runs());
        }
    }

    #[test]
    fn an_owner_has_its_lanes_back_in_the_stated_time(seed: u64, at in 0..5usize) {
        let mut world = World::new(seed, 5, PERMITS, RESERVED, Faults::default());
        for n in 0..5 {
            world.load(n, 400, 0);
        }
        settle_allocation(&mut world, 3000 * MS);
        prop_assert!(world.runs() >= 95, "lent: {}", world.runs());
        world.load(at, 400, RESERVED as usize);
        let mut steps = 0;
        while world.runs_at(at).1 < RESERVED as usize {
            steps += 1;
            world.step();
            prop_assert!(steps * STEP <= BACK, "{} lanes after {} us", world.runs_at(at).1, steps * STEP);
        }
    }

    #[test]
    fn lanes_do_not_lie_idle_while_others_want_them(seed: u64, busy in 1..=5usize) {
        let mut world = World::new(seed, 5, PERMITS, RESERVED, Faults::default());
        for n in 0..busy {
            world.load(n, 400, 0);
        }
        settle_allocation(&mut world, 3000 * MS);
        // Guaranteed minimums of front ends without calls are theirs; of the rest 95% is in use.
        let floors = 4 * (5 - busy);
        let (mut used, mut steps) = (0, 0);
        for _ in 0..400 {
            world.step();
            (used, steps) = (used + world.runs(), steps + 1);
        }
        let could = (PERMITS as usize - floors) * steps;
        prop_assert!(used * 100 >= could * 95, "{used} of {could}");
    }
}
