//! One front end of the letter's fleet divided into shards, beside the same front end with the whole list.

mod bytes;
mod hour;
mod module;

use crate::front_end::{played, Outcome, Played, Scene, Shards};
use crate::letter::*;
use crate::plan::{Measure, Plan};
use crate::row::{Resource, Role, Subject};
use std::rc::Rc;

pub const MEASURES: &[Measure] = &[
    Measure { name: "proof-call", run: |p| Ok(module::mean(p, "proof-call", Played::Usual)) },
    Measure { name: "proof-call-p50", run: |p| Ok(module::middle(p, "proof-call-p50", Played::Usual)) },
    Measure {
        name: "proof-call-busiest",
        run: |p| Ok(module::mean(p, "proof-call-busiest", Played::Busiest)),
    },
    Measure { name: "proof-control", run: |p| Ok(module::control(p, "proof-control", Played::Usual)) },
    Measure {
        name: "proof-control-busiest",
        run: |p| Ok(module::control(p, "proof-control-busiest", Played::Busiest)),
    },
    Measure { name: "proof-memory", run: |p| Ok(hour::memory(p)) },
    Measure { name: "proof-memory-growth", run: |p| Ok(hour::growth(p)) },
    Measure { name: "proof-bytes-bus", run: bytes::bus },
    Measure { name: "proof-bytes-consul", run: bytes::consul },
    Measure { name: "proof-bytes-consul-divided", run: bytes::consul_divided },
];

/// Shards of the letter's fleet where no other number is configured.
pub const SHARDS: u32 = 300;

pub fn shards(plan: &Plan) -> u32 {
    plan.shards.unwrap_or(SHARDS)
}

/// One front end of the divided fleet over so many workers; the control knows the whole list.
fn scene(plan: &Plan, workers: u32, seconds: f64, played: Played) -> Scene {
    let shards = Shards { played, ..Shards::of(shards(plan)) };
    let plain = Scene::one(workers, FUNCTIONS as u64, seconds, plan.seed);
    Scene { shards: (!plan.control).then_some(shards), ..plain }
}

/// The same with the whole list, for some seconds: at the letter's size but in small.
fn whole(plan: &Plan) -> Rc<Outcome> {
    let workers = plan.pick(600, WORKERS as u32, WORKERS as u32);
    let seconds = plan.pick(4.0, 12.0, 12.0);
    played(&Scene::one(workers, FUNCTIONS as u64, seconds, plan.seed))
}

fn subject(name: &'static str) -> Subject {
    Subject {
        name,
        role: Role::FrontEnd,
        resource: Resource::Time,
        unit: "s of processor",
        axis: "workers, 170,000 functions, 300 shards",
        asked: WORKERS,
        limit: 25e-6,
        source: "25 us a call",
        formula: "a + b * workers of its shards, c * workers for the list",
        mechanism:
            "division into shards: the module is told of its own workers, called for its own functions",
        counted: false,
    }
}
