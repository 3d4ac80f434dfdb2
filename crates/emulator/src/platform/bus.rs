//! An event bus: numbered events as frames, told from the number that a follower has; it breaks, falls silent and moves on
//! command.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How the event subscription behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SubscriptionFault {
    #[default]
    Well,
    /// The connection stays open and nothing comes.
    Silent,
    /// The next event is cut off inside its frame and the connection closed; well after that.
    Cut,
    /// Every event is written twice.
    Twice,
}

struct State {
    events: Vec<(u64, u8, Vec<u8>, Instant)>,
    mood: SubscriptionFault,
    connections: usize,
}

/// One event bus.
pub struct EventBus {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    task: tokio::task::JoinHandle<()>,
}

/// A record of an executor as the event subscription writes it; state 0 ready, 1 draining, 2 gone.
pub fn record(id: u32, address: SocketAddr, state: u8, started_ms: u64) -> Vec<u8> {
    let SocketAddr::V4(v4) = address else { return Vec::new() };
    let mut b = id.to_be_bytes().to_vec();
    b.extend(v4.ip().octets());
    b.extend(v4.port().to_be_bytes());
    b.extend([state, 0, 0, 0, 0]);
    b.extend(8000u32.to_be_bytes());
    b.extend(started_ms.to_be_bytes());
    b
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut b = ((9 + payload.len()) as u32).to_be_bytes().to_vec();
    b.extend(number.to_be_bytes());
    b.push(kind);
    b.extend(payload);
    b
}

impl EventBus {
    /// A bus whose events so far end at `last`; must be called inside a runtime.
    pub async fn start(last: u64) -> std::io::Result<EventBus> {
        EventBus::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), last).await
    }

    /// One at a told address, where another may have been before.
    pub async fn start_at(address: SocketAddr, last: u64) -> std::io::Result<EventBus> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state =
            Arc::new(Mutex::new(State { events: Vec::new(), mood: SubscriptionFault::Well, connections: 0 }));
        let (changed, seen) = watch::channel(last);
        let shared = state.clone();
        let task = tokio::spawn(async move {
            let mut tasks = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                shared.lock().unwrap().connections += 1;
                tasks.spawn(tell(stream, shared.clone(), seen.clone()));
            }
        });
        Ok(EventBus { address, state, changed, task })
    }

    /// Writes an event of changes; gives its number.
    pub fn change(&self, records: &[Vec<u8>]) -> u64 {
        let number = *self.changed.borrow() + 1;
        self.state.lock().unwrap().events.push((number, 2, records.concat(), Instant::now()));
        self.changed.send_replace(number);
        number
    }

    pub fn mood(&self, mood: SubscriptionFault) {
        self.state.lock().unwrap().mood = mood;
    }

    /// Connections that followers made.
    pub fn connections(&self) -> usize {
        self.state.lock().unwrap().connections
    }

    /// The events that `other` holds too, so that numbers go on there.
    pub fn copy_to(&self, other: &EventBus) {
        let events = self.state.lock().unwrap().events.clone();
        other.state.lock().unwrap().events = events;
        other.changed.send_replace(*self.changed.borrow());
    }
}

impl Drop for EventBus {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn tell(mut stream: TcpStream, state: Arc<Mutex<State>>, mut changed: watch::Receiver<u64>) {
    let mut last = [0u8; 8];
    if stream.read_exact(&mut last).await.is_err() {
        return;
    }
    let mut last = u64::from_be_bytes(last);
    loop {
        let (due, mood) = {
            let mut s = state.lock().unwrap();
            let due: Vec<_> = s.events.iter().filter(|e| e.0 > last).cloned().collect();
            let mood = s.mood;
            if mood == SubscriptionFault::Cut && !due.is_empty() {
                s.mood = SubscriptionFault::Well;
            }
            (due, mood)
        };
        if mood != SubscriptionFault::Silent {
            for (number, kind, payload, _) in due {
                let bytes = frame(number, kind, &payload);
                if mood == SubscriptionFault::Cut {
                    let _ = stream.write_all(&bytes[..bytes.len() / 2]).await;
                    return;
                }
                let times = if mood == SubscriptionFault::Twice { 2 } else { 1 };
                for _ in 0..times {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                last = number;
            }
        }
        let mut byte = [0u8; 1];
        tokio::select! {
            _ = changed.changed() => {}
            _ = tokio::time::sleep(Duration::from_secs(1)) => {
                if state.lock().unwrap().mood != SubscriptionFault::Silent && stream.write_all(&frame(last, 0, &[])).await.is_err() {
                    return;
                }
            }
            _ = stream.read(&mut byte) => return,
        }
    }
}
