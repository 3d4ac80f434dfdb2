//! An event bus: numbered events as frames, told from the number that a follower has; it breaks, falls silent, goes out of
//! reach and moves on command.

use super::backlog::full_backlog;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

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
    /// Open connections are closed and new ones refused.
    Refusing,
    /// Open connections are closed, and new ones as soon as they are accepted.
    Closing,
    /// Open connections fall silent, and new ones never come up: nobody accepts them and the backlog is full.
    Unreachable,
    /// Open connections fall silent and new ones are refused, as of a bus that has moved.
    Retired,
}

impl SubscriptionFault {
    /// Followers are not told anything.
    pub fn is_outage(self) -> bool {
        use SubscriptionFault::{Closing, Refusing, Retired, Silent, Unreachable};
        matches!(self, Silent | Refusing | Closing | Unreachable | Retired)
    }

    /// Followers see their connections end when it begins.
    pub fn breaks_connections(self) -> bool {
        matches!(self, SubscriptionFault::Refusing | SubscriptionFault::Closing)
    }
}

/// Kinds of events: the whole list, and changes of it.
const WHOLE_LIST: u8 = 1;
const CHANGES: u8 = 2;
/// How often an empty frame is written, whatever events come between.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// For so long the connections of a bus that has moved stay open.
const RETIREMENT: Duration = Duration::from_millis(1500);
/// Pause between events that are told slowly: shorter than the silence after which a follower connects again.
pub const SLOW_EVENT_PAUSE: Duration = Duration::from_millis(400);

/// How late everything arrives that the bus writes, events and empty frames, in order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lateness {
    /// The lateness when it is set.
    pub initial: Duration,
    /// Growth of the lateness, in seconds per second.
    pub growth: f64,
    pub maximum: Duration,
}

impl Lateness {
    pub const NONE: Lateness = Lateness::constant(Duration::ZERO);

    pub const fn constant(lateness: Duration) -> Lateness {
        Lateness { initial: lateness, growth: 0.0, maximum: lateness }
    }

    fn after(self, elapsed: Duration) -> Duration {
        (self.initial + elapsed.mul_f64(self.growth)).min(self.maximum)
    }
}

/// What a follower is told when it asks after an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Resumption {
    /// The events after the one that it has.
    #[default]
    Events,
    /// The same with a pause between two of them. Followers whose connection stood are told at once: the pages' relief
    /// for a silence lasts for them until they are told, while it ends for those that ask again.
    SlowEvents,
    /// The whole list in one event.
    WholeList,
}

#[derive(Clone)]
struct State {
    events: Vec<(u64, u8, Vec<u8>)>,
    mood: SubscriptionFault,
    resumption: Resumption,
    lateness: Lateness,
    /// When the lateness was set.
    late_since: Instant,
    connections: usize,
    /// When followers asked on a connection that was accepted.
    asked: Vec<Instant>,
    /// The last record of each executor, by id.
    records: BTreeMap<u32, Vec<u8>>,
}

/// One event bus.
pub struct EventBus {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    moods: watch::Sender<SubscriptionFault>,
    task: tokio::task::JoinHandle<()>,
}

/// The capacity of executors whose record names none.
pub const USUAL_CAPACITY: u32 = 8;

/// A record of an executor as the event subscription writes it; state 0 ready, 1 draining, 2 gone.
pub fn record(id: u32, address: SocketAddr, state: u8, started_ms: u64) -> Vec<u8> {
    record_of_capacity(id, address, state, started_ms, USUAL_CAPACITY)
}

/// The same of an executor with this capacity.
pub fn record_of_capacity(
    id: u32,
    address: SocketAddr,
    state: u8,
    started_ms: u64,
    capacity: u32,
) -> Vec<u8> {
    let SocketAddr::V4(v4) = address else { return Vec::new() };
    let mut b = id.to_be_bytes().to_vec();
    b.extend(v4.ip().octets());
    b.extend(v4.port().to_be_bytes());
    b.extend([state, 0, 0, 0, 0]);
    b.extend((capacity * 1000).to_be_bytes());
    b.extend(started_ms.to_be_bytes());
    b
}

/// The event that a bus starts with, which its followers have from their configuration. It changes nothing until
/// [`EventBus::known`] says what it holds.
fn initial_event(number: u64) -> Option<(u64, u8, Vec<u8>)> {
    (number > 0).then_some((number, CHANGES, Vec::new()))
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
        let state = Arc::new(Mutex::new(State {
            events: initial_event(last).into_iter().collect(),
            mood: SubscriptionFault::Well,
            resumption: Resumption::Events,
            lateness: Lateness::NONE,
            late_since: Instant::now(),
            connections: 0,
            asked: Vec::new(),
            records: BTreeMap::new(),
        }));
        let (changed, seen) = watch::channel(last);
        let (moods, mood) = watch::channel(SubscriptionFault::Well);
        let task = tokio::spawn(accept(listener, address, state.clone(), seen, mood));
        Ok(EventBus { address, state, changed, moods, task })
    }

    /// Writes an event of changes; gives its number.
    pub fn change(&self, records: &[Vec<u8>]) -> u64 {
        let number = *self.changed.borrow() + 1;
        let mut state = self.state.lock().unwrap();
        state.events.push((number, CHANGES, records.concat()));
        state.note_records(records);
        drop(state);
        self.changed.send_replace(number);
        number
    }

    /// The records of the list that followers have from their configuration: the event that the bus starts with, and
    /// part of every whole list.
    pub fn known(&self, records: &[Vec<u8>]) {
        let number = self.last();
        let mut state = self.state.lock().unwrap();
        state.note_records(records);
        if let [initial] = &mut state.events[..] {
            if initial.0 == number {
                *initial = (number, WHOLE_LIST, records.concat());
            }
        }
    }

    /// Makes all that is written from now on arrive late.
    pub fn set_lateness(&self, lateness: Lateness) {
        let mut state = self.state.lock().unwrap();
        (state.lateness, state.late_since) = (lateness, Instant::now());
    }

    pub fn mood(&self, mood: SubscriptionFault) {
        self.state.lock().unwrap().mood = mood;
        self.moods.send_replace(mood);
        // Followers whose connection stands are told what they missed.
        self.changed.send_modify(|_| {});
    }

    /// What followers are told that ask from now on.
    pub fn resume_with(&self, resumption: Resumption) {
        self.state.lock().unwrap().resumption = resumption;
    }

    /// The number of the last event.
    pub fn last(&self) -> u64 {
        *self.changed.borrow()
    }

    /// When followers asked, on connections that were accepted.
    pub fn asked(&self) -> Vec<Instant> {
        self.state.lock().unwrap().asked.clone()
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

    /// Moves to another address: a bus there goes on with all that this one holds and is in the same mood. This one
    /// tells nothing further, accepts nobody, and closes its connections after a while.
    pub async fn move_to(&mut self, address: SocketAddr) -> std::io::Result<()> {
        let new = EventBus::start_at(address, self.last()).await?;
        let state = self.state.lock().unwrap().clone();
        let mood = state.mood;
        *new.state.lock().unwrap() = state;
        new.mood(mood);
        let old = std::mem::replace(self, new);
        old.mood(SubscriptionFault::Retired);
        tokio::spawn(async move {
            tokio::time::sleep(RETIREMENT).await;
            drop(old);
        });
        Ok(())
    }
}

impl Drop for EventBus {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl State {
    fn note_records(&mut self, records: &[Vec<u8>]) {
        for record in records {
            let id = record.first_chunk::<4>().map_or(0, |id| u32::from_be_bytes(*id));
            self.records.insert(id, record.clone());
        }
    }

    /// Events after `last`; where the whole list is told, one event in their place.
    fn due(&self, last: u64, is_first: bool) -> Vec<(u64, u8, Vec<u8>)> {
        let due: Vec<_> = self.events.iter().filter(|event| event.0 > last).cloned().collect();
        if self.resumption == Resumption::WholeList && is_first {
            const GONE: u8 = 2;
            let listed = self.records.values().filter(|record| record.get(10) != Some(&GONE));
            let whole: Vec<u8> = listed.flatten().copied().collect();
            return due.last().map(|newest| (newest.0, WHOLE_LIST, whole)).into_iter().collect();
        }
        due
    }
}

/// Accepts followers, or keeps them out as the mood says, until the bus is dropped.
async fn accept(
    listener: TcpListener,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    seen: watch::Receiver<u64>,
    mut mood: watch::Receiver<SubscriptionFault>,
) {
    let mut listener = Some(listener);
    let mut tasks = tokio::task::JoinSet::new();
    // Connections that fill the backlog while the bus is out of reach.
    let mut crowd = Vec::new();
    loop {
        let now = *mood.borrow_and_update();
        if now.breaks_connections() {
            tasks.abort_all();
        }
        match now {
            SubscriptionFault::Refusing | SubscriptionFault::Retired => listener = None,
            SubscriptionFault::Unreachable if crowd.is_empty() => {
                drop(listener.take());
                let Some(full) = full_backlog(address, &mut crowd).await else { return };
                listener = Some(full);
            }
            SubscriptionFault::Unreachable => {}
            _ if listener.is_none() || !crowd.is_empty() => {
                crowd.clear();
                drop(listener.take());
                let Ok(again) = TcpListener::bind(address).await else { return };
                listener = Some(again);
            }
            _ => {}
        }
        tokio::select! {
            changed = mood.changed() => if changed.is_err() { return },
            accepted = accept_one(listener.as_ref()), if now != SubscriptionFault::Unreachable => {
                let Ok((stream, _)) = accepted else { return };
                state.lock().unwrap().connections += 1;
                if now != SubscriptionFault::Closing {
                    tasks.spawn(tell(stream, state.clone(), seen.clone()));
                }
            }
        }
    }
}

async fn accept_one(listener: Option<&TcpListener>) -> std::io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

/// Serves one follower until its connection ends.
async fn tell(mut stream: TcpStream, state: Arc<Mutex<State>>, mut changed: watch::Receiver<u64>) {
    let mut last = [0u8; 8];
    if stream.read_exact(&mut last).await.is_err() {
        return;
    }
    state.lock().unwrap().asked.push(Instant::now());
    let mut follower =
        Follower { stream, state, last: u64::from_be_bytes(last), is_first: true, outbox: VecDeque::new() };
    let mut heartbeats = tokio::time::interval(HEARTBEAT_INTERVAL);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    heartbeats.reset();
    let mut is_heartbeat_due = false;
    loop {
        if follower.tell_missed().await.is_err() {
            return;
        }
        if is_heartbeat_due && follower.write_heartbeat().await.is_err() {
            return;
        }
        if follower.write_due().await.is_err() {
            return;
        }
        let next_due = follower.next_due();
        let mut byte = [0u8; 1];
        is_heartbeat_due = tokio::select! {
            biased;
            _ = changed.changed() => false,
            _ = heartbeats.tick() => true,
            _ = wait_until(next_due) => false,
            _ = follower.stream.read(&mut byte) => return,
        };
    }
}

/// Waits until a time; forever without one.
async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}

/// A connection of a follower, and the last event that was told on it.
struct Follower {
    stream: TcpStream,
    state: Arc<Mutex<State>>,
    last: u64,
    is_first: bool,
    /// Frames that arrive late, in order.
    outbox: VecDeque<LateFrame>,
}

/// A frame that the bus has written and that has not arrived yet.
struct LateFrame {
    due: Instant,
    bytes: Vec<u8>,
}

impl Follower {
    fn mood(&self) -> SubscriptionFault {
        self.state.lock().unwrap().mood
    }

    /// Writes the events that are missing, unless an outage keeps them back.
    async fn tell_missed(&mut self) -> std::io::Result<()> {
        let mood = self.mood();
        if mood.is_outage() {
            return Ok(());
        }
        let (due, is_slow) = {
            let state = self.state.lock().unwrap();
            let is_slow = self.is_first && state.resumption == Resumption::SlowEvents;
            (state.due(self.last, self.is_first), is_slow)
        };
        self.is_first = false;
        if mood == SubscriptionFault::Cut && !due.is_empty() {
            self.state.lock().unwrap().mood = SubscriptionFault::Well;
        }
        for (index, (number, kind, payload)) in due.into_iter().enumerate() {
            if index > 0 && is_slow {
                tokio::time::sleep(SLOW_EVENT_PAUSE).await;
                if self.mood().is_outage() {
                    return Ok(());
                }
            }
            self.write_event(&frame(number, kind, &payload), mood).await?;
            self.last = number;
        }
        Ok(())
    }

    async fn write_event(&mut self, bytes: &[u8], mood: SubscriptionFault) -> std::io::Result<()> {
        if mood == SubscriptionFault::Cut {
            self.stream.write_all(&bytes[..bytes.len() / 2]).await?;
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let times = if mood == SubscriptionFault::Twice { 2 } else { 1 };
        for _ in 0..times {
            self.write(bytes).await?;
        }
        Ok(())
    }

    /// Writes a frame, late if the bus is late or earlier frames are.
    async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let lateness = {
            let state = self.state.lock().unwrap();
            state.lateness.after(state.late_since.elapsed())
        };
        if lateness.is_zero() && self.outbox.is_empty() {
            return self.stream.write_all(bytes).await;
        }
        self.outbox.push_back(LateFrame { due: Instant::now() + lateness, bytes: bytes.to_vec() });
        Ok(())
    }

    /// Writes the late frames that are due.
    async fn write_due(&mut self) -> std::io::Result<()> {
        while self.next_due().is_some_and(|due| due <= Instant::now()) {
            let Some(frame) = self.outbox.pop_front() else { break };
            self.stream.write_all(&frame.bytes).await?;
        }
        Ok(())
    }

    fn next_due(&self) -> Option<Instant> {
        self.outbox.front().map(|frame| frame.due)
    }

    /// Writes an empty frame, if there is nothing more to tell.
    async fn write_heartbeat(&mut self) -> std::io::Result<()> {
        let is_up_to_date = self.state.lock().unwrap().due(self.last, false).is_empty();
        if self.mood().is_outage() || !is_up_to_date {
            return Ok(());
        }
        self.write(&frame(self.last, 0, &[])).await
    }
}
