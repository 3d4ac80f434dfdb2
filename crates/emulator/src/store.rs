//! The program store that all workers share: `GET /programs/NAME` gives a program. Many fetches at once slow it, more than it
//! takes are rejected with 503, and it can be slowed on command.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// How a store serves.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Time of a fetch when the store is not crowded.
    pub fetch: Duration,
    /// Fetches at a time that don't slow each other.
    pub at_ease: u32,
    /// Fetches at a time beyond which more are rejected.
    pub most: u32,
    /// Bytes of a program.
    pub size: usize,
}

impl Default for StoreOptions {
    fn default() -> StoreOptions {
        StoreOptions { fetch: Duration::from_millis(120), at_ease: 8, most: 64, size: 16 << 10 }
    }
}

/// Commands to a store that runs, and its counts.
#[derive(Debug, Default)]
pub struct Controls {
    slow_percent: AtomicU64,
    fetches: AtomicU64,
    turned_away: AtomicU64,
}

impl Controls {
    /// Fetch times in percent of the usual; 0 and 100 are the usual.
    pub fn slow(&self, percent: u64) {
        self.slow_percent.store(percent, Ordering::Relaxed);
    }

    /// Fetches begun so far.
    pub fn fetches(&self) -> u64 {
        self.fetches.load(Ordering::Relaxed)
    }

    /// Fetches rejected so far.
    pub fn turned_away(&self) -> u64 {
        self.turned_away.load(Ordering::Relaxed)
    }
}

/// Serves until the listener fails or the future is dropped. Inside a `LocalSet`.
pub async fn serve(listener: TcpListener, options: StoreOptions, controls: Arc<Controls>) -> io::Result<()> {
    let busy = Rc::new(Cell::new(0u32));
    let program = Bytes::from(vec![0x5a; options.size]);
    let mut tasks = JoinSet::new();
    loop {
        let (stream, _) = tokio::select! {
            accepted = listener.accept() => accepted?,
            Some(_) = tasks.join_next() => continue,
        };
        let (busy, controls, options, program) =
            (busy.clone(), controls.clone(), options.clone(), program.clone());
        tasks.spawn_local(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let (busy, controls, options, program) =
                    (busy.clone(), controls.clone(), options.clone(), program.clone());
                async move {
                    controls.fetches.fetch_add(1, Ordering::Relaxed);
                    if busy.get() >= options.most {
                        controls.turned_away.fetch_add(1, Ordering::Relaxed);
                        let mut full = Response::new(Full::new(Bytes::from_static(b"too many fetches")));
                        *full.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                        return Ok::<_, Infallible>(full);
                    }
                    busy.set(busy.get() + 1);
                    let _leave = Leave(busy.clone());
                    let slow = controls.slow_percent.load(Ordering::Relaxed);
                    let slow = if slow == 0 { 1.0 } else { slow as f64 / 100.0 };
                    let crowd = (f64::from(busy.get()) / f64::from(options.at_ease.max(1))).max(1.0);
                    tokio::time::sleep(options.fetch.mul_f64(slow * crowd)).await;
                    Ok(Response::new(Full::new(program)))
                }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

struct Leave(Rc<Cell<u32>>);

impl Drop for Leave {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A worker's fetch of a program; false where the store turned it away or broke off.
pub async fn fetch(store: &str, name: &str) -> bool {
    let fetching = async {
        let stream = TcpStream::connect(store).await.ok()?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driving = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        let name = percent_encoding::utf8_percent_encode(name, percent_encoding::NON_ALPHANUMERIC);
        let request = Request::get(format!("/programs/{name}")).header("host", store);
        let response = sender.send_request(request.body(Empty::<Bytes>::new()).ok()?).await.ok()?;
        let ok = response.status().is_success();
        response.into_body().collect().await.ok()?;
        driving.abort();
        Some(ok)
    };
    // A store that stalls fails the load.
    tokio::time::timeout(Duration::from_secs(30), fetching).await.ok().flatten().unwrap_or(false)
}
