//! What may be taken, sent and answered by what is known of retired functions. Pure: the standing and the time go in.

use super::names::{inner_name, outer_name};
use stagehoist::Micros;
use stagehoist_cluster_state::{ClusterStatus, ClusterView, Tombstone};
use stagehoist_config::Config;
use std::rc::Rc;

/// A front end looks at the clock four times a second, and a turn is short: after a longer gap it did not run.
const STALL_THRESHOLD: Micros = 350_000;

/// What a caller is notified of a retired function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retired {
    /// The highest generation that is retired.
    pub generation: u32,
    /// When it was asked for, in milliseconds since 1970.
    pub at_ms: i64,
    /// For information: nothing is passed on to it.
    pub successor: Option<String>,
    pub reason: String,
}

impl From<&Tombstone> for Retired {
    fn from(tombstone: &Tombstone) -> Retired {
        let told = &tombstone.retirement;
        Retired {
            generation: told.generation,
            at_ms: told.requested_ms,
            successor: told.successor.clone(),
            reason: told.reason.clone(),
        }
    }
}

/// Why something may not go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClosedReason {
    Retired(Box<Retired>),
    /// It can't be known here whether the function is retired by now, and it is strict or this front end did not run.
    ViewNotCurrent,
    /// A generation that is neither retired nor the configured one.
    UnknownGeneration,
}

/// One front end's knowledge of what is retired.
#[derive(Clone, Debug)]
pub struct RetirementGate {
    config: Rc<Config>,
    status: ClusterStatus,
    /// When the front end last looked at the clock; none before it first did.
    last_active: Option<Micros>,
    /// It did not run while its view ran out: until then it goes on only with fresh word.
    must_confirm_until: Micros,
}

impl RetirementGate {
    /// Before any word of the replicas.
    pub fn new(config: Rc<Config>) -> RetirementGate {
        let status = ClusterStatus {
            fresh_until: Micros::MIN,
            permits_until: Micros::MIN,
            ..ClusterStatus::default()
        };
        RetirementGate { config, status, last_active: None, must_confirm_until: Micros::MIN }
    }

    /// The front end runs at this moment. One that did not for long, and whose view ran out meanwhile, was stopped: it asks
    /// before it goes on, as at its start. One that is cut off has run all the time.
    pub fn record_activity(&mut self, now: Micros) {
        if self.was_stalled(now) {
            let most = self.config.fleet.as_ref().map_or(0, |f| f.asking_most);
            self.must_confirm_until = now.saturating_add(most);
            tracing::warn!(
                most_ms = most / 1000,
                "did not run while its view ran out; asks before it goes on"
            );
        }
        self.last_active = Some(now);
    }

    fn was_stalled(&self, now: Micros) -> bool {
        !self.is_fresh(now) && self.last_active.is_some_and(|awake| now - awake > STALL_THRESHOLD)
    }

    /// Whether this front end was stopped and has no word since, whatever a function's mode is.
    pub fn must_confirm(&self, now: Micros) -> bool {
        !self.is_fresh(now) && (now < self.must_confirm_until || self.was_stalled(now))
    }

    /// The replicas' newest word; whether its view is another. A view older than the one that is known counts for nothing.
    pub fn update(&mut self, status: ClusterStatus) -> bool {
        let (old, new) = (self.status.view.version, status.view.version);
        if new < old {
            return false;
        }
        self.status = status;
        new > old
    }

    /// The newest view that came.
    pub fn view(&self) -> &ClusterView {
        &self.status.view
    }

    /// Whether the view is known to be the newest in force.
    pub fn is_fresh(&self, now: Micros) -> bool {
        !self.status.is_stale(now)
    }

    /// The inner name under which a call is taken; `asked` is the generation that it names.
    pub fn admit(&self, name: &Rc<str>, asked: Option<u32>, now: Micros) -> Result<Rc<str>, ClosedReason> {
        let function = self.config.function(name);
        let configured = function.map_or(1, |f| f.generation);
        let generation = asked.unwrap_or(configured);
        if let Some(tombstone) = self.view().retired(name, generation) {
            return Err(ClosedReason::Retired(Box::new(tombstone.into())));
        }
        if generation != configured {
            return Err(ClosedReason::UnknownGeneration);
        }
        if function.is_some_and(|f| f.strict) && !self.is_fresh(now) || self.must_confirm(now) {
            return Err(ClosedReason::ViewNotCurrent);
        }
        Ok(inner_name(name, generation))
    }

    /// Under which tombstone an inner name falls.
    pub fn retired(&self, inner: &str) -> Option<ClosedReason> {
        if self.view().tombstones.is_empty() {
            return None;
        }
        let (name, generation) = outer_name(inner);
        let tombstone = self.view().retired(name, generation)?;
        Some(ClosedReason::Retired(Box::new(tombstone.into())))
    }

    /// Whether it can't be known at this moment if a function is retired, though it must be.
    pub fn in_doubt(&self, inner: &str, now: Micros) -> bool {
        !self.is_fresh(now) && self.config.is_strict(outer_name(inner).0)
    }

    /// Why nothing may go to a worker for an inner name at this moment.
    pub fn closed(&self, inner: &str, now: Micros) -> Option<ClosedReason> {
        let unknown =
            || (self.in_doubt(inner, now) || self.must_confirm(now)).then_some(ClosedReason::ViewNotCurrent);
        self.retired(inner).or_else(unknown)
    }
}
