//! A worker on a listening socket.

use super::model::{CallId, Found, Micros, Model, Program, Refusal, Spec, Step};
use super::versions::{held, model, ordered};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::task::JoinSet;

const BODY_MOST: usize = 16 << 20;

/// The functions there are, and what each needs; one for all names that begin alike ends with `*`.
#[derive(Clone, Debug, Default)]
pub struct Catalogue(pub Vec<(String, Program)>);

impl Catalogue {
    /// The program of that name; versions of a model are alike.
    pub fn get(&self, name: &str) -> Option<&Program> {
        let name = model(name);
        let takes = |pattern: &str| match pattern.strip_suffix('*') {
            Some(prefix) => name.starts_with(prefix),
            None => pattern == name,
        };
        self.0.iter().find(|(pattern, _)| takes(pattern)).map(|(_, program)| program)
    }
}

/// How a worker runs.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    pub name: String,
    pub spec: Spec,
    pub catalogue: Arc<Catalogue>,
    /// `host:port` of the program store.
    pub store: String,
    pub seed: u64,
}

/// Commands to a worker that runs, from any thread.
#[derive(Debug, Default)]
pub struct Controls {
    drain: AtomicBool,
    stop: AtomicBool,
    fallen: AtomicBool,
    slow_percent: AtomicU64,
    fail_percent: AtomicU64,
    served: AtomicU64,
    runs: Mutex<BTreeMap<String, u32>>,
    stopped: Notify,
}

impl Controls {
    /// Finish what is in hand and take nothing new, or serve again.
    pub fn drain(&self, draining: bool) {
        self.drain.store(draining, Ordering::Relaxed);
    }

    /// Die at once: the listener and every connection close.
    pub fn kill(&self) {
        self.stop.store(true, Ordering::Relaxed);
        self.stopped.notify_waiters();
        self.stopped.notify_one();
    }

    /// Run times in percent of the usual; 0 and 100 are the usual.
    pub fn slow(&self, percent: u64) {
        self.slow_percent.store(percent, Ordering::Relaxed);
    }

    /// Percent of the calls that fail quickly with status 500.
    pub fn fail(&self, percent: u64) {
        self.fail_percent.store(percent, Ordering::Relaxed);
    }

    /// Whether it fell over, sent too much while cold.
    pub fn has_fallen(&self) -> bool {
        self.fallen.load(Ordering::Relaxed)
    }

    /// Runs that ended well.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// Runs begun, by the `id` that the request's body carries; for tests of effects.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().map(|r| r.clone()).unwrap_or_default()
    }
}

struct Finish {
    result: Result<(Found, Micros), Refusal>,
    crowd: u32,
}

struct Worker {
    options: WorkerOptions,
    controls: Arc<Controls>,
    model: RefCell<Model>,
    calls: RefCell<HashMap<CallId, oneshot::Sender<Finish>>>,
    orders: RefCell<HashMap<u64, oneshot::Sender<(usize, bool)>>>,
    next: RefCell<u64>,
    start: Instant,
}

/// Runs a worker until it is killed, falls over, or its listener fails. Inside a `LocalSet`. `warm` starts it as if it ran for
/// long.
pub async fn run(
    listener: TcpListener,
    options: WorkerOptions,
    controls: Arc<Controls>,
    warm: bool,
) -> io::Result<()> {
    let started = if warm { Micros::MIN / 4 } else { 0 };
    let worker = Rc::new(Worker {
        model: RefCell::new(Model::new(options.spec.clone(), started)),
        calls: RefCell::default(),
        orders: RefCell::default(),
        next: RefCell::new(1),
        start: Instant::now(),
        options,
        controls: controls.clone(),
    });
    let mut tasks = JoinSet::new();
    let mut tick = tokio::time::interval(Duration::from_millis(50));
    loop {
        if controls.stop.load(Ordering::Relaxed) {
            return Ok(());
        }
        tokio::select! {
            _ = controls.stopped.notified() => return Ok(()),
            accepted = listener.accept() => {
                let (stream, _) = accepted?;
                let worker = worker.clone();
                tasks.spawn_local(async move {
                    let _ = connection(worker, stream).await;
                });
            }
            _ = tick.tick() => {
                let now = worker.now();
                let mut model = worker.model.borrow_mut();
                model.tick(now);
                model.set_draining(controls.drain.load(Ordering::Relaxed));
            }
            Some(_) = tasks.join_next() => {}
        }
    }
}

async fn connection(worker: Rc<Worker>, stream: TcpStream) -> hyper::Result<()> {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let worker = worker.clone();
        async move { Ok::<_, Infallible>(worker.answer(request).await) }
    });
    hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await
}

fn plain(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}

fn no_such(what: &str) -> Response<Full<Bytes>> {
    plain(StatusCode::NOT_FOUND, format!("{{\"error\":\"no such {what}\"}}"))
}

fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

impl Worker {
    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn number(&self) -> u64 {
        let mut next = self.next.borrow_mut();
        *next += 1;
        *next
    }

    async fn answer(self: Rc<Worker>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_string();
        let parts: Vec<String> = path
            .split('/')
            .skip(1)
            .map(|p| percent_encoding::percent_decode_str(p).decode_utf8_lossy().into_owned())
            .collect();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let wants_report = request.headers().contains_key("endpoint-load-metrics-format");
        let (head, body) = request.into_parts();
        let body = match Limited::new(body, BODY_MOST).collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return plain(StatusCode::PAYLOAD_TOO_LARGE, "{\"error\":\"body\"}".into()),
        };
        let mut response = match (&head.method, &parts[..]) {
            (&Method::GET, ["v2", "health", "live" | "ready"]) => plain(StatusCode::OK, "{}".into()),
            (&Method::GET, ["v2"]) => {
                let name = &self.options.name;
                plain(
                    StatusCode::OK,
                    format!(
                        "{{\"name\":\"{name}\",\"version\":\"1\",\"extensions\":[\"model_repository\"]}}"
                    ),
                )
            }
            (&Method::GET, ["v2", "models", name, "ready"]) => self.model_ready(name),
            (&Method::POST, ["v2", "models", name, "infer"]) => self.clone().infer(name, body).await,
            (&Method::GET, ["v2", "models", name, "versions", version, "ready"]) => match held(name, version)
            {
                Some(name) => self.model_ready(&name),
                None => no_such("version"),
            },
            (&Method::POST, ["v2", "models", name, "versions", version, "infer"]) => {
                match held(name, version) {
                    Some(name) => self.clone().infer(&name, body).await,
                    None => no_such("version"),
                }
            }
            (&Method::POST, ["v2", "repository", "index"]) => self.index(),
            (&Method::POST, ["v2", "repository", "models", name, "load"]) => match ordered(name, &body) {
                Some(name) => self.clone().load(&name, &body).await,
                None => no_such("version"),
            },
            (&Method::POST, ["v2", "repository", "models", name, "unload"]) => match ordered(name, &body) {
                Some(name) => {
                    self.model.borrow_mut().unload(&name);
                    plain(StatusCode::OK, "{}".into())
                }
                None => no_such("version"),
            },
            _ => no_such("resource"),
        };
        let state = if self.model.borrow().is_draining() { "draining" } else { "serving" };
        put(response.headers_mut(), "stagehoist-worker", state);
        if wants_report {
            let model = self.model.borrow();
            let report = format!(
                "TEXT cpu_utilization={:.3},named_metrics.inflight={},named_metrics.queue={},named_metrics.memory={:.3}",
                model.busy(self.now()),
                model.in_hand(),
                model.queued(),
                model.memory() as f64 / self.options.spec.memory.max(1) as f64
            );
            put(response.headers_mut(), "endpoint-load-metrics", &report);
        }
        response
    }

    fn model_ready(&self, name: &str) -> Response<Full<Bytes>> {
        let copies = self.model.borrow().standing().find(|(n, _)| *n == name).map_or(0, |s| s.1);
        let status = if copies > 0 { StatusCode::OK } else { StatusCode::NOT_FOUND };
        let mut response = plain(status, format!("{{\"name\":\"{name}\",\"copies\":{copies}}}"));
        if copies == 0 {
            put(response.headers_mut(), "stagehoist-not-run", "not-loaded");
        }
        response
    }

    fn index(&self) -> Response<Full<Bytes>> {
        let rows: Vec<serde_json::Value> = self
            .model
            .borrow()
            .standing()
            .map(|(name, copies)| serde_json::json!({"name": name, "state": "READY", "copies": copies}))
            .collect();
        plain(StatusCode::OK, serde_json::Value::from(rows).to_string())
    }

    fn execute(self: &Rc<Worker>, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Run { call, span, found, crowd, .. } => {
                    let slow = self.controls.slow_percent.load(Ordering::Relaxed);
                    let slow = if slow == 0 { 100 } else { slow };
                    // Runs differ from each other by up to a third either way, drawn from the call's number.
                    let draw = (call ^ self.options.seed).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
                    let factor = 0.7 + 0.6 * draw as f64 / (1u64 << 24) as f64;
                    let span = (span as f64 * factor * slow as f64 / 100.0) as u64;
                    let worker = self.clone();
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(Duration::from_micros(span)).await;
                        worker.controls.served.fetch_add(1, Ordering::Relaxed);
                        worker.finish_call(call, Finish { result: Ok((found, span as Micros)), crowd });
                        let mut more = Vec::new();
                        worker.model.borrow_mut().finished(call, worker.now(), &mut more);
                        worker.execute(more);
                    });
                }
                Step::Refuse { call, why, crowd } => {
                    self.finish_call(call, Finish { result: Err(why), crowd })
                }
                Step::Fetch { function } => {
                    let worker = self.clone();
                    tokio::task::spawn_local(async move {
                        let ok = crate::store::fetch(&worker.options.store, &function).await;
                        if ok {
                            let start = worker.options.catalogue.get(&function).map_or(0, |p| p.start);
                            tokio::time::sleep(Duration::from_micros(start as u64)).await;
                        }
                        let mut more = Vec::new();
                        worker.model.borrow_mut().loaded(&function, ok, worker.now(), &mut more);
                        worker.execute(more);
                    });
                }
                Step::Answer { order, copies, full } => {
                    if let Some(waiter) = self.orders.borrow_mut().remove(&order) {
                        let _ = waiter.send((copies, full));
                    }
                }
                Step::Fall => {
                    tracing::info!(worker = self.options.name, "fell over");
                    self.controls.fallen.store(true, Ordering::Relaxed);
                    self.controls.kill();
                }
            }
        }
    }

    fn finish_call(&self, call: CallId, finish: Finish) {
        if let Some(waiter) = self.calls.borrow_mut().remove(&call) {
            // A caller that left needs no answer.
            let _ = waiter.send(finish);
        }
    }

    async fn infer(self: Rc<Worker>, name: &str, body: Bytes) -> Response<Full<Bytes>> {
        let Some(program) = self.options.catalogue.get(name).cloned() else {
            let mut response = plain(StatusCode::NOT_FOUND, "{\"error\":\"no such model\"}".into());
            put(response.headers_mut(), "stagehoist-not-run", "not-loaded");
            return response;
        };
        let id = serde_json::from_slice::<serde_json::Value>(&body)
            .ok()
            .and_then(|v| v.get("id")?.as_str().map(str::to_string));
        let call = self.number();
        let failing = self.controls.fail_percent.load(Ordering::Relaxed);
        let draw = (call ^ self.options.seed).wrapping_mul(0xD1B5_4A32_D192_ED03) >> 33;
        if failing > 0 && draw % 100 < failing {
            return plain(StatusCode::INTERNAL_SERVER_ERROR, "{\"error\":\"failed\"}".into());
        }
        let (tell, told) = oneshot::channel();
        self.calls.borrow_mut().insert(call, tell);
        let mut steps = Vec::new();
        self.model.borrow_mut().arrive(call, name, &program, self.now(), &mut steps);
        self.execute(steps);
        let guard = Leaves { worker: self.clone(), call };
        let finish = told.await;
        drop(guard);
        let Ok(Finish { result, crowd }) = finish else {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "{\"error\":\"gone\"}".into());
        };
        let mut response = match result {
            Ok((found, span)) => {
                if let (Some(id), Ok(mut runs)) = (&id, self.controls.runs.lock()) {
                    *runs.entry(id.clone()).or_insert(0) += 1;
                }
                let mut response = plain(
                    StatusCode::OK,
                    serde_json::json!({
                        "model_name": name,
                        "id": id.unwrap_or_default(),
                        "outputs": [{"name": "worker", "datatype": "BYTES", "shape": [1],
                                     "data": [&self.options.name]}],
                        "parameters": {"run_us": span},
                    })
                    .to_string(),
                );
                let copy = match found {
                    Found::Warm => "warm",
                    Found::Began => "began",
                    Found::Waited => "waited",
                };
                put(response.headers_mut(), "stagehoist-copy", copy);
                response
            }
            Err(why) => {
                let (status, word) = match why {
                    Refusal::QueueFull => (StatusCode::SERVICE_UNAVAILABLE, "queue-full"),
                    Refusal::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, "no-memory"),
                    Refusal::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
                    Refusal::NotLoaded => (StatusCode::NOT_FOUND, "not-loaded"),
                    Refusal::LoadFailed => (StatusCode::SERVICE_UNAVAILABLE, "not-loaded"),
                };
                let mut response = plain(status, format!("{{\"error\":\"{word}\"}}"));
                put(response.headers_mut(), "stagehoist-not-run", word);
                if why == Refusal::LoadFailed {
                    put(response.headers_mut(), "stagehoist-copy", "load-failed");
                }
                response
            }
        };
        put(response.headers_mut(), "stagehoist-crowd", &crowd.to_string());
        response
    }

    async fn load(self: Rc<Worker>, name: &str, body: &[u8]) -> Response<Full<Bytes>> {
        let Some(program) = self.options.catalogue.get(name).cloned() else {
            return plain(StatusCode::NOT_FOUND, "{\"error\":\"no such model\"}".into());
        };
        let wanted = serde_json::from_slice::<serde_json::Value>(body)
            .ok()
            .and_then(|v| v.get("parameters")?.get("copies")?.as_u64())
            .unwrap_or(1)
            .clamp(1, 16) as usize;
        let order = self.number();
        let (tell, told) = oneshot::channel();
        self.orders.borrow_mut().insert(order, tell);
        let mut steps = Vec::new();
        self.model.borrow_mut().order(order, name, &program, wanted, self.now(), &mut steps);
        self.execute(steps);
        let (copies, full) = told.await.unwrap_or((0, true));
        let status = if full { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
        let mut response = plain(status, format!("{{\"copies\":{copies}}}"));
        if full {
            put(response.headers_mut(), "stagehoist-not-run", "no-memory");
        }
        response
    }
}

/// Tells the model when the caller's connection is dropped while it waits.
struct Leaves {
    worker: Rc<Worker>,
    call: CallId,
}

impl Drop for Leaves {
    fn drop(&mut self) {
        if self.worker.calls.borrow_mut().remove(&self.call).is_some() {
            self.worker.model.borrow_mut().left(self.call);
        }
    }
}
