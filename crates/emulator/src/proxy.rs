//! A plain pass-through proxy: each request goes on to the next of its targets over a kept connection. What a gateway that
//! decides nothing would cost.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

struct Proxy {
    targets: Vec<String>,
    idle: RefCell<Vec<Vec<SendRequest<Full<Bytes>>>>>,
    next: Cell<usize>,
}

/// Serves until the listener fails. Inside a `LocalSet`.
pub async fn serve(listener: TcpListener, targets: Vec<String>) -> io::Result<()> {
    let idle = RefCell::new(targets.iter().map(|_| Vec::new()).collect());
    let proxy = Rc::new(Proxy { targets, idle, next: Cell::new(0) });
    let mut tasks = JoinSet::new();
    loop {
        let (stream, _) = tokio::select! {
            accepted = listener.accept() => accepted?,
            Some(_) = tasks.join_next() => continue,
        };
        let _ = stream.set_nodelay(true);
        let proxy = proxy.clone();
        tasks.spawn_local(async move {
            let service = service_fn(move |request| {
                let proxy = proxy.clone();
                async move { Ok::<_, Infallible>(proxy.pass(request).await) }
            });
            let server = hyper::server::conn::http1::Builder::new();
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl Proxy {
    async fn pass(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.exchange(request).await.unwrap_or_else(|| {
            let mut bad = Response::new(Full::new(Bytes::new()));
            *bad.status_mut() = StatusCode::BAD_GATEWAY;
            bad
        })
    }

    async fn exchange(&self, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let at = self.next.get();
        self.next.set((at + 1) % self.targets.len());
        let (head, body) = request.into_parts();
        let request = Request::from_parts(head, Full::new(body.collect().await.ok()?.to_bytes()));
        let kept = self.idle.borrow_mut()[at].pop();
        let mut sender = match kept.filter(SendRequest::is_ready) {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(&self.targets[at]).await.ok()?;
                stream.set_nodelay(true).ok()?;
                let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
                tokio::task::spawn_local(async move {
                    let _ = connection.await;
                });
                sender
            }
        };
        let (head, body) = sender.send_request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        if sender.ready().await.is_ok() {
            self.idle.borrow_mut()[at].push(sender);
        }
        Some(Response::from_parts(head, Full::new(body)))
    }
}
