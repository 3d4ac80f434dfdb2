//! A relay on the loopback interface that passes bytes in both directions until it is cut or stalled.

use std::future::Future;
use std::net::TcpListener as Listener;
use std::thread::JoinHandle;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Open,
    /// Connections are closed, and no new ones are opened.
    Cut,
    /// Connections stay open and new ones are accepted, but no bytes pass.
    Stalled,
}

pub struct Relay {
    pub address: String,
    way: watch::Sender<Way>,
    ends: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    pub fn new(to: &str) -> Relay {
        let listener = Listener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (way, goes) = watch::channel(Way::Open);
        let (ends, ended) = watch::channel(false);
        let to = to.to_string();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(relay(listener, to, goes, ended));
        });
        Relay { address, way, ends, thread: Some(thread) }
    }

    pub fn cut(&self, is_cut: bool) {
        self.set(if is_cut { Way::Cut } else { Way::Open });
    }

    pub fn set(&self, way: Way) {
        self.way.send_replace(way);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.ends.send_replace(true);
        self.thread.take().unwrap().join().unwrap();
    }
}

async fn relay(listener: Listener, to: String, goes: watch::Receiver<Way>, mut ended: watch::Receiver<bool>) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((mut stream, _)) = accepted else { continue };
                let (to, goes) = (to.clone(), goes.clone());
                if *goes.borrow() == Way::Cut {
                    continue;
                }
                tokio::spawn(async move {
                    let Ok(mut out) = TcpStream::connect(&to).await else { return };
                    let _ = (stream.set_nodelay(true), out.set_nodelay(true));
                    pass(copy_bidirectional(&mut stream, &mut out), goes).await;
                });
            }
            _ = ended.wait_for(|e| *e) => return,
        }
    }
}

/// Runs the copy while the relay is open; stops when it is cut.
async fn pass<T>(passing: impl Future<Output = T>, mut goes: watch::Receiver<Way>) {
    let mut passing = std::pin::pin!(passing);
    loop {
        let way = *goes.borrow_and_update();
        tokio::select! {
            _ = &mut passing, if way == Way::Open => return,
            changed = goes.changed() => if changed.is_err() { return },
        }
        if *goes.borrow() == Way::Cut {
            return;
        }
    }
}
