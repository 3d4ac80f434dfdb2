//! A network link to an executor that can be cut: connections stay open and silent. What a sender's system holds then
//! is sent once the link is restored, unless the sender has reset the connection. The relay of the harness delivers what
//! it held also after a reset, as a device between the two might.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

pub struct Link {
    /// The address that front ends connect to.
    pub address: SocketAddr,
    is_cut: watch::Sender<bool>,
    held: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Link {
    pub async fn to(executor: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (is_cut, cut) = watch::channel(false);
        let held = Arc::new(AtomicUsize::new(0));
        let task = tokio::spawn(accept(listener, executor, cut, held.clone()));
        Link { address, is_cut, held, task }
    }

    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    pub fn restore(&self) {
        self.is_cut.send_replace(false);
    }

    /// Returns the number of requests that front ends have written since the link was cut.
    pub fn held_requests(&self) -> usize {
        self.held.load(Ordering::SeqCst)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    executor: SocketAddr,
    cut: watch::Receiver<bool>,
    held: Arc<AtomicUsize>,
) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        connections.spawn(carry_connection(near, executor, cut.clone(), held.clone()));
    }
}

async fn carry_connection(
    near: TcpStream,
    executor: SocketAddr,
    cut: watch::Receiver<bool>,
    held: Arc<AtomicUsize>,
) {
    let Ok(far) = TcpStream::connect(executor).await else { return };
    near.set_nodelay(true).unwrap();
    far.set_nodelay(true).unwrap();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let answers = Arc::new(AtomicUsize::new(0));
    tokio::join!(carry(near_read, far_write, cut.clone(), held), carry(far_read, near_write, cut, answers));
}

/// Carries one direction. While the link is cut, bytes are held, and requests among them are counted.
async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut cut: watch::Receiver<bool>,
    held_requests: Arc<AtomicUsize>,
) {
    let mut held = Vec::new();
    let mut bytes = vec![0; 64 << 10];
    let mut is_open = true;
    while is_open || !held.is_empty() {
        if !held.is_empty() && !*cut.borrow_and_update() {
            if to.write_all(&std::mem::take(&mut held)).await.is_err() {
                return;
            }
            continue;
        }
        tokio::select! {
            read = from.read(&mut bytes), if is_open => match read {
                Ok(0) => is_open = false,
                Ok(n) => {
                    if *cut.borrow() {
                        let requests = bytes[..n].windows(4).filter(|word| *word == b"RUN ").count();
                        held_requests.fetch_add(requests, Ordering::SeqCst);
                    }
                    held.extend_from_slice(&bytes[..n]);
                }
                // The sender's system discards what it held, and the reset itself is lost if the link is cut.
                Err(_) => return,
            },
            changed = cut.changed() => if changed.is_err() {
                return;
            },
        }
    }
    let _ = to.shutdown().await;
}
