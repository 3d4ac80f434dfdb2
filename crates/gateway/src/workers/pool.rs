//! Keep-alive connections to workers, pooled by worker address, with one exchange at a time on each. Aborting an attempt
//! closes its connection.

use super::exchange::{exchange, get, post, put_back, ExchangeError, Pools};
use super::http_response;
use super::paths::{model, repository};
use crate::clock::Clock;
use crate::fleet::EgressCheck;
use crate::state::{Attempt, AttemptResult, Input};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use stagehoist::{FunctionId, Outcome, RequestId, WorkerId};
use stagehoist_config::Config;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

type RunningAttempts = Rc<RefCell<HashMap<(RequestId, u16), AbortHandle>>>;

/// The connections of one front end to its workers.
pub struct Workers {
    config: Rc<Config>,
    clock: Clock,
    pools: Pools,
    addresses: RefCell<HashMap<WorkerId, Rc<str>>>,
    running: RunningAttempts,
    egress: Option<EgressCheck>,
    inputs: mpsc::Sender<Input>,
}

impl Workers {
    /// Creates an empty pool. `egress` is checked at the moment a request is sent to a worker.
    pub fn new(
        config: Rc<Config>,
        clock: Clock,
        inputs: mpsc::Sender<Input>,
        egress: Option<EgressCheck>,
    ) -> Workers {
        let (pools, addresses, running) = Default::default();
        Workers { config, clock, pools, addresses, running, egress, inputs }
    }

    /// Starts an attempt; its end is reported as [`Input::AttemptEnded`].
    pub fn attempt(&self, attempt: Attempt) {
        self.addresses.borrow_mut().insert(attempt.worker, attempt.address.clone());
        let key = (attempt.request, attempt.attempt);
        let path = format!("{}/infer", model(&attempt.function, self.egress.is_some()));
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(&*path)
            .header(HOST, &*attempt.address)
            .header(http_response::LOAD_METRICS_FORMAT, "TEXT");
        if let Some(kind) = &attempt.content_type {
            request = request.header(CONTENT_TYPE, kind);
        }
        if !attempt.correlation.is_empty() {
            request = request.header("stagehoist-correlation", &*attempt.correlation);
        }
        // If a caller's text is not a valid header value, the request is sent without headers.
        let request = request.body(Full::new(attempt.body.clone())).unwrap_or_else(|_| {
            let mut plain = Request::new(Full::new(attempt.body.clone()));
            *plain.method_mut() = Method::POST;
            if let Ok(uri) = path.parse() {
                *plain.uri_mut() = uri;
            }
            plain
        });
        let (config, pools, inputs) = (self.config.clone(), self.pools.clone(), self.inputs.clone());
        let (running, may_send) = (self.running.clone(), self.send_check(&attempt.function));
        let task = tokio::task::spawn_local(async move {
            let exchanged =
                exchange((&config, &pools), &attempt.address, request, config.max_body_size, &may_send).await;
            let (result, reusable) = match exchanged {
                Ok((status, headers, body, connection)) => (
                    http_response::attempt_result(status, &headers, body, &config.report_fields),
                    Some(connection),
                ),
                Err(error) => {
                    let outcome = match error {
                        ExchangeError::Unsent => Outcome::ConnectFailed,
                        ExchangeError::Reset => Outcome::Reset,
                        ExchangeError::Malformed => Outcome::Error,
                        ExchangeError::Closed => Outcome::Superseded,
                    };
                    (AttemptResult::without_answer(outcome), None)
                }
            };
            running.borrow_mut().remove(&key);
            // Sending fails only if the driver has ended.
            let _ = inputs.send(Input::AttemptEnded { request: key.0, attempt: key.1, result }).await;
            if let Some(connection) = reusable {
                put_back(&config, &pools, &attempt.address, connection).await;
            }
        });
        if !task.is_finished() {
            self.running.borrow_mut().insert(key, task.abort_handle());
        }
    }

    /// Returns a check of whether requests for a function may be sent, to be called right before sending.
    fn send_check(&self, function: &Rc<str>) -> impl Fn() -> bool + 'static {
        let egress = self.egress.clone().map(|egress| (egress, function.clone()));
        move || egress.as_ref().is_none_or(|(egress, function)| !egress.is_closed(function))
    }

    /// Aborts an attempt by closing its connection.
    pub fn abort(&self, request: RequestId, attempt: u16) {
        if let Some(task) = self.running.borrow_mut().remove(&(request, attempt)) {
            task.abort();
        }
    }

    fn spawn_exchange<F, M>(
        &self,
        address: Rc<str>,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        may_send: M,
        to_input: F,
    ) where
        M: Fn() -> bool + 'static,
        F: FnOnce(Result<(StatusCode, hyper::HeaderMap, Bytes), Outcome>) -> Option<Input> + 'static,
    {
        let (config, pools, inputs) = (self.config.clone(), self.pools.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let exchanged = tokio::time::timeout(
                timeout,
                exchange((&config, &pools), &address, request, 1 << 16, &may_send),
            )
            .await;
            let (response, reusable) = match exchanged {
                Err(_) => (Err(Outcome::Timeout), None),
                Ok(Ok((status, headers, body, connection))) => {
                    (Ok((status, headers, body)), Some(connection))
                }
                Ok(Err(ExchangeError::Unsent)) => (Err(Outcome::ConnectFailed), None),
                Ok(Err(ExchangeError::Reset)) => (Err(Outcome::Reset), None),
                Ok(Err(ExchangeError::Malformed)) => (Err(Outcome::Error), None),
                // Reported like a missing response.
                Ok(Err(ExchangeError::Closed)) => (Err(Outcome::Timeout), None),
            };
            if let Some(input) = to_input(response) {
                let _ = inputs.send(input).await;
            }
            if let Some(connection) = reusable {
                put_back(&config, &pools, &address, connection).await;
            }
        });
    }

    /// Sends a health check that also asks for a load report; the response is reported as [`Input::HealthChecked`].
    pub fn health_check(&self, worker: WorkerId, address: Rc<str>) {
        let sent = self.clock.now();
        let mut request = get("/v2/health/ready".into(), &address);
        let json = hyper::header::HeaderValue::from_static("JSON");
        request.headers_mut().insert(http_response::LOAD_METRICS_FORMAT, json);
        let fields = self.config.report_fields.clone();
        let timeout = Duration::from_micros(self.config.connect_timeout as u64) + Duration::from_secs(1);
        self.spawn_exchange(
            address,
            request,
            timeout,
            || true,
            move |response| {
                Some(match response {
                    Ok((status, headers, _)) => Input::HealthChecked {
                        worker,
                        sent,
                        outcome: http_response::outcome(status, &headers),
                        report: http_response::load_report(&headers, &fields),
                        draining: http_response::announced_draining(&headers),
                    },
                    Err(outcome) => {
                        Input::HealthChecked { worker, sent, outcome, report: None, draining: None }
                    }
                })
            },
        );
    }

    /// Orders copies of a function; with `copies` 0 asks how many are loaded. The response is reported as [`Input::Loaded`].
    pub fn load(
        &self,
        (worker, address): (WorkerId, Rc<str>),
        (function, name): (FunctionId, &str),
        copies: u8,
    ) {
        let sent = self.clock.now();
        let request = if copies == 0 {
            get(format!("{}/ready", model(name, self.egress.is_some())), &address)
        } else {
            let (path, version) = repository(name, self.egress.is_some());
            let version = version.map_or(String::new(), |n| format!(",\"version\":\"{n}\""));
            let body = format!("{{\"parameters\":{{\"copies\":{copies}{version}}}}}");
            post(format!("{path}/load"), &address, body)
        };
        let may_send = self.send_check(&Rc::from(name));
        let timeout = Duration::from_micros(self.config.load_timeout as u64);
        self.spawn_exchange(address, request, timeout, may_send, move |response| {
            let (outcome, copies) = match response {
                Ok((status, headers, body)) => {
                    let json: Option<serde_json::Value> = serde_json::from_slice(&body).ok();
                    let loaded = json.and_then(|j| j.get("copies")?.as_u64());
                    let outcome = match http_response::outcome(status, &headers) {
                        Outcome::Miss if copies == 0 => Outcome::Ok,
                        other => other,
                    };
                    let assumed = if outcome == Outcome::Ok { u64::from(copies) } else { 0 };
                    (outcome, loaded.unwrap_or(assumed).min(255) as u8)
                }
                Err(outcome) => (outcome, 0),
            };
            Some(Input::Loaded { worker, function, sent, outcome, copies })
        });
    }

    /// Orders the unloading of idle copies; the response is ignored.
    pub fn unload(&self, address: Rc<str>, function: &str) {
        let (path, version) = repository(function, self.egress.is_some());
        let body = version.map_or("{}".into(), |n| format!("{{\"parameters\":{{\"version\":\"{n}\"}}}}"));
        let request = post(format!("{path}/unload"), &address, body);
        let timeout = Duration::from_micros(self.config.load_timeout as u64);
        self.spawn_exchange(address, request, timeout, || true, |_| None);
    }

    /// Closes idle connections to a worker.
    pub fn close_idle(&self, worker: WorkerId) {
        if let Some(address) = self.addresses.borrow().get(&worker) {
            self.pools.borrow_mut().remove(address);
        }
    }

    /// Drops connections that exceeded the idle timeout or that the worker closed.
    pub fn sweep(&self) {
        let idle_timeout = Duration::from_micros(self.config.idle_close as u64);
        let mut pools = self.pools.borrow_mut();
        for idle in pools.values_mut() {
            idle.retain(|(c, since)| since.elapsed() < idle_timeout && !c.sender.is_closed());
        }
        pools.retain(|_, idle| !idle.is_empty());
        let mut addresses = self.addresses.borrow_mut();
        if addresses.len() > 2 * self.config.max_workers {
            addresses.clear();
        }
    }
}
