//! What the gateway costs, beside calling a worker directly and beside a plain pass-through proxy, all in one run on one
//! machine. Times are taken at the sockets by the same recording proxies that the checker reads.

use crate::callers::Pace;
use crate::day::Day;
use crate::layout::Layout;
use crate::process::{self, cpu_us};
use crate::stack::{HarnessError, Stack};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use stagehoist_checker::capture::{Link, Peer, Recorder};
use stagehoist_checker::streams::{connections, http};
use stagehoist_checker::{tap, Story};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// One way of calling, measured.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    pub what: String,
    pub workers: u32,
    pub asked_per_s: f64,
    pub answered: u64,
    /// Microseconds that the process in the middle held a call: its time with the worker taken off. For the direct call the
    /// time of the worker itself.
    pub held_us: BTreeMap<String, f64>,
    /// Processor time of the process in the middle for each call, in microseconds.
    pub cpu_us: f64,
    /// Calls a second that one core would serve at that cost.
    pub per_core_s: f64,
    /// Time in the decision module for each call, in microseconds.
    pub module_us: Option<f64>,
    /// Memory of each held call, in bytes.
    pub held_bytes: Option<f64>,
}

fn percentiles(mut times: Vec<i64>) -> BTreeMap<String, f64> {
    times.sort_unstable();
    let at = |q: f64| times.get(((times.len() as f64 * q) as usize).min(times.len().saturating_sub(1)));
    [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)]
        .into_iter()
        .filter_map(|(name, q)| Some((name.to_string(), *at(q)? as f64)))
        .collect()
}

/// Resident memory of a process in bytes.
fn resident(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
}

fn day(workers: u32, rate: f64) -> Day {
    Day { workers, front_ends: 1, rate, load_on_miss: true, ..Day::default() }
}

/// Measures all ways at each number of workers: `rate` calls a second for `seconds`, then the memory of held calls.
pub fn measure(
    binary: &Path,
    sizes: &[u32],
    rate: f64,
    seconds: u64,
    show: &mut dyn FnMut(&Measured),
) -> Result<(), HarnessError> {
    for &workers in sizes {
        for measured in [direct(workers, rate, seconds)?, proxied(binary, workers, rate, seconds)?] {
            show(&measured);
        }
        for kind in [Kind::Usual, Kind::Transactions, Kind::EveryCallLogged, Kind::NoMetrics] {
            show(&gateway(binary, workers, rate, seconds, kind)?);
        }
    }
    Ok(())
}

/// What is measured beside the usual gateway: what its own account of calls costs.
#[derive(Clone, Copy)]
enum Kind {
    Usual,
    Transactions,
    EveryCallLogged,
    NoMetrics,
}

fn gateway(
    binary: &Path,
    workers: u32,
    rate: f64,
    seconds: u64,
    kind: Kind,
) -> Result<Measured, HarnessError> {
    let mut day = day(workers, rate);
    let mut layout = Layout::light(&day);
    let what = match kind {
        Kind::Usual => "gateway",
        Kind::Transactions => {
            day.transactions = true;
            "gateway, transactions"
        }
        Kind::EveryCallLogged => {
            layout.log = "info,stagehoist_gateway=debug".into();
            "gateway, calls logged"
        }
        Kind::NoMetrics => {
            layout.metrics = false;
            "gateway, no metrics"
        }
    };
    let mut stack = Stack::with_layout(day, layout, binary)?;
    stack.wait_ready(Duration::from_secs(20))?;
    let pid = stack.front_ends[0].process.id();
    // Copies are loaded and connections opened before anything counts.
    stack.pace.send_replace(Pace { rate: rate / 4.0, stop: false });
    std::thread::sleep(Duration::from_secs(3));
    let (from, cpu) = (stack.recorder.now(), cpu_us(pid));
    let module = if matches!(kind, Kind::Usual) { module_us(&stack) } else { 0.0 };
    stack.pace.send_replace(Pace { rate, stop: false });
    std::thread::sleep(Duration::from_secs(seconds));
    stack.pace.send_replace(Pace { rate: 0.0, stop: false });
    std::thread::sleep(Duration::from_millis(500));
    let cpu = cpu_us(pid) - cpu;
    let module = if matches!(kind, Kind::Usual) { module_us(&stack) - module } else { 0.0 };
    let capture = stack.recorder.finish(stack.links.clone());
    let usual = matches!(kind, Kind::Usual);
    let held_bytes = if usual { held(&mut stack) } else { None };
    stack.end(Duration::from_secs(10))?;
    let story = Story::read(&capture);
    let mut times = Vec::new();
    for call in story.calls.values().filter(|c| c.published >= from) {
        let (Some(delivery), [attempt], Some(reply)) =
            (call.deliveries.first(), &call.attempts[..], call.replies.first())
        else {
            continue;
        };
        let attempt = &story.attempts[*attempt];
        if let Some(ended) = attempt.ended {
            times.push((attempt.asked - delivery.at) + (reply.at - ended));
        }
    }
    let answered = times.len() as u64;
    let module = usual.then(|| module / answered.max(1) as f64);
    Ok(finish(what, workers, rate, times, answered, cpu, module, held_bytes))
}

#[allow(clippy::too_many_arguments)]
fn finish(
    what: &str,
    workers: u32,
    rate: f64,
    times: Vec<i64>,
    answered: u64,
    cpu: f64,
    module_us: Option<f64>,
    held_bytes: Option<f64>,
) -> Measured {
    let cpu_us = cpu / answered.max(1) as f64;
    Measured {
        what: what.into(),
        workers,
        asked_per_s: rate,
        answered,
        held_us: percentiles(times),
        cpu_us,
        per_core_s: if cpu_us > 0.0 { 1e6 / cpu_us } else { 0.0 },
        module_us,
        held_bytes,
    }
}

/// Time in the module so far, from the metrics page.
fn module_us(stack: &Stack) -> f64 {
    // The page is brought up to date four times a second.
    std::thread::sleep(Duration::from_millis(300));
    let page = stack.metrics_address(0).map(|address| process::metrics(&address)).unwrap_or_default();
    process::sum(&page, "stagehoist_module_microseconds_total")
}

/// Memory of a held call: with no worker left, calls wait until their time is over.
fn held(stack: &mut Stack) -> Option<f64> {
    let pid = stack.front_ends[0].process.id();
    let names: Vec<String> = stack.layout.workers.iter().map(|w| w.name.clone()).collect();
    names.iter().for_each(|name| stack.registry.remove(name));
    std::thread::sleep(Duration::from_millis(500));
    let before = resident(pid);
    let sent = stack.counts.sent.load(std::sync::atomic::Ordering::Relaxed);
    stack.pace.send_replace(Pace { rate: 4000.0, stop: false });
    std::thread::sleep(Duration::from_millis(1000));
    let after = resident(pid);
    let sent = stack.counts.sent.load(std::sync::atomic::Ordering::Relaxed) - sent;
    stack.pace.send_replace(Pace { rate: 0.0, stop: false });
    std::thread::sleep(Duration::from_millis(3000));
    // Prefetch bounds what is held.
    let held = sent.min(400);
    (held > 0).then(|| (after - before).max(0.0) / held as f64)
}

/// Starts a process in front of the addresses; gives its own address.
type StartProxy<'a> = dyn FnMut(&[String]) -> Option<(String, Child)> + 'a;

/// Workers and taps without a gateway: what a plain caller sees.
fn plain(
    workers: u32,
    rate: f64,
    seconds: u64,
    through: Option<&mut StartProxy<'_>>,
) -> Result<(Vec<i64>, u64, f64), HarnessError> {
    let day = day(workers, rate);
    let layout = Layout::light(&day);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(HarnessError::Socket)?;
    let recorder = Recorder::default();
    let mut links = Vec::new();
    let mut targets = Vec::new();
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let (tell, told) = std::sync::mpsc::channel();
    let plan = layout.clone();
    std::thread::spawn(move || {
        let Ok(rt) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        let local = tokio::task::LocalSet::new();
        local.block_on(&rt, async move {
            let mut addresses = Vec::new();
            let mut tasks = tokio::task::JoinSet::new();
            let Ok(store) = TcpListener::bind("127.0.0.1:0").await else { return };
            let store_address = store.local_addr().map(|a| a.to_string()).unwrap_or_default();
            tasks.spawn_local(stagehoist_emulator::store::serve(store, Default::default(), Arc::default()));
            for (i, worker) in plan.workers.iter().enumerate() {
                let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
                addresses.push(listener.local_addr().map(|a| a.to_string()).unwrap_or_default());
                let options = stagehoist_emulator::worker::WorkerOptions {
                    name: worker.name.clone(),
                    spec: plan.spec.clone(),
                    catalogue: plan.catalogue.clone(),
                    store: store_address.clone(),
                    seed: i as u64,
                };
                tasks.spawn_local(stagehoist_emulator::worker::run(listener, options, Arc::default(), true));
            }
            let _ = tell.send(addresses);
            while stopped.try_recv().is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
    });
    let addresses: Vec<String> = told.recv_timeout(Duration::from_secs(5)).unwrap_or_default();
    let mut tapped = |name: &str, far: &str| -> Result<String, HarnessError> {
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).map_err(HarnessError::Socket)?;
        let address = listener.local_addr().map_err(HarnessError::Socket)?.to_string();
        let link = links.len();
        links.push(Link { front_end: Some(0), peer: Peer::Worker(name.into()) });
        runtime.spawn(tap::serve(listener, far.to_string(), link, recorder.clone(), Arc::default()));
        Ok(address)
    };
    let mut child = None;
    for (i, address) in addresses.iter().enumerate() {
        targets.push(tapped(&format!("far{i}"), address)?);
    }
    if let Some(start) = through {
        if let Some((near, process)) = start(&targets) {
            targets = vec![tapped("near", &near)?];
            child = Some(process);
        }
    }
    let pid = child.as_ref().map(Child::id);
    // Warm-up: copies loaded, connections open.
    runtime.block_on(call_all(&targets, rate / 4.0, 2, "warm"));
    let (from, cpu) = (recorder.now(), pid.map_or(0.0, cpu_us));
    runtime.block_on(call_all(&targets, rate, seconds, "c"));
    let cpu = pid.map_or(0.0, cpu_us) - cpu;
    let capture = recorder.finish(links.clone());
    drop(stop);
    if let Some(mut child) = child {
        // It is ours and has nothing to finish.
        let _ = child.kill();
        let _ = child.wait();
    }
    let mut near: BTreeMap<String, i64> = BTreeMap::new();
    let mut far: BTreeMap<String, i64> = BTreeMap::new();
    for connection in connections(&capture) {
        let is_near = matches!(&links[connection.link].peer, Peer::Worker(name) if name == "near");
        for exchange in http(&connection).into_iter().filter(|e| e.asked >= from) {
            let id = serde_json::from_slice::<serde_json::Value>(&exchange.body)
                .ok()
                .and_then(|j| Some(j.get("id")?.as_str()?.to_string()));
            if let (Some(id), Some(answered)) = (id, exchange.answered) {
                if is_near { &mut near } else { &mut far }.insert(id, answered - exchange.asked);
            }
        }
    }
    let times: Vec<i64> = if pid.is_some() {
        near.iter().filter_map(|(id, whole)| Some(whole - far.get(id)?)).collect()
    } else {
        far.into_values().collect()
    };
    let answered = times.len() as u64;
    Ok((times, answered, cpu))
}

fn direct(workers: u32, rate: f64, seconds: u64) -> Result<Measured, HarnessError> {
    let (times, answered, _) = plain(workers, rate, seconds, None)?;
    Ok(finish("direct call", workers, rate, times, answered, 0.0, None, None))
}

fn proxied(binary: &Path, workers: u32, rate: f64, seconds: u64) -> Result<Measured, HarnessError> {
    let mut start = |targets: &[String]| {
        let mut process = Command::new(binary)
            .args(["standin", "proxy", "--to", &targets.join(",")])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .ok()?;
        let mut line = String::new();
        BufReader::new(process.stdout.take()?).read_line(&mut line).ok()?;
        Some((line.split_whitespace().nth(1)?.to_string(), process))
    };
    let (times, answered, cpu) = plain(workers, rate, seconds, Some(&mut start))?;
    Ok(finish("pass-through proxy", workers, rate, times, answered, cpu, None, None))
}

/// Calls at an even pace over kept connections, each answered before its connection is used again.
async fn call_all(targets: &[String], rate: f64, seconds: u64, prefix: &str) {
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    let lines = 32usize.max(targets.len());
    for line in 0..lines {
        let target = targets[line % targets.len()].clone();
        let prefix = prefix.to_string();
        tasks.spawn(async move {
            let Ok(stream) = TcpStream::connect(&target).await else { return };
            let _ = stream.set_nodelay(true);
            let Ok((mut sender, connection)) =
                hyper::client::conn::http1::handshake(TokioIo::new(stream)).await
            else {
                return;
            };
            let driving = tokio::spawn(async move {
                let _ = connection.await;
            });
            let each = Duration::from_secs_f64(lines as f64 / rate);
            let mut next = start + each.mul_f64(line as f64 / lines as f64);
            let mut n = 0u64;
            while start.elapsed() < Duration::from_secs(seconds) {
                tokio::time::sleep_until(next.into()).await;
                next += each;
                n += 1;
                let body = format!("{{\"id\":\"{prefix}{line}-{n}\"}}");
                let request = Request::post("/v2/models/free-times/infer")
                    .header("host", &target)
                    .header("content-type", "application/json")
                    .body(Full::new(Bytes::from(body)));
                let Ok(request) = request else { break };
                let Ok(response) = sender.send_request(request).await else { break };
                if response.into_body().collect().await.is_err() {
                    break;
                }
            }
            driving.abort();
        });
    }
    while tasks.join_next().await.is_some() {}
}
