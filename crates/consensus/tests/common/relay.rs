//! A relay on the loopback interface that passes bytes in both directions until it is cut or stalled.

use std::future::Future;
use std::net::TcpListener as Listener;
use std::thread::JoinHandle;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RelayState {
    Open,
    /// Connections are closed, and no new ones are opened.
    Cut,
    /// Connections stay open and new ones are accepted, but no bytes pass.
    Stalled,
}

pub struct Relay {
    pub address: String,
    state: watch::Sender<RelayState>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    pub fn new(to: &str) -> Relay {
        let listener = Listener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (state, state_receiver) = watch::channel(RelayState::Open);
        let (stop, stopped) = watch::channel(false);
        let to = to.to_string();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(relay(listener, to, state_receiver, stopped));
        });
        Relay { address, state, stop, thread: Some(thread) }
    }

    pub fn cut(&self, is_cut: bool) {
        self.set(if is_cut { RelayState::Cut } else { RelayState::Open });
    }

    pub fn set(&self, state: RelayState) {
        self.state.send_replace(state);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        self.thread.take().unwrap().join().unwrap();
    }
}

async fn relay(
    listener: Listener,
    to: String,
    state_receiver: watch::Receiver<RelayState>,
    mut stopped: watch::Receiver<bool>,
) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((mut stream, _)) = accepted else { continue };
                let (to, state_receiver) = (to.clone(), state_receiver.clone());
                if *state_receiver.borrow() == RelayState::Cut {
                    continue;
                }
                tokio::spawn(async move {
                    let Ok(mut out) = TcpStream::connect(&to).await else { return };
                    let _ = (stream.set_nodelay(true), out.set_nodelay(true));
                    run_while_open(copy_bidirectional(&mut stream, &mut out), state_receiver).await;
                });
            }
            _ = stopped.wait_for(|e| *e) => return,
        }
    }
}

/// Runs the copy while the relay is open; stops when it is cut.
async fn run_while_open<T>(copy: impl Future<Output = T>, mut state_receiver: watch::Receiver<RelayState>) {
    let mut copy = std::pin::pin!(copy);
    loop {
        let state = *state_receiver.borrow_and_update();
        tokio::select! {
            _ = &mut copy, if state == RelayState::Open => return,
            changed = state_receiver.changed() => if changed.is_err() { return },
        }
        if *state_receiver.borrow() == RelayState::Cut {
            return;
        }
    }
}
