//! What is played before real front ends: how many workers and functions, which calls, what happens to the list.

use super::division::Shards;
use crate::letter;
use stagehoist::{ClassSettings, Effect, FunctionId, Micros, OnMiss, Settings, WorkerId};
use std::hash::Hasher;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// How long an unused copy stands: the product's `idle-keep` where none is configured.
pub const KEEP: Micros = 10 * SECOND;
/// A load, alone on its worker: assumed, so that the letter's 0.56 s leaves 0.06 s for all else.
pub const LOAD: Micros = 500 * MS;
/// A connection to a worker is closed after so long without a call.
pub const IDLE_CLOSE: Micros = 10 * SECOND;

/// What happens to the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// So many restart, one after the other, and keep their names.
    Restart(Vec<u32>),
    /// So many are gone and others with new names come.
    Replace(Vec<u32>),
    /// They are gone at once.
    Gone(Vec<u32>),
    /// They are back at once, restarted.
    Back(Vec<u32>),
    /// The list comes whole though nothing changed.
    Whole,
}

/// What is put in so that a row must be short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The list comes whole with every call, a hundred times.
    WholeEachCall,
    /// Names of workers never repeat: every second a third of them are replaced by others.
    NamesNeverRepeat,
    /// Each front end ranks the workers by an order of its own.
    OwnNumbers,
    /// Loads are slow and go one by one.
    SlowStore,
    /// A connection to each worker of the list at its start, none kept after a call.
    ConnectionEach,
    /// Each instance is a worker of its own: the list is so much longer.
    InstanceEach,
    /// Unused copies stand for a day, and so long is kept what was called.
    KeepForEver,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Scene {
    pub workers: u32,
    pub functions: u64,
    /// Of each front end.
    pub calls_per_second: f64,
    pub seconds: f64,
    /// What is counted begins so late, in seconds.
    pub counts_from: f64,
    /// Front ends that run, with real code; all share the workers.
    pub front_ends: u32,
    /// Front ends that they are notified of.
    pub told: u32,
    pub shards: Option<Shards>,
    /// Exponent of Zipf's law over functions.
    pub zipf: f64,
    /// When something happens to the list, in seconds.
    pub changes: Vec<(f64, Change)>,
    pub fault: Option<Fault>,
    pub seed: u64,
}

impl Scene {
    /// One front end of the letter's fleet that knows so many workers and functions.
    pub fn one(workers: u32, functions: u64, seconds: f64, seed: u64) -> Scene {
        Scene {
            workers,
            functions,
            calls_per_second: letter::CALLS_EACH,
            seconds,
            counts_from: 0.0,
            front_ends: 1,
            told: letter::FRONT_ENDS as u32,
            shards: None,
            zipf: 1.0,
            changes: Vec::new(),
            fault: None,
            seed,
        }
    }

    pub fn settings(&self) -> Settings {
        let class = ClassSettings {
            latency_objective: 2 * SECOND,
            objective_work_factor: 0.0,
            effect: Effect::Idempotent,
            priority_weight: 1.0,
            late_value: 0.1,
            streaming: false,
        };
        Settings {
            front_ends: self.told,
            classes: vec![class],
            tick: MS,
            drain_grace: SECOND,
            overload_window: SECOND,
            overload_factor: 2.0,
            start_capacity: 0.25,
            warm_up: 10 * SECOND,
            max_attempts: 3,
            hedging: true,
            may_cancel: true,
            may_order_loads: true,
            connect_timeout: 250 * MS,
            idle_retention: if self.fault == Some(Fault::KeepForEver) {
                letter::DAY as Micros * SECOND
            } else {
                KEEP
            },
            on_miss: OnMiss::Load,
            load_timeout: 10 * SECOND,
            memory_mb: vec![8000.0],
            ..Settings::default()
        }
    }

    /// The number of a worker: stable, spread over all numbers, new with each replacement.
    pub fn worker(&self, place: u32, replaced: u32) -> WorkerId {
        hash(u64::from(place) << 32 | u64::from(replaced)) as u32
    }
}

/// The number of a function by its place among the most called ones, from 1.
pub fn function(rank: u64) -> FunctionId {
    hash(rank) & ((1 << 40) - 1)
}

/// A stable spread of a number.
pub fn hash(number: u64) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write_u64(number ^ 0x5ca1_ab1e);
    let x = hasher.finish();
    (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 8
}
