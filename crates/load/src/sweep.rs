//! The whole stack (broker, store, workers, gateway, callers, each a process or connection of its own) at several offered
//! loads over several seeds, under the module and under baselines.

use crate::amqp::{self, Manners, Target};
use crate::{LoadError, Mix, Plan, Report, Shape};
use serde::Serialize;
use stagehoist::Micros;
use stagehoist_stage::process::{cpu_us, metrics, sum};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// What a sweep varies and keeps.
#[derive(Clone, Debug)]
pub struct SweepOptions {
    /// Workers, calls at a time on each, and milliseconds of a run: their product is the capacity.
    pub workers: u32,
    pub lanes: u32,
    pub run_ms: u32,
    pub front_ends: u32,
    /// Offered loads, in multiples of the capacity.
    pub multiples: Vec<f64>,
    pub seeds: Vec<u64>,
    pub policies: Vec<String>,
    pub seconds: f64,
    pub aim: Micros,
    pub give_up: Micros,
    pub expiration_ms: Option<u64>,
    pub stamp: bool,
    pub shape: Shape,
    pub manners: Manners,
    /// Directives added to the gateway's configuration.
    pub more: String,
}

impl SweepOptions {
    /// Calls a second that the workers can run.
    pub fn capacity(&self) -> f64 {
        f64::from(self.workers * self.lanes) * 1000.0 / f64::from(self.run_ms.max(1))
    }
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

/// A process of the stack, ended with it.
struct Part {
    child: Child,
    lines: mpsc::Receiver<String>,
}

impl Drop for Part {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Part {
    fn start(binary: &Path, arguments: &[&str]) -> Result<Part, LoadError> {
        let what = arguments.join(" ");
        let fail = |source| LoadError::Start { what: what.clone(), source };
        let mut command = Command::new(binary);
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().map_err(fail)?;
        let stdout = child.stdout.take();
        let (told, lines) = mpsc::channel();
        if let Some(stdout) = stdout {
            // Ends with the child's output.
            std::thread::spawn(move || {
                for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                    if told.send(line).is_err() {
                        break;
                    }
                }
            });
        }
        Ok(Part { child, lines })
    }

    /// The address that a line beginning with `name` tells.
    fn address(&self, name: &str) -> Result<String, LoadError> {
        let until = Instant::now() + Duration::from_secs(10);
        while let Ok(line) = self.lines.recv_timeout(until.saturating_duration_since(Instant::now())) {
            if let Some(address) = line.strip_prefix(name).and_then(|l| l.strip_prefix(' ')) {
                return Ok(address.to_string());
            }
        }
        Err(LoadError::NotUp(name.to_string()))
    }
}

fn free_port() -> Result<String, LoadError> {
    let fail = |source| LoadError::Start { what: "a port".into(), source };
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(fail)?;
    Ok(listener.local_addr().map_err(fail)?.to_string())
}

/// One run of the whole stack.
pub fn point(
    binary: &Path,
    options: &SweepOptions,
    policy: &str,
    multiple: f64,
    seed: u64,
) -> Result<Point, LoadError> {
    let mut broker = vec!["standin", "broker", "--listen", "127.0.0.1:0"];
    broker.extend(options.stamp.then_some("--stamp"));
    let broker = Part::start(binary, &broker)?;
    let broker_at = broker.address("broker")?;
    let store = Part::start(binary, &["standin", "store", "--listen", "127.0.0.1:0"])?;
    let store_at = store.address("program-store")?;
    let program = format!("*:64:{}:80:{}", options.lanes, options.run_ms);
    let (count, lanes) = (options.workers.to_string(), options.lanes.to_string());
    let workers = ["standin", "workers", "--count", &count, "--store", &store_at, "--list", "127.0.0.1:0"];
    let workers = [&workers[..], &["--function", &program, "--cores", &lanes]].concat();
    let workers = Part::start(binary, &workers)?;
    let list_at = workers.address("worker-list")?;
    let metrics_at = free_port()?;
    let conf = format!(
        "front-ends {fronts}\nseed {seed}\n\
         class usual aim {aim}us give-up {give_up}us effect safe late-worth 0.1\n\
         function * class usual memory 64MB lanes {lanes} load 200ms\n\
         broker amqp://guest:guest@{broker_at}/\nconsume calls declare durable\n\
         worker-list consul http://{list_at} service workers wait 5s\nworker-kind usual memory 2GB\n\
         on-miss load\nattempts 3\nlisten metrics {metrics_at}\n{more}\n",
        fronts = options.front_ends,
        aim = options.aim,
        give_up = options.give_up,
        more = options.more,
    );
    let dir =
        tempfile::tempdir().map_err(|source| LoadError::Start { what: "a directory".into(), source })?;
    let path = dir.path().join("gateway.conf");
    std::fs::write(&path, conf).map_err(|source| LoadError::Start { what: "gateway.conf".into(), source })?;
    let path = path.display().to_string();
    let gateway = Part::start(binary, &["load", "gateway", "--policy", policy, &path])?;
    let until = Instant::now() + Duration::from_secs(15);
    while sum(&metrics(&metrics_at), "stagehoist_workers_ready")
        < f64::from(options.front_ends * options.workers)
    {
        if Instant::now() > until {
            return Err(LoadError::NotUp("gateway".into()));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let offered = multiple * options.capacity();
    let broker_url = format!("amqp://guest:guest@{broker_at}/");
    let target = Target {
        broker: stagehoist_config::broker(&broker_url).ok_or(LoadError::NotUp("broker".into()))?,
        queue: "calls".into(),
        expiration_ms: options.expiration_ms,
        timestamp: false,
        settle: options.give_up + 2_000_000,
        aim: options.aim,
        give_up: options.give_up,
        manners: options.manners,
        name: format!("s{seed}"),
    };
    let functions = Mix::parse(&["f".into()])?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|source| LoadError::Start { what: "a runtime".into(), source })?;
    // Copies stand before the measured part: what is offered then, not how workers warm up, is the matter here.
    let warm = Plan::new(
        Shape::Constant,
        options.capacity() / 2.0,
        1_500_000,
        functions.clone(),
        Mix::parse(&[])?,
        (0, 0),
        seed,
    )?;
    let warm_target = Target { name: format!("w{seed}"), ..target.clone() };
    runtime.block_on(amqp::run(&warm_target, warm, seed, &mut |_, _| {}))?;
    let before = metrics(&metrics_at);
    let cpu = cpu_us(gateway.child.id());
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
    let after = metrics(&metrics_at);
    let messages = report.messages.max(1) as f64;
    let module = "stagehoist_module_microseconds_total";
    Ok(Point {
        policy: policy.to_string(),
        multiple,
        seed,
        offered,
        capacity: options.capacity(),
        module_us: (sum(&after, module) - sum(&before, module)) / messages,
        cpu_us: (cpu_us(gateway.child.id()) - cpu) / messages,
        report,
    })
}

/// All runs, in turn, so that none disturbs another; `show` is told each.
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
