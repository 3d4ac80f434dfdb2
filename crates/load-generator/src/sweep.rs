//! The whole stack (broker, store, workers, gateway, callers, each a process or connection of its own) at several offered
//! loads over several seeds, under the module and under baselines.

use crate::amqp::{self, Manners, Target};
use crate::stand::{LoadStack, LoadStackOptions};
use crate::{LoadError, Mix, Plan, Report, Shape};
use serde::Serialize;
use stagehoist::Micros;
use stagehoist_harness::process::sum;
use std::path::Path;
use std::time::Duration;

/// What a sweep varies and keeps.
#[derive(Clone, Debug)]
pub struct SweepOptions {
    /// What stands; policy and seed are the sweep's.
    pub stand: LoadStackOptions,
    /// Offered loads, in multiples of the capacity.
    pub multiples: Vec<f64>,
    pub seeds: Vec<u64>,
    pub policies: Vec<String>,
    pub seconds: f64,
    pub expiration_ms: Option<u64>,
    pub shape: Shape,
    pub manners: Manners,
}

/// One run.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    pub policy: String,
    pub multiple: f64,
    pub seed: u64,
    pub offered: f64,
    pub capacity: f64,
    /// Time in the policy for each call, in microseconds.
    pub module_us: f64,
    /// Processor time of the gateway for each message, in microseconds.
    pub cpu_us: f64,
    pub report: Report,
}

/// One run of the whole stack.
pub fn point(
    binary: &Path,
    options: &SweepOptions,
    policy: &str,
    multiple: f64,
    seed: u64,
) -> Result<Point, LoadError> {
    let stand = LoadStackOptions { policy: policy.into(), seed, ..options.stand.clone() };
    let mut stack = LoadStack::start(binary, &stand)?;
    stack.serve()?;
    let offered = multiple * stand.capacity();
    let target = Target {
        broker: stack.broker_url()?,
        queue: "calls".into(),
        expiration_ms: options.expiration_ms,
        timestamp: false,
        settle: stand.give_up + 2_000_000,
        aim: stand.aim,
        give_up: stand.give_up,
        manners: options.manners,
        name: format!("s{seed}"),
    };
    let functions = Mix::parse(&["f".into()])?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|source| LoadError::Start { what: "a runtime".into(), source })?;
    // Copies stand before the measured part: what is offered then, not how workers warm up, is the matter here.
    let warm = Plan::new(
        Shape::Constant,
        stand.capacity() / 2.0,
        1_500_000,
        functions.clone(),
        Mix::parse(&[])?,
        (0, 0),
        seed,
    )?;
    let warm_target = Target { name: format!("w{seed}"), ..target.clone() };
    runtime.block_on(amqp::run(&warm_target, warm, seed, &mut |_, _| {}))?;
    let before = stack.metrics();
    let cpu = stack.cpu_us();
    let span = (options.seconds * 1e6) as Micros;
    let plan = Plan::new(
        options.shape.clone(),
        offered,
        span,
        functions,
        Mix::parse(&[])?,
        (0, 0),
        seed * 7919 + 1,
    )?;
    let report = runtime.block_on(amqp::run(&target, plan, seed, &mut |_, _| {}))?;
    std::thread::sleep(Duration::from_millis(300));
    let after = stack.metrics();
    let messages = report.messages.max(1) as f64;
    let module = "stagehoist_module_microseconds_total";
    Ok(Point {
        policy: policy.to_string(),
        multiple,
        seed,
        offered,
        capacity: stand.capacity(),
        module_us: (sum(&after, module) - sum(&before, module)) / messages,
        cpu_us: (stack.cpu_us() - cpu) / messages,
        report,
    })
}

/// All runs, in turn, so that none disturbs another; `show` is called with each.
pub fn sweep(
    binary: &Path,
    options: &SweepOptions,
    show: &mut dyn FnMut(&Point),
) -> Result<Vec<Point>, LoadError> {
    let mut points = Vec::new();
    for &multiple in &options.multiples {
        for &seed in &options.seeds {
            // Policies side by side in time, as a machine's pace changes over a long sweep.
            for policy in &options.policies {
                let point = point(binary, options, policy, multiple, seed)?;
                show(&point);
                points.push(point);
            }
        }
    }
    Ok(points)
}
