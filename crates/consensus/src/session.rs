//! A front end's session: finds the leader, sends reports and publishes the cluster status to the front end.

mod exchange;
mod permits;
mod retirements;

use crate::frames::{
    decode, encode_first, frames, FirstFrame, Frames, CONNECT_TIMEOUT, MAX_RESPONSE, WRITE_TIMEOUT,
};
use crate::session_file::{SessionFile, SessionMemory};
use crate::{Now, SessionReport};
use futures_util::{SinkExt, StreamExt};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use retirements::RetirementQueue;
use stagehoist_cluster_state::{
    ClusterStatus, InquiryEvent, InquiryMessage, InquiryRounds, LeaseHolder, LeaseTerms, Member, Pool,
    Retirement, SessionRequest, SessionResponse, PROTOCOL,
};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// Minimum time between two reports.
const REPORT_GAP: Duration = Duration::from_millis(5);
const WELCOME_TIMEOUT: Duration = Duration::from_secs(5);
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(300));

/// Configuration and channels of a session.
pub struct SessionClient {
    pub name: String,
    pub replicas: BTreeMap<u64, String>,
    pub terms: LeaseTerms,
    pub edition: u64,
    pub pools: Vec<Pool>,
    pub now: Now,
    pub seed: u64,
    pub file: SessionFile,
    pub status: watch::Sender<ClusterStatus>,
    pub member: watch::Sender<Option<Member>>,
    pub report: watch::Receiver<SessionReport>,
    pub retire: mpsc::Receiver<Retirement>,
    pub inquiries: mpsc::Receiver<InquiryMessage>,
    pub inquiry_events: mpsc::Sender<InquiryEvent>,
    pub stop: watch::Receiver<bool>,
}

/// Why a connection ended.
enum ConnectionEnd {
    Elsewhere(Option<u64>),
    Refused,
    Broken,
    Stopped,
}

struct SessionState {
    client: SessionClient,
    holder: LeaseHolder,
    random: ChaCha8Rng,
    retirements: RetirementQueue,
    joined: Option<Member>,
    may_retire: bool,
    may_inquire: bool,
    inquiries: InquiryRounds,
    /// Incarnation of the last run under this name before this process's first run; `None` if unknown, or if another
    /// run joined between two runs of this process.
    before: Option<u64>,
    welcomed: bool,
    /// The report that was sent last.
    reported: SessionReport,
    /// Number of the newest grant with fewer permits than the previous one, until a report confirms it as applied.
    released_grant: Option<u64>,
}

/// Runs a session until it is stopped.
pub async fn run_session(client: SessionClient) {
    let mut random = ChaCha8Rng::seed_from_u64(client.seed);
    let mut holder = LeaseHolder::new(client.terms);
    holder.on_view(client.file.memory.view.clone());
    client.status.send_replace(holder.status().clone());
    let mut numbers: Vec<u64> = client.replicas.keys().copied().collect();
    // Front ends start with different replicas, to spread their connections.
    let first = random.random_range(0..numbers.len().max(1));
    numbers.rotate_left(first);
    let mut stop = client.stop.clone();
    let mut state = SessionState {
        client,
        holder,
        random,
        retirements: RetirementQueue::new(),
        joined: None,
        may_retire: true,
        may_inquire: true,
        inquiries: InquiryRounds::default(),
        before: None,
        welcomed: false,
        reported: SessionReport::default(),
        released_grant: None,
    };
    let (mut position, mut next, mut backoff) = (0, None, BACKOFF.0);
    loop {
        if *stop.borrow() || numbers.is_empty() {
            return;
        }
        let number = next.take().unwrap_or_else(|| {
            position += 1;
            numbers[position % numbers.len()]
        });
        let end = state.run_connection(number).await;
        state.holder.on_connection_lost();
        if std::mem::take(&mut state.welcomed) {
            backoff = BACKOFF.0;
        }
        match end {
            ConnectionEnd::Stopped => return,
            // The replica named the leader. The backoff limit prevents an endless loop of redirects.
            ConnectionEnd::Elsewhere(Some(leader))
                if backoff < BACKOFF.1 && state.client.replicas.contains_key(&leader) =>
            {
                next = Some(leader);
                backoff = (backoff * 2).min(BACKOFF.1);
            }
            ConnectionEnd::Elsewhere(_) | ConnectionEnd::Broken => {
                let pause = state.random.random_range(backoff / 2..=backoff);
                backoff = (backoff * 2).min(BACKOFF.1);
                state.pause(pause, &mut stop).await;
            }
            ConnectionEnd::Refused => state.pause(BACKOFF.1 * 10, &mut stop).await,
        }
    }
}

impl SessionState {
    async fn pause(&mut self, pause: Duration, stop: &mut watch::Receiver<bool>) {
        tokio::select! {
            () = sleep(pause) => {}
            () = stopped(stop) => {}
        }
    }

    async fn run_connection(&mut self, number: u64) -> ConnectionEnd {
        let Some(address) = self.client.replicas.get(&number) else { return ConnectionEnd::Broken };
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
            return ConnectionEnd::Broken;
        };
        let mut frames = frames(stream, MAX_RESPONSE);
        let hello = SessionRequest::Hello {
            protocol: PROTOCOL,
            name: self.client.name.clone(),
            member: self.joined.clone(),
            at_least: self.client.file.memory.incarnation,
            edition: self.client.edition,
            pools: self.client.pools.clone(),
        };
        let Ok(hello) = encode_first(&FirstFrame::Member(hello)) else { return ConnectionEnd::Refused };
        if !matches!(timeout(WRITE_TIMEOUT, frames.send(hello)).await, Ok(Ok(()))) {
            return ConnectionEnd::Broken;
        }
        match timeout(WELCOME_TIMEOUT, self.welcome(&mut frames)).await {
            Ok(Ok(())) => self.exchange_messages(frames).await,
            Ok(Err(end)) => end,
            Err(_) => ConnectionEnd::Broken,
        }
    }

    async fn welcome(&mut self, frames: &mut Frames) -> Result<(), ConnectionEnd> {
        let mut stop = self.client.stop.clone();
        let frame = tokio::select! {
            frame = frames.next() => frame,
            () = stopped(&mut stop) => return Err(ConnectionEnd::Stopped),
        };
        match frame.and_then(Result::ok).and_then(|f| decode(&f)) {
            Some(SessionResponse::Welcome { member, terms, before }) => {
                self.on_welcome(member, terms, before).await
            }
            Some(SessionResponse::Elsewhere { leader }) => Err(ConnectionEnd::Elsewhere(leader)),
            Some(SessionResponse::Rejected { reason: why }) => {
                tracing::error!(target: "stagehoist_consensus", event = "session", name = %self.client.name,
                    why, "session rejected by the leader");
                Err(ConnectionEnd::Refused)
            }
            _ => Err(ConnectionEnd::Broken),
        }
    }

    async fn on_welcome(
        &mut self,
        member: Member,
        terms: LeaseTerms,
        before: Option<u64>,
    ) -> Result<(), ConnectionEnd> {
        if terms != self.client.terms {
            tracing::error!(target: "stagehoist_consensus", event = "session", name = %self.client.name, ?terms,
                own = ?self.client.terms, "lease terms differ from those of the keepers");
            return Err(ConnectionEnd::Refused);
        }
        let incarnation = member.incarnation;
        if !self.save(move |m| m.incarnation = m.incarnation.max(incarnation)).await {
            return Err(ConnectionEnd::Broken);
        }
        if self.joined.as_ref() != Some(&member) {
            self.before = match &self.joined {
                None => before,
                // Another run may have joined under this name between two runs of this process; its actions are unknown.
                Some(last) => self.before.filter(|_| before == Some(last.incarnation)),
            };
            let event = InquiryEvent::Joined { run: member.incarnation, before: self.before };
            // A front end without intents does not receive inquiry events, so a failed send is ignored.
            let _ = self.client.inquiry_events.try_send(event);
        }
        self.client.member.send_replace(Some(member.clone()));
        self.joined = Some(member);
        self.welcomed = true;
        Ok(())
    }
}

impl SessionState {
    /// Writes the memory that must survive a kill and returns whether it is on disk. Runs on a blocking thread, so
    /// that other sessions continue during the disk write.
    async fn save(&mut self, change: impl FnOnce(&mut SessionMemory) + Send + 'static) -> bool {
        let mut file = self.client.file.clone();
        let written = tokio::task::spawn_blocking(move || file.change(change).map(|()| file)).await;
        match written.map_err(std::io::Error::other).and_then(|file| file) {
            Ok(file) => {
                self.client.file = file;
                true
            }
            Err(e) => {
                tracing::error!(target: "stagehoist_consensus", event = "store", name = %self.client.name,
                    why = %e, "can't write the session file");
                false
            }
        }
    }
}

/// Waits until stopped. Drops the guard that the watch returns, as a task must not hold it across an await.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|s| *s).await;
}

/// Derives a member's seed from the process's seed and the member's name.
pub fn member_seed(seed: u64, name: &str) -> u64 {
    seed ^ crate::store::sum(name.as_bytes())
}
