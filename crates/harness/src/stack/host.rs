//! Threads and loopback sockets of the emulated systems.

use super::HarnessError;
use stagehoist_emulator::worker;
use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Threads end when this is dropped.
pub(super) struct Host {
    _stop: watch::Sender<bool>,
}

/// Runs something on a thread of its own with a current-thread runtime, until the host is dropped.
pub(super) fn host<F>(work: impl FnOnce() -> F + Send + 'static) -> Result<Host, HarnessError>
where
    F: std::future::Future<Output = ()> + 'static,
{
    let (stop, mut stopped) = watch::channel(false);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(HarnessError::Socket)?;
    std::thread::Builder::new()
        .spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                let work = work();
                tokio::select! {
                    () = work => {}
                    _ = stopped.changed() => {}
                }
            });
        })
        .map_err(HarnessError::Socket)?;
    Ok(Host { _stop: stop })
}

pub(super) fn listen() -> Result<(StdListener, String), HarnessError> {
    let open = || {
        let listener = StdListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?.to_string();
        Ok((listener, address))
    };
    open().map_err(HarnessError::Socket)
}

pub(super) struct StartWorker {
    pub(super) address: String,
    pub(super) listener: Option<StdListener>,
    pub(super) options: worker::WorkerOptions,
    pub(super) controls: Arc<worker::Controls>,
    pub(super) warm: bool,
}

pub(super) async fn run_worker(start: StartWorker) {
    let listener = match start.listener {
        Some(listener) => TcpListener::from_std(listener),
        None => {
            // The old process's socket may take a moment to go.
            let mut tries = 0;
            loop {
                match TcpListener::bind(&start.address).await {
                    Err(_) if tries < 100 => tries += 1,
                    done => break done,
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    };
    match listener {
        Ok(listener) => {
            if let Err(error) = worker::run(listener, start.options, start.controls, start.warm).await {
                tracing::warn!(%error, "worker ended");
            }
        }
        Err(error) => tracing::warn!(%error, "worker can't listen"),
    }
}
