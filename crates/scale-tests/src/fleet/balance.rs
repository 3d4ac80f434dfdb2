//! Calls of the busiest shard over the mean of all, by the homes of 170,000 functions. Exact: no call is
//! drawn.

use crate::fit::Point;
use crate::front_end::{function, function_name, homes, rates, TOLD};
use crate::letter::*;
use crate::plan::Plan;
use crate::proof;
use crate::row::{Resource, Role, Row, Subject};
use stagehoist_sharding::{Assignment, Division, Key, Member};
use std::collections::BTreeMap;

/// The busiest shard's calls over the mean.
const BUSIEST: f64 = 1.25;

fn subject(name: &'static str, plan: &Plan) -> Subject {
    Subject {
        name,
        role: Role::FrontEnd,
        resource: Resource::Share,
        unit: "of the mean",
        axis: "shards, 170,000 functions",
        asked: f64::from(proof::shards(plan)),
        limit: BUSIEST,
        source: "1.25 of the mean",
        formula: "largest sum over the functions of a shard of calls / shards in which each is",
        mechanism: "homes by name; the 1,000 most called functions are told, spread and dealt out",
        counted: true,
    }
}

/// Calls of each shard; `silent` is one that nobody calls a function of.
fn traffic(division: &Division, rates: &[f64], told: u32, silent: Option<u32>) -> Vec<f64> {
    let homes = homes(division, rates, told);
    let mut traffic = vec![0.0; division.shards() as usize];
    for (rank, calls) in rates.iter().enumerate() {
        let at = homes.of(Key::of(&function_name(function(rank as u64 + 1))));
        at.iter().for_each(|s| traffic[*s as usize] += calls / at.len() as f64);
    }
    silent.into_iter().for_each(|s| traffic[s as usize] = 0.0);
    traffic
}

fn busiest(traffic: &[f64]) -> f64 {
    let mean = traffic.iter().sum::<f64>() / traffic.len() as f64;
    traffic.iter().fold(0.0, |a: f64, t| a.max(*t)) / mean
}

/// Over numbers of shards, up to the one that is asked for; the control tells of no function. Beside: none
/// told.
fn row(plan: &Plan, subject: Subject, rates: &[f64], silent: Option<u32>) -> Row {
    let told = if plan.control { 0 } else { TOLD };
    let count = proof::shards(plan);
    let sizes = [30, 10, 3, 1].map(|part| (count / part).max(2));
    let plain = |shards| Division::new(shards, 1).unwrap_or_else(|e| unreachable!("{e}"));
    let at = |shards: u32, told| busiest(&traffic(&plain(shards), rates, told, silent));
    let point = |shards| Point { size: f64::from(shards), value: at(shards, told) };
    let row = Row::new(subject, sizes.map(point).to_vec());
    Row { beside: Some(at(count, 0)), ..row }
}

pub fn zipf(plan: &Plan, name: &'static str, exponent: f64) -> Row {
    row(plan, subject(name, plan), &rates(FUNCTIONS as u64, exponent), None)
}

/// One function with a tenth of all calls; the others as by Zipf's law with exponent 1.
pub fn hot_function(plan: &Plan) -> Row {
    let mut rates = rates(FUNCTIONS as u64, 1.0);
    let others = CALLS - rates[0];
    rates.iter_mut().skip(1).for_each(|r| *r *= 0.9 * CALLS / others);
    rates[0] = 0.1 * CALLS;
    row(plan, subject("fleet-hot-function", plan), &rates, None)
}

/// One shard whose functions nobody calls: the others don't get its part.
pub fn empty_shard(plan: &Plan) -> Row {
    row(plan, subject("fleet-empty-shard", plan), &rates(FUNCTIONS as u64, 1.0), Some(0))
}

/// A shard that is configured to weigh ten: ten times the functions, and ten times the workers. A worker's calls
/// over the mean; the control doesn't tell the workers' division of it.
pub fn hot_shard(plan: &Plan) -> Row {
    let subject = Subject {
        unit: "of the mean of a worker",
        formula:
            "largest of a shard's calls / its workers, over all calls / all workers; one shard weighs 10",
        mechanism: "weights of shards: tickets for functions and workers alike",
        ..subject("fleet-hot-shard", plan)
    };
    let rates = rates(FUNCTIONS as u64, 1.0);
    let count = proof::shards(plan);
    let value = |shards: u32| {
        let plain = Division::new(shards, 1).unwrap_or_else(|e| unreachable!("{e}"));
        let hot =
            Division::weighted(shards, 1, BTreeMap::from([(0, 10)])).unwrap_or_else(|e| unreachable!("{e}"));
        let calls = traffic(&hot, &rates, TOLD, None);
        let worker = |n: u32| Member::new(&format!("worker-{n}"), (n % ZONES as u32) as u16, 1.0);
        let told = if plan.control { &plain } else { &hot };
        let (workers, _) = Assignment::of(told, (0..WORKERS as u32).map(worker));
        let each = (0..shards).map(|s| calls[s as usize] / workers.load(s).max(1.0));
        each.fold(0.0, f64::max) * WORKERS / CALLS
    };
    let sizes = [30, 10, 3, 1].map(|part| (count / part).max(2));
    Row::new(subject, sizes.map(|n| Point { size: f64::from(n), value: value(n) }).to_vec())
}
