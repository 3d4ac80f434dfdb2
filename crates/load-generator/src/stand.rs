//! A whole stack of processes on loopback: emulated systems for broker, program store and workers, and the gateway as it is served.

use crate::LoadError;
use stagehoist::Micros;
use stagehoist_config::Broker;
use stagehoist_harness::process::{cpu_us, metrics, metrics_told, sum};
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// What stands.
#[derive(Clone, Debug)]
pub struct LoadStackOptions {
    /// Workers, calls at a time on each, and milliseconds of a run: their product is the capacity.
    pub workers: u32,
    pub lanes: u32,
    pub run_ms: u32,
    /// Calls that wait at a worker at most.
    pub queue: usize,
    /// Front ends of each gateway process.
    pub processes: Vec<u32>,
    pub policy: String,
    pub seed: u64,
    pub aim: Micros,
    pub give_up: Micros,
    pub stamp: bool,
    /// Directives added to the gateway's configuration.
    pub more: String,
}

impl Default for LoadStackOptions {
    fn default() -> LoadStackOptions {
        LoadStackOptions {
            workers: 4,
            lanes: 2,
            run_ms: 20,
            queue: 64,
            processes: vec![1],
            policy: "module".into(),
            seed: 1,
            aim: 800_000,
            give_up: 2_500_000,
            stamp: false,
            more: String::new(),
        }
    }
}

impl LoadStackOptions {
    /// Calls a second that the workers can run.
    pub fn capacity(&self) -> f64 {
        f64::from(self.workers * self.lanes) * 1000.0 / f64::from(self.run_ms.max(1))
    }
}

/// Lines of a process that are kept until somebody waits for one.
const LINES: usize = 64;

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
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(fail)?;
        let (told, lines) = mpsc::sync_channel(LINES);
        let (out, log) = (child.stdout.take(), child.stderr.take());
        let outputs: [Option<Box<dyn Read + Send>>; 2] =
            [out.map(|x| Box::new(x) as _), log.map(|x| Box::new(x) as _)];
        for output in outputs.into_iter().flatten() {
            let told = told.clone();
            // Ends with the child's output; what nobody waits for is read and let go.
            std::thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    let _ = told.try_send(line);
                }
            });
        }
        Ok(Part { child, lines })
    }

    /// What the first line tells in which `pick` finds something.
    fn told(&self, what: &str, pick: impl Fn(&str) -> Option<String>) -> Result<String, LoadError> {
        let until = Instant::now() + Duration::from_secs(10);
        while let Ok(line) = self.lines.recv_timeout(until.saturating_duration_since(Instant::now())) {
            if let Some(found) = pick(&line) {
                return Ok(found);
            }
        }
        Err(LoadError::NotUp(what.to_string()))
    }

    /// The address that a line beginning with `name` tells.
    fn address(&self, name: &str) -> Result<String, LoadError> {
        self.told(name, |line| Some(line.strip_prefix(name)?.strip_prefix(' ')?.to_string()))
    }
}

/// A stack that stands; its processes end with it.
pub struct LoadStack {
    options: LoadStackOptions,
    binary: PathBuf,
    /// Address of the broker.
    pub broker: String,
    list: String,
    gateways: Vec<(Part, String)>,
    folder: tempfile::TempDir,
    _parts: [Part; 3],
}

impl LoadStack {
    /// Starts broker, store and workers; no gateway yet.
    pub fn start(binary: &Path, options: &LoadStackOptions) -> Result<LoadStack, LoadError> {
        let mut broker = vec!["standin", "broker", "--listen", "127.0.0.1:0"];
        broker.extend(options.stamp.then_some("--stamp"));
        let broker = Part::start(binary, &broker)?;
        let broker_at = broker.address("broker")?;
        let store = Part::start(binary, &["standin", "store", "--listen", "127.0.0.1:0"])?;
        let store_at = store.address("program-store")?;
        let program = format!("*:64:{}:80:{}", options.lanes, options.run_ms);
        let (count, lanes) = (options.workers.to_string(), options.lanes.to_string());
        let queue = options.queue.to_string();
        let workers =
            ["standin", "workers", "--count", &count, "--store", &store_at, "--list", "127.0.0.1:0"];
        let workers =
            [&workers[..], &["--function", &program, "--cores", &lanes, "--queue", &queue]].concat();
        let workers = Part::start(binary, &workers)?;
        let list = workers.address("worker-list")?;
        let folder =
            tempfile::tempdir().map_err(|source| LoadError::Start { what: "a directory".into(), source })?;
        Ok(LoadStack {
            options: options.clone(),
            binary: binary.to_path_buf(),
            broker: broker_at,
            list,
            gateways: Vec::new(),
            folder,
            _parts: [broker, store, workers],
        })
    }

    /// Starts the gateway's processes and waits until each front end knows all workers.
    pub fn serve(&mut self) -> Result<(), LoadError> {
        let o = &self.options;
        for (number, fronts) in o.processes.iter().enumerate() {
            let conf = format!(
                "front-ends {fronts}\nfleet-front-ends {fleet}\nseed {seed}\n\
                 class usual aim {aim}us give-up {give_up}us effect safe late-worth 0.1\n\
                 function * class usual memory 64MB lanes {lanes} load 200ms\n\
                 broker amqp://guest:guest@{broker}/\nconsume calls declare durable\n\
                 worker-list consul http://{list} service workers wait 5s\nworker-kind usual memory 2GB\n\
                 on-miss load\nattempts 3\nlisten metrics 127.0.0.1:0\n{more}\n",
                fleet = o.processes.iter().sum::<u32>(),
                seed = o.seed + 1000 * number as u64,
                aim = o.aim,
                give_up = o.give_up,
                lanes = o.lanes,
                broker = self.broker,
                list = self.list,
                more = o.more,
            );
            let path = self.folder.path().join(format!("gateway-{number}.conf"));
            std::fs::write(&path, conf)
                .map_err(|source| LoadError::Start { what: "gateway.conf".into(), source })?;
            let path = path.display().to_string();
            let log = ["--log", "warn,stagehoist::serve=info"];
            let gateway = [&log[..], &["load", "gateway", "--policy", &o.policy, &path]].concat();
            let part = Part::start(&self.binary, &gateway)?;
            let metrics_at = part.told("gateway", metrics_told)?;
            self.gateways.push((part, metrics_at));
        }
        let until = Instant::now() + Duration::from_secs(15);
        let all = f64::from(o.processes.iter().sum::<u32>() * o.workers);
        while sum(&self.metrics(), "stagehoist_workers_ready") < all {
            if Instant::now() > until {
                return Err(LoadError::NotUp("gateway".into()));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// The broker as callers name it.
    pub fn broker_url(&self) -> Result<Broker, LoadError> {
        let url = format!("amqp://guest:guest@{}/", self.broker);
        stagehoist_config::parse_broker_url(&url).ok_or(LoadError::NotUp("broker".into()))
    }

    /// Pages of metrics of all gateway processes, one after the other.
    pub fn metrics(&self) -> String {
        self.gateways.iter().map(|g| metrics(&g.1)).collect()
    }

    /// Processor time of all gateway processes, in microseconds.
    pub fn cpu_us(&self) -> f64 {
        self.gateways.iter().map(|g| cpu_us(g.0.child.id())).sum()
    }

    /// Kills the gateways' processes; [`LoadStack::serve`] starts new ones.
    pub fn end_gateways(&mut self) {
        self.gateways.clear();
    }

    /// Process numbers of the gateways.
    pub fn gateways(&self) -> Vec<u32> {
        self.gateways.iter().map(|g| g.0.child.id()).collect()
    }
}
