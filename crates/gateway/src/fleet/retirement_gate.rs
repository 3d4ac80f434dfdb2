//! Decides which calls may be accepted, sent and answered, according to the retired functions that are known. A pure
//! state machine: the cluster status and the time are passed in.

use super::names::{internal_name, parse_internal_name};
use stagehoist::Micros;
use stagehoist_cluster_state::{ClusterStatus, ClusterView, Tombstone};
use stagehoist_config::Config;
use std::rc::Rc;

/// A front end reads the clock four times a second and a turn is short, so a longer gap means that the process was
/// stopped.
const STALL_THRESHOLD: Micros = 350_000;

/// What a caller is notified of a retired function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retired {
    /// The highest retired generation.
    pub generation: u32,
    /// When the retirement was requested, in milliseconds since 1970.
    pub at_ms: i64,
    /// For information only: no call is forwarded to it.
    pub successor: Option<String>,
    pub reason: String,
}

impl From<&Tombstone> for Retired {
    fn from(tombstone: &Tombstone) -> Retired {
        let retirement = &tombstone.retirement;
        Retired {
            generation: retirement.generation,
            at_ms: retirement.requested_ms,
            successor: retirement.successor.clone(),
            reason: retirement.reason.clone(),
        }
    }
}

/// Why a call or an answer must not proceed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClosedReason {
    Retired(Box<Retired>),
    /// It is unknown whether the function is retired by now. The call or answer must not proceed, because the
    /// function is strict or this front end was stopped.
    ViewNotCurrent,
    /// The generation is neither retired nor the configured one.
    UnknownGeneration,
}

/// A front end's knowledge of retired functions.
#[derive(Clone, Debug)]
pub struct RetirementGate {
    config: Rc<Config>,
    status: ClusterStatus,
    /// When the front end last read the clock; `None` before the first reading.
    last_active: Option<Micros>,
    /// The process was stopped while its view expired: until this time it proceeds only with a fresh cluster status.
    must_confirm_until: Micros,
}

impl RetirementGate {
    /// Creates a gate before the first cluster status.
    pub fn new(config: Rc<Config>) -> RetirementGate {
        let status = ClusterStatus {
            fresh_until: Micros::MIN,
            permits_until: Micros::MIN,
            ..ClusterStatus::default()
        };
        RetirementGate { config, status, last_active: None, must_confirm_until: Micros::MIN }
    }

    /// Records that the front end is running now. If it did not run for long and its view expired meanwhile, it was
    /// stopped: it waits for a fresh status before it proceeds, as at its start. A front end that is only cut off
    /// from the replicas has been running all the time.
    pub fn record_activity(&mut self, now: Micros) {
        if self.was_stalled(now) {
            let max_startup_wait = self.config.fleet.as_ref().map_or(0, |f| f.max_startup_wait);
            self.must_confirm_until = now.saturating_add(max_startup_wait);
            tracing::warn!(
                most_ms = max_startup_wait / 1000,
                "process was stopped while its view expired; waiting for a fresh cluster status"
            );
        }
        self.last_active = Some(now);
    }

    fn was_stalled(&self, now: Micros) -> bool {
        !self.is_fresh(now) && self.last_active.is_some_and(|last| now - last > STALL_THRESHOLD)
    }

    /// Returns whether this front end was stopped and has received no status since, whatever the function's mode.
    pub fn must_confirm(&self, now: Micros) -> bool {
        !self.is_fresh(now) && (now < self.must_confirm_until || self.was_stalled(now))
    }

    /// Applies a cluster status; returns whether its view is a newer one. A status with an older view than the known
    /// one is ignored.
    pub fn update(&mut self, status: ClusterStatus) -> bool {
        let (old, new) = (self.status.view.version, status.view.version);
        if new < old {
            return false;
        }
        self.status = status;
        new > old
    }

    /// Returns the newest view received.
    pub fn view(&self) -> &ClusterView {
        &self.status.view
    }

    /// Returns whether the view is known to be the newest in force.
    pub fn is_fresh(&self, now: Micros) -> bool {
        !self.status.is_stale(now)
    }

    /// Returns the internal name under which a call is accepted; `requested` is the generation that the call names.
    pub fn admit(
        &self,
        name: &Rc<str>,
        requested: Option<u32>,
        now: Micros,
    ) -> Result<Rc<str>, ClosedReason> {
        let function = self.config.function(name);
        let configured = function.map_or(1, |f| f.generation);
        let generation = requested.unwrap_or(configured);
        if let Some(tombstone) = self.view().retired(name, generation) {
            return Err(ClosedReason::Retired(Box::new(tombstone.into())));
        }
        if generation != configured {
            return Err(ClosedReason::UnknownGeneration);
        }
        if function.is_some_and(|f| f.strict) && !self.is_fresh(now) || self.must_confirm(now) {
            return Err(ClosedReason::ViewNotCurrent);
        }
        Ok(internal_name(name, generation))
    }

    /// Returns the tombstone that applies to an internal name.
    pub fn retired(&self, inner: &str) -> Option<ClosedReason> {
        if self.view().tombstones.is_empty() {
            return None;
        }
        let (name, generation) = parse_internal_name(inner);
        let tombstone = self.view().retired(name, generation)?;
        Some(ClosedReason::Retired(Box::new(tombstone.into())))
    }

    /// Returns whether a strict function may be retired by now without this front end knowing.
    pub fn in_doubt(&self, inner: &str, now: Micros) -> bool {
        !self.is_fresh(now) && self.config.is_strict(parse_internal_name(inner).0)
    }

    /// Returns the reason why nothing may be sent to a worker for this internal name at present, or `None` if sending is
    /// allowed.
    pub fn closed(&self, inner: &str, now: Micros) -> Option<ClosedReason> {
        let unknown =
            || (self.in_doubt(inner, now) || self.must_confirm(now)).then_some(ClosedReason::ViewNotCurrent);
        self.retired(inner).or_else(unknown)
    }
}
