//! An emulator for Consul's health API: `GET /v1/health/service/NAME` with blocking queries, an index that may go backwards,
//! and lists that lag, fail and flap on command. Each listening socket shows the workers by addresses of its own, so that
//! what each front end reaches can be recorded apart.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A worker in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    pub capacity: f64,
    /// Last start, Unix time in milliseconds.
    pub started_ms: i64,
    pub draining: bool,
}

type View = BTreeMap<String, Listed>;

#[derive(Debug)]
struct State {
    /// Newest last: when it became true, its index, the workers.
    versions: VecDeque<(Instant, u64, Arc<View>)>,
    next_index: u64,
    lag: Duration,
    failing: bool,
    /// Tags of instances, by their names.
    tags: BTreeMap<String, Vec<String>>,
}

/// The list, changed from any thread.
#[derive(Clone)]
pub struct Registry {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Default for Registry {
    fn default() -> Registry {
        Registry::new()
    }
}

impl Registry {
    /// An empty list.
    pub fn new() -> Registry {
        let versions = VecDeque::from([(Instant::now(), 1, Arc::new(View::new()))]);
        let state =
            State { versions, next_index: 2, lag: Duration::ZERO, failing: false, tags: BTreeMap::new() };
        Registry { state: Arc::new(Mutex::new(state)), changed: watch::channel(0).0 }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic elsewhere leaves a state that is whole: every change is one push.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn change(&self, edit: impl FnOnce(&mut View)) {
        let mut state = self.lock();
        let mut view = state.versions.back().map(|v| (*v.2).clone()).unwrap_or_default();
        edit(&mut view);
        let index = state.next_index;
        state.next_index += 1;
        state.versions.push_back((Instant::now(), index, Arc::new(view)));
        while state.versions.len() > 10_000 {
            state.versions.pop_front();
        }
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Adds a worker or changes it.
    pub fn put(&self, worker: Listed) {
        self.change(|view| drop(view.insert(worker.name.clone(), worker)));
    }

    /// Tells an instance's tags, from now on and in what was shown before alike; it is put after them.
    pub fn tag(&self, name: &str, tags: &[&str]) {
        self.lock().tags.insert(name.into(), tags.iter().map(|t| (*t).into()).collect());
    }

    /// Removes a worker.
    pub fn remove(&self, name: &str) {
        self.change(|view| drop(view.remove(name)));
    }

    /// Changes one worker's state of draining.
    pub fn set_draining(&self, name: &str, draining: bool) {
        self.change(|view| {
            if let Some(worker) = view.get_mut(name) {
                worker.draining = draining;
            }
        });
    }

    /// Shows changes only so long after they were made.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
        self.changed.send_modify(|n| *n += 1);
    }

    /// Answers every query with status 500.
    pub fn set_failing(&self, failing: bool) {
        self.lock().failing = failing;
        self.changed.send_modify(|n| *n += 1);
    }

    /// Begins the index anew, as a service restored from a snapshot does.
    pub fn reset_index(&self) {
        let mut state = self.lock();
        let Some((at, _, view)) = state.versions.back().cloned() else { return };
        state.versions = VecDeque::from([(at, 1, view)]);
        state.next_index = 2;
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }

    /// What is shown now, or None while failing; and when that changes by itself for the lag.
    fn shown(&self) -> (Option<(u64, Arc<View>)>, Option<Instant>) {
        let state = self.lock();
        if state.failing {
            return (None, None);
        }
        let now = Instant::now();
        let old = state.versions.iter().rev().find(|v| v.0 + state.lag <= now).or(state.versions.front());
        let next = state.versions.iter().map(|v| v.0 + state.lag).find(|t| *t > now);
        (old.map(|v| (v.1, v.2.clone())), next)
    }

    /// Serves the list with these addresses (`host:port` by worker name). Inside a `LocalSet`.
    pub async fn serve(self, listener: TcpListener, addresses: BTreeMap<String, String>) -> io::Result<()> {
        let addresses = Arc::new(addresses);
        let mut tasks = JoinSet::new();
        loop {
            let (stream, _) = tokio::select! {
                accepted = listener.accept() => accepted?,
                Some(_) = tasks.join_next() => continue,
            };
            let (registry, addresses) = (self.clone(), addresses.clone());
            tasks.spawn_local(async move {
                let service = service_fn(move |request| {
                    let (registry, addresses) = (registry.clone(), addresses.clone());
                    async move { Ok::<_, Infallible>(registry.answer(request, &addresses).await) }
                });
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        addresses: &BTreeMap<String, String>,
    ) -> Response<Full<Bytes>> {
        let status = |status| {
            let mut response = Response::new(Full::new(Bytes::new()));
            *response.status_mut() = status;
            response
        };
        let Some(service) = request.uri().path().strip_prefix("/v1/health/service/") else {
            return status(StatusCode::NOT_FOUND);
        };
        let query: BTreeMap<&str, &str> =
            request.uri().query().unwrap_or("").split('&').filter_map(|p| p.split_once('=')).collect();
        let index: u64 = query.get("index").and_then(|i| i.parse().ok()).unwrap_or(0);
        let wait = query.get("wait").and_then(|w| wait(w)).unwrap_or(Duration::from_secs(300));
        let by = Instant::now() + wait.min(Duration::from_secs(600));
        let mut changed = self.changed.subscribe();
        let (index, view) = loop {
            let (shown, next) = self.shown();
            let Some((now_at, view)) = shown else { return status(StatusCode::INTERNAL_SERVER_ERROR) };
            // Blocks only while nothing is newer; an index from before a reset lies in the future and waits as Consul's does.
            if index == 0 || now_at > index || Instant::now() >= by {
                break (now_at, view);
            }
            if now_at < index && self.lock().next_index <= index {
                break (now_at, view);
            }
            let until = next.map_or(by, |n| n.min(by));
            tokio::select! {
                _ = changed.changed() => {}
                _ = tokio::time::sleep_until(until.into()) => {}
            }
        };
        let tags = self.lock().tags.clone();
        let rows: Vec<serde_json::Value> =
            view.values().filter_map(|w| row(service, w, addresses.get(&w.name)?, &tags)).collect();
        let mut response = Response::new(Full::new(Bytes::from(serde_json::Value::from(rows).to_string())));
        let headers = response.headers_mut();
        headers.insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
        headers.insert("x-consul-index", hyper::header::HeaderValue::from(index));
        response
    }
}

fn wait(text: &str) -> Option<Duration> {
    if let Some(ms) = text.strip_suffix("ms") {
        return ms.parse().ok().map(Duration::from_millis);
    }
    if let Some(m) = text.strip_suffix('m') {
        return m.parse::<u64>().ok().map(|m| Duration::from_secs(60 * m));
    }
    text.strip_suffix('s')?.parse().ok().map(Duration::from_secs)
}

fn row(
    service: &str,
    worker: &Listed,
    address: &str,
    tags: &BTreeMap<String, Vec<String>>,
) -> Option<serde_json::Value> {
    let (host, port) = address.rsplit_once(':')?;
    let port: u16 = port.parse().ok()?;
    Some(serde_json::json!({
        "Node": {"Node": worker.name, "Address": host},
        "Service": {
            "ID": worker.name,
            "Service": service,
            "Address": host,
            "Port": port,
            "Tags": tags.get(&worker.name).cloned().unwrap_or_default(),
            "Meta": {
                "zone": worker.zone,
                "kind": worker.kind,
                "cell": worker.cell.to_string(),
                "capacity": worker.capacity.to_string(),
                "started": worker.started_ms.to_string(),
                "state": if worker.draining { "draining" } else { "ready" },
            },
        },
        "Checks": [{"CheckID": "alive", "Status": "passing"}],
    }))
}
