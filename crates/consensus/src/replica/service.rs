//! The session service: owns the sessions and the state that only a leader has. It receives all input as messages.
//! While it does not lead, it only names the leader.

use super::participation::Participation;
use super::service_state::SessionService;
use crate::statistics::Statistics;
use crate::types::{Applied, Metrics, Raft};
use crate::Now;
use bytes::Bytes;
use stagehoist_cluster_state::{AllocationLimits, LeaseTerms, Micros, SessionRequest};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Maximum number of messages queued for the session service; when the queue is full, connections wait.
pub const MAX_QUEUED_MESSAGES: usize = 1024;
/// Interval at which statistics are published, and minimum delay of a timer.
const TICK: Duration = Duration::from_millis(100);
const MIN_PAUSE: Micros = 1000;

pub type ServiceSender = mpsc::Sender<ServiceMessage>;

/// What connections of front ends bring to the session service.
pub enum ServiceMessage {
    Connected { connection: u64, hello: SessionRequest, responses: mpsc::Sender<Bytes> },
    Received { connection: u64, request: SessionRequest },
    Disconnected { connection: u64 },
}

/// What the session service needs from its replica.
pub struct ServiceContext {
    pub number: u64,
    pub raft: Raft,
    pub participation: Participation,
    pub applied: watch::Receiver<Applied>,
    pub now: Now,
    pub terms: LeaseTerms,
    pub allocation: Option<AllocationLimits>,
    pub statistics: watch::Sender<Statistics>,
}

/// Runs the session service until all message senders are dropped.
pub async fn run_service(context: ServiceContext, mut messages: mpsc::Receiver<ServiceMessage>) {
    let mut applied = context.applied.clone();
    let mut metrics = context.raft.metrics();
    let mut metrics_changes = metrics.clone();
    let mut acks = Acks::default();
    let mut service = SessionService::new(context);
    let mut batch = Vec::new();
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let mut ticked = false;
        let pause = service.next_due().map(|at| at.saturating_sub(service.now).max(MIN_PAUSE).unsigned_abs());
        tokio::select! {
            received = messages.recv_many(&mut batch, MAX_QUEUED_MESSAGES) => if received == 0 { return },
            done = service.proposal_outcome() => service.on_proposal_outcome(done),
            changed = applied.changed() => if changed.is_err() { return },
            // Changes with each acknowledgement by a majority. Waking up on each change bounds the error of its time.
            changed = metrics_changes.changed() => if changed.is_err() { return },
            () = sleep_micros(pause) => {}
            _ = tick.tick() => ticked = true,
        }
        metrics_changes.mark_unchanged();
        service.now = (service.context.now)();
        acks.update(&mut metrics, service.now);
        service.acknowledged_at = acks.acknowledged_at;
        service.state = applied.borrow_and_update().clone();
        service.on_metrics(&metrics.borrow());
        for message in batch.drain(..) {
            match message {
                ServiceMessage::Connected { connection, hello, responses } => {
                    service.on_connected(connection, hello, responses)
                }
                ServiceMessage::Received { connection, request } => service.on_request(connection, request),
                ServiceMessage::Disconnected { connection } => service.close(connection, "gone"),
            }
        }
        service.finish_batch(ticked);
    }
}

/// Sleeps for a number of microseconds; `None`: forever.
async fn sleep_micros(pause: Option<u64>) {
    match pause {
        Some(pause) => tokio::time::sleep(Duration::from_micros(pause)).await,
        None => std::future::pending().await,
    }
}

/// Time of the last known acknowledgement by a majority, by this process's clock; never later than the true time.
struct Acks {
    acknowledged_at: Micros,
    checked_at: Micros,
}

impl Default for Acks {
    fn default() -> Acks {
        Acks { acknowledged_at: Micros::MIN / 2, checked_at: Micros::MIN / 2 }
    }
}

impl Acks {
    /// Raft reports how old the acknowledgement is at the time of the report, in whole milliseconds. A new report was
    /// made after the last check. The time of that check minus the age, rounded up, is therefore not later than the
    /// true time of the acknowledgement.
    fn update(&mut self, metrics: &mut watch::Receiver<Metrics>, now: Micros) {
        if metrics.has_changed().unwrap_or(false) {
            let age = metrics.borrow_and_update().millis_since_quorum_ack;
            if let Some(age) = age {
                let age = Micros::try_from(age).unwrap_or(Micros::MAX).saturating_add(1).saturating_mul(1000);
                let at = self.checked_at.saturating_sub(age);
                self.acknowledged_at = self.acknowledged_at.max(at);
            }
        }
        self.checked_at = now;
    }
}
