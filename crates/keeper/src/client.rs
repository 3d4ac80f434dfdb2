//! A front end's session: finds the keeper that leads, reports, and tells the front end how things stand.

use crate::frames::{
    decode, encode, encode_first, frames, First, Frames, CONNECT_MOST, VIEW_MOST, WRITE_MOST,
};
use crate::kept::Kept;
use crate::{Now, Told};
use futures_util::{SinkExt, StreamExt};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist_registry::{
    Holder, Member, Pool, Report, Retirement, Standing, Terms, ToKeeper, ToMember, PROTOCOL,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Retirements asked for that the view does not show yet.
const RETIRES_MOST: usize = 1024;
const RETIRE_EVERY: Duration = Duration::from_millis(500);
/// Least time between two reports.
const REPORT_GAP: Duration = Duration::from_millis(5);
const WELCOME_MOST: Duration = Duration::from_secs(5);
const LEAVE_MOST: Duration = Duration::from_secs(1);
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(300));

/// What a session is made with.
pub struct Client {
    pub name: String,
    pub keepers: BTreeMap<u64, String>,
    pub terms: Terms,
    pub edition: u64,
    pub pools: Vec<Pool>,
    pub now: Now,
    pub seed: u64,
    pub kept: Kept,
    pub standing: watch::Sender<Standing>,
    pub member: watch::Sender<Option<Member>>,
    pub told: watch::Receiver<Told>,
    pub retire: mpsc::Receiver<Retirement>,
    pub stop: watch::Receiver<bool>,
}

/// Why a connection is over.
enum End {
    Elsewhere(Option<u64>),
    Refused,
    Broken,
    Stopped,
}

struct State {
    client: Client,
    holder: Holder,
    random: ChaCha8Rng,
    /// Retirements that the view does not show yet.
    open: VecDeque<Retirement>,
    joined: Option<Member>,
    may_retire: bool,
    welcomed: bool,
}

/// Runs a session until it is stopped.
pub async fn session(client: Client) {
    let mut random = ChaCha8Rng::seed_from_u64(client.seed);
    let mut holder = Holder::new(client.terms);
    holder.view(client.kept.memory.view.clone());
    client.standing.send_replace(holder.standing().clone());
    let mut numbers: Vec<u64> = client.keepers.keys().copied().collect();
    // Not all begin with the same one.
    let first = random.random_range(0..numbers.len().max(1));
    numbers.rotate_left(first);
    let mut stop = client.stop.clone();
    let mut state = State {
        client,
        holder,
        random,
        open: VecDeque::new(),
        joined: None,
        may_retire: true,
        welcomed: false,
    };
    let (mut turn, mut next, mut backoff) = (0, None, BACKOFF.0);
    loop {
        if *stop.borrow() || numbers.is_empty() {
            return;
        }
        let number = next.take().unwrap_or_else(|| {
            turn += 1;
            numbers[turn % numbers.len()]
        });
        let end = state.connect(number).await;
        state.holder.lost();
        if std::mem::take(&mut state.welcomed) {
            backoff = BACKOFF.0;
        }
        match end {
            End::Stopped => return,
            // Told where, and not sent round in a circle.
            End::Elsewhere(Some(leader))
                if backoff < BACKOFF.1 && state.client.keepers.contains_key(&leader) =>
            {
                next = Some(leader);
                backoff = (backoff * 2).min(BACKOFF.1);
            }
            End::Elsewhere(_) | End::Broken => {
                let pause = state.random.random_range(backoff / 2..=backoff);
                backoff = (backoff * 2).min(BACKOFF.1);
                state.pause(pause, &mut stop).await;
            }
            End::Refused => state.pause(BACKOFF.1 * 10, &mut stop).await,
        }
    }
}

impl State {
    async fn pause(&mut self, pause: Duration, stop: &mut watch::Receiver<bool>) {
        tokio::select! {
            () = sleep(pause) => {}
            () = stopped(stop) => {}
        }
    }

    async fn connect(&mut self, number: u64) -> End {
        let Some(address) = self.client.keepers.get(&number) else { return End::Broken };
        let Ok(Ok(stream)) = timeout(CONNECT_MOST, TcpStream::connect(address)).await else {
            return End::Broken;
        };
        let mut frames = frames(stream, VIEW_MOST);
        let hello = ToKeeper::Hello {
            protocol: PROTOCOL,
            name: self.client.name.clone(),
            member: self.joined.clone(),
            at_least: self.client.kept.memory.incarnation,
            edition: self.client.edition,
            pools: self.client.pools.clone(),
        };
        let Ok(hello) = encode_first(&First::Member(hello)) else { return End::Refused };
        if !matches!(timeout(WRITE_MOST, frames.send(hello)).await, Ok(Ok(()))) {
            return End::Broken;
        }
        match timeout(WELCOME_MOST, self.welcome(&mut frames)).await {
            Ok(Ok(())) => self.talk(frames).await,
            Ok(Err(end)) => end,
            Err(_) => End::Broken,
        }
    }

    async fn welcome(&mut self, frames: &mut Frames) -> Result<(), End> {
        let mut stop = self.client.stop.clone();
        let frame = tokio::select! {
            frame = frames.next() => frame,
            () = stopped(&mut stop) => return Err(End::Stopped),
        };
        match frame.and_then(Result::ok).and_then(|f| decode(&f)) {
            Some(ToMember::Welcome { member, terms }) => self.joined(member, terms),
            Some(ToMember::Elsewhere { leader }) => Err(End::Elsewhere(leader)),
            Some(ToMember::Refused { why }) => {
                tracing::error!(target: "stagehoist_keeper", event = "session", name = %self.client.name, why, "refused");
                Err(End::Refused)
            }
            _ => Err(End::Broken),
        }
    }

    fn joined(&mut self, member: Member, terms: Terms) -> Result<(), End> {
        if terms != self.client.terms {
            tracing::error!(target: "stagehoist_keeper", event = "session", name = %self.client.name, ?terms,
                own = ?self.client.terms, "the keepers are told other terms");
            return Err(End::Refused);
        }
        let kept = self.client.kept.change(|m| m.incarnation = m.incarnation.max(member.incarnation));
        if let Err(e) = kept {
            tracing::error!(target: "stagehoist_keeper", event = "store", name = %self.client.name, why = %e,
                "can't keep the incarnation");
            return Err(End::Broken);
        }
        self.client.member.send_replace(Some(member.clone()));
        self.joined = Some(member);
        self.welcomed = true;
        Ok(())
    }

    /// Reports and hears until the connection is over.
    async fn talk(&mut self, frames: Frames) -> End {
        let (mut sink, mut stream) = frames.split();
        let lease = Duration::from_micros(u64::try_from(self.client.terms.lease).unwrap_or(1_000_000));
        let silent_most = lease.max(Duration::from_secs(1));
        let (mut report_at, mut retire_at) = (Instant::now(), Instant::now());
        let mut reported = Instant::now();
        let mut granted_at = Instant::now();
        let mut stop = self.client.stop.clone();
        loop {
            let mut message = None;
            tokio::select! {
                () = stopped(&mut stop) => {
                    if let Ok(leave) = encode(&ToKeeper::Leave) {
                        let left = async {
                            sink.send(leave).await?;
                            // The keeper ends the connection once it is agreed on.
                            while let Some(Ok(_)) = stream.next().await {}
                            Ok::<(), std::io::Error>(())
                        };
                        let _ = timeout(LEAVE_MOST, left).await;
                    }
                    return End::Stopped;
                }
                frame = stream.next() => {
                    let Some(Ok(frame)) = frame else { return End::Broken };
                    match decode::<ToMember>(&frame) {
                        Some(ToMember::Grant(grant)) => {
                            granted_at = Instant::now();
                            self.holder.grant(grant);
                            self.publish();
                        }
                        Some(ToMember::View(view)) => {
                            if !self.show(view) {
                                return End::Broken;
                            }
                        }
                        Some(ToMember::Elsewhere { leader }) => return End::Elsewhere(leader),
                        Some(ToMember::Refused { .. }) => return End::Refused,
                        Some(ToMember::Welcome { .. }) | None => return End::Broken,
                    }
                }
                changed = self.client.told.changed() => {
                    if changed.is_err() {
                        return End::Stopped;
                    }
                    report_at = reported + REPORT_GAP;
                }
                asked = self.client.retire.recv(), if self.may_retire && self.open.len() < RETIRES_MOST => match asked {
                    Some(retirement) => {
                        if !self.is_shown(&retirement) {
                            message = Some(ToKeeper::Retire(retirement.clone()));
                            self.open.push_back(retirement);
                            retire_at = Instant::now() + RETIRE_EVERY;
                        }
                    }
                    None => self.may_retire = false,
                },
                () = sleep_until(retire_at), if !self.open.is_empty() => {
                    retire_at = Instant::now() + RETIRE_EVERY;
                    // One after the other: the queue turns.
                    if let Some(retirement) = self.open.pop_front() {
                        self.open.push_back(retirement.clone());
                        message = Some(ToKeeper::Retire(retirement));
                    }
                }
                () = sleep_until(report_at) => {
                    // A leader that gives no promise may be cut off from the others; another may lead by now.
                    if granted_at.elapsed() > silent_most {
                        return End::Broken;
                    }
                    reported = Instant::now();
                    report_at = reported + lease / 5 * self.random.random_range(80..=100) / 100;
                    message = Some(ToKeeper::Report(self.report()));
                }
            }
            if let Some(message) = message {
                let Ok(frame) = encode(&message) else { return End::Broken };
                if !matches!(timeout(WRITE_MOST, sink.send(frame)).await, Ok(Ok(()))) {
                    return End::Broken;
                }
            }
        }
    }

    fn report(&mut self) -> Report {
        let told = self.client.told.borrow_and_update().clone();
        let number = self.holder.ask((self.client.now)());
        Report { number, confirmed: told.confirmed, ready_lanes: told.ready_lanes, demand: told.demand }
    }

    /// A view came: kept on disk first, then shown.
    fn show(&mut self, view: stagehoist_registry::View) -> bool {
        if view.version > self.holder.version() {
            if let Err(e) = self.client.kept.change(|m| m.view = view.clone()) {
                tracing::error!(target: "stagehoist_keeper", event = "store", name = %self.client.name, why = %e,
                    "can't keep the view");
                return false;
            }
            self.holder.view(view);
            self.publish();
        }
        let view = self.holder.standing().view.clone();
        self.open.retain(|r| view.retired(&r.function, r.generation).is_none());
        true
    }

    fn is_shown(&self, retirement: &Retirement) -> bool {
        self.holder.standing().view.retired(&retirement.function, retirement.generation).is_some()
    }

    fn publish(&mut self) {
        let newest = self.holder.standing();
        self.client.standing.send_if_modified(|standing| {
            let differs = standing != newest;
            if differs {
                standing.clone_from(newest);
            }
            differs
        });
    }
}

/// Without the guard that a watch hands out, which no task may hold while it waits.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|s| *s).await;
}

/// A member's seed: the process's, told apart by name.
pub fn seed(seed: u64, name: &str) -> u64 {
    seed ^ crate::store::sum(name.as_bytes())
}
