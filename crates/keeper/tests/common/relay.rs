//! A relay on the loopback: passes bytes both ways until it is cut.

use std::net::TcpListener as Listener;
use std::thread::JoinHandle;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

pub struct Relay {
    pub address: String,
    is_cut: watch::Sender<bool>,
    ends: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    pub fn new(to: &str) -> Relay {
        let listener = Listener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (is_cut, cut) = watch::channel(false);
        let (ends, ended) = watch::channel(false);
        let to = to.to_string();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(relay(listener, to, cut, ended));
        });
        Relay { address, is_cut, ends, thread: Some(thread) }
    }

    /// Connections end, and none comes about while it is cut.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.ends.send_replace(true);
        self.thread.take().unwrap().join().unwrap();
    }
}

async fn relay(listener: Listener, to: String, cut: watch::Receiver<bool>, mut ended: watch::Receiver<bool>) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((mut stream, _)) = accepted else { continue };
                let (to, mut cut) = (to.clone(), cut.clone());
                if *cut.borrow() {
                    continue;
                }
                tokio::spawn(async move {
                    let Ok(mut out) = TcpStream::connect(&to).await else { return };
                    let _ = (stream.set_nodelay(true), out.set_nodelay(true));
                    tokio::select! {
                        _ = copy_bidirectional(&mut stream, &mut out) => {}
                        _ = cut.wait_for(|c| *c) => {}
                    }
                });
            }
            _ = ended.wait_for(|e| *e) => return,
        }
    }
}
