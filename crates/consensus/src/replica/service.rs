//! The desk: owner of the sessions and of what only a leader knows. Everything reaches it as notes; it says
//! nothing while it
//! does not lead but who does.

use super::participation::Participation;
use super::service_state::SessionService;
use crate::statistics::Statistics;
use crate::types::{Applied, Metrics, Raft};
use crate::Now;
use bytes::Bytes;
use stagehoist_cluster_state::{AllocationLimits, LeaseTerms, Micros, SessionRequest};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Notes that wait for the desk; connections wait with what they read beyond that.
pub const NOTES_MOST: usize = 1024;
/// How often figures are told; and least time until time alone brings something.
const TICK: Duration = Duration::from_millis(100);
const PAUSE_LEAST: Micros = 1000;

pub type Notes = mpsc::Sender<ServiceMessage>;

/// What connections of front ends bring to the session service.
pub enum ServiceMessage {
    Connected { connection: u64, hello: SessionRequest, out: mpsc::Sender<Bytes> },
    Received { connection: u64, request: SessionRequest },
    Disconnected { connection: u64 },
}

/// What a desk works with.
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

/// Runs the desk until every sender of notes is gone.
pub async fn run_service(context: ServiceContext, mut notes: mpsc::Receiver<ServiceMessage>) {
    let mut applied = context.applied.clone();
    let mut metrics = context.raft.metrics();
    let mut fresh = metrics.clone();
    let mut acks = Acks::default();
    let mut service = SessionService::new(context);
    let mut batch = Vec::new();
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let mut ticked = false;
        let pause =
            service.next_due().map(|at| at.saturating_sub(service.now).max(PAUSE_LEAST).unsigned_abs());
        tokio::select! {
            got = notes.recv_many(&mut batch, NOTES_MOST) => if got == 0 { return },
            done = service.agreed() => service.on_agreed(done),
            changed = applied.changed() => if changed.is_err() { return },
            // Each answer of a majority shows here; how fine its time is known hangs on the looks between.
            changed = fresh.changed() => if changed.is_err() { return },
            () = passed(pause) => {}
            _ = tick.tick() => ticked = true,
        }
        fresh.mark_unchanged();
        service.now = (service.context.now)();
        acks.update(&mut metrics, service.now);
        service.acknowledged_at = acks.acknowledged_at;
        service.state = applied.borrow_and_update().clone();
        service.on_metrics(&metrics.borrow());
        for note in batch.drain(..) {
            match note {
                ServiceMessage::Connected { connection, hello, out } => {
                    service.on_connected(connection, hello, out)
                }
                ServiceMessage::Received { connection, request } => service.on_request(connection, request),
                ServiceMessage::Disconnected { connection } => service.close(connection, "gone"),
            }
        }
        service.finish(ticked);
    }
}

/// So many microseconds; never, where none are told.
async fn passed(pause: Option<u64>) {
    match pause {
        Some(pause) => tokio::time::sleep(Duration::from_micros(pause)).await,
        None => std::future::pending().await,
    }
}

/// When a majority is known to have answered, by this process's clock and never too late.
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
    /// Raft tells the age of the answer at the time of its report, in whole milliseconds. A report that is
    /// new was made after the
    /// last look, so counting back from that look gives a time that is not after the true one.
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
