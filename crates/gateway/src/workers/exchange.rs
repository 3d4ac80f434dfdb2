//! HTTP exchanges with workers, one at a time on each connection, and reuse of idle connections.

use super::stream::{InExchange, WorkerStream};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use stagehoist_config::Config;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A connection whose socket closes when it is dropped.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    in_exchange: InExchange,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(super) type Pools = Rc<RefCell<HashMap<Rc<str>, Vec<(Connection, Instant)>>>>;
/// Why an exchange ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// Nothing was written to the worker.
    Unsent,
    /// The connection broke after the request was, or may have been, written.
    Reset,
    /// The response was malformed or too large.
    Malformed,
    /// The function was closed before anything was written.
    Closed,
}

pub(super) fn get(path: String, address: &str) -> Request<Full<Bytes>> {
    build(Method::GET, path, address, Bytes::new())
}

pub(super) fn post(path: String, address: &str, body: String) -> Request<Full<Bytes>> {
    build(Method::POST, path, address, body.into())
}

pub(super) fn build(method: Method, path: String, address: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    // Segments are percent-encoded, so that the path always parses.
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    if let Ok(host) = address.parse() {
        request.headers_mut().insert(HOST, host);
    }
    request
}

pub(super) async fn connect(config: &Config, address: &str) -> Option<Connection> {
    let limit = Duration::from_micros(config.connect_timeout as u64);
    let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await.ok()?.ok()?;
    let in_exchange = InExchange::default();
    let stream = WorkerStream::new(stream, in_exchange.clone()).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        // Its errors are reported to the pending request.
        let _ = connection.await;
    });
    Some(Connection { sender, in_exchange, task: task.abort_handle() })
}

pub(super) fn take_idle(pools: &Pools, address: &str, idle_timeout: Duration) -> Option<Connection> {
    let mut pools = pools.borrow_mut();
    let idle = pools.get_mut(address)?;
    while let Some((connection, since)) = idle.pop() {
        if connection.sender.is_ready() && since.elapsed() < idle_timeout {
            return Some(connection);
        }
    }
    None
}

pub(super) async fn put_back(config: &Config, pools: &Pools, address: &Rc<str>, mut connection: Connection) {
    if connection.sender.ready().await.is_ok() {
        let mut pools = pools.borrow_mut();
        let idle = pools.entry(address.clone()).or_default();
        if (idle.len() as u64) < config.max_idle_connections {
            idle.push((connection, Instant::now()));
        }
    }
}

pub(super) type HttpResponse = (StatusCode, hyper::HeaderMap, Bytes, Connection);

/// Sends a request and reads its complete response. If a reused connection fails before anything was written, the
/// request is sent on another connection. This does not repeat the request, because it was not sent before.
pub(super) async fn exchange(
    (config, pools): (&Config, &Pools),
    address: &str,
    request: Request<Full<Bytes>>,
    max_body: u64,
    may_send: &dyn Fn() -> bool,
) -> Result<HttpResponse, ExchangeError> {
    let idle_timeout = Duration::from_micros(config.idle_close as u64);
    let mut request = request;
    let (response, connection) = loop {
        let idle = take_idle(pools, address, idle_timeout);
        let is_new = idle.is_none();
        let mut connection = match idle {
            Some(connection) => connection,
            None => connect(config, address).await.ok_or(ExchangeError::Unsent)?,
        };
        if !may_send() {
            return Err(ExchangeError::Closed);
        }
        connection.in_exchange.set(true);
        match connection.sender.try_send_request(request).await {
            Ok(response) => break (response, connection),
            Err(mut e) => match e.take_message() {
                Some(unsent) if !is_new => request = unsent,
                Some(_) => return Err(ExchangeError::Unsent),
                None => {
                    return Err(if e.error().is_parse() {
                        ExchangeError::Malformed
                    } else {
                        ExchangeError::Reset
                    });
                }
            },
        }
    };
    let (head, body): (_, hyper::body::Incoming) = Response::into_parts(response);
    match Limited::new(body, max_body as usize).collect().await {
        Ok(complete) => {
            connection.in_exchange.set(false);
            Ok((head.status, head.headers, complete.to_bytes(), connection))
        }
        Err(e) if e.downcast_ref::<http_body_util::LengthLimitError>().is_some() => {
            Err(ExchangeError::Malformed)
        }
        Err(_) => Err(ExchangeError::Reset),
    }
}
