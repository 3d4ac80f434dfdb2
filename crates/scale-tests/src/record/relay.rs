//! A relay on the loopback that counts what passes, each way.

use super::fault::Outcome;
use std::net::TcpListener as Listener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that passed, headers of TCP and IP not counted.
#[derive(Debug, Default)]
pub struct Passed {
    pub there: AtomicU64,
    pub back: AtomicU64,
}

impl Passed {
    /// To the one behind the relay, and back from it.
    pub fn now(&self) -> (u64, u64) {
        (self.there.load(Ordering::Relaxed), self.back.load(Ordering::Relaxed))
    }
}

pub struct Relay {
    pub address: String,
    pub passed: Arc<Passed>,
}

/// A thread that runs relays until the process ends.
pub struct Relays(tokio::runtime::Handle);

impl Relays {
    /// Starts the thread.
    ///
    /// # Errors
    /// There is no thread to be had.
    pub fn start() -> Outcome<Relays> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let work = move || runtime.block_on(std::future::pending::<()>());
        std::thread::Builder::new().name("relays".into()).spawn(work)?;
        Ok(Relays(handle))
    }

    /// A relay to this address.
    ///
    /// # Errors
    /// No port is to be had.
    pub fn to(&self, to: &str) -> Outcome<Relay> {
        let listener = Listener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?.to_string();
        let passed = Arc::new(Passed::default());
        self.0.spawn(relay(listener, to.to_string(), passed.clone()));
        Ok(Relay { address, passed })
    }
}

async fn relay(listener: Listener, to: String, passed: Arc<Passed>) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((from, _)) = listener.accept().await {
        let (to, passed) = (to.clone(), passed.clone());
        tokio::spawn(async move {
            let Ok(to) = TcpStream::connect(to).await else { return };
            let _ = (from.set_nodelay(true), to.set_nodelay(true));
            let ((from_in, from_out), (to_in, to_out)) = (from.into_split(), to.into_split());
            tokio::join!(pass(from_in, to_out, &passed.there), pass(to_in, from_out, &passed.back));
        });
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: &AtomicU64) {
    let mut bytes = vec![0; 64 << 10];
    while let Ok(read) = from.read(&mut bytes).await {
        if read == 0 || to.write_all(&bytes[..read]).await.is_err() {
            break;
        }
        count.fetch_add(read as u64, Ordering::Relaxed);
    }
    let _ = to.shutdown().await;
}
