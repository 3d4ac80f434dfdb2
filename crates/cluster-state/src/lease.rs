//! The front end's side of a session: the view and permits it received, and when they expire by its own clock.

use crate::{ClusterView, Grant, LeaseTerms, Micros, Version};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Maximum number of reports that await a grant. Beyond it, the oldest report is dropped.
const MAX_OPEN_REPORTS: usize = 64;

/// Snapshot of the cluster status that a front end's driver reads without blocking.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClusterStatus {
    /// The newest view received.
    pub view: Arc<ClusterView>,
    /// When the lease of the view expires; [`Micros::MIN`] before the first grant.
    pub fresh_until: Micros,
    /// Permits in addition to the guaranteed minimums, by pool and tenant.
    pub permits: Arc<BTreeMap<(String, String), u32>>,
    /// When `permits` expire, by this process's clock; [`Micros::MIN`] before the first grant.
    pub permits_until: Micros,
    /// The number of the grant that contained the permits; 0 before the first grant.
    pub permits_grant: u64,
}

impl ClusterStatus {
    /// Returns whether the view's lease has expired, so that a function may be retired without this front end's knowledge.
    pub fn is_stale(&self, now: Micros) -> bool {
        now >= self.fresh_until
    }
}

/// A report awaiting its grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentReport {
    number: u64,
    sent_at: Micros,
}

/// Tracks the leases of a front end. Each lease is counted from the time at which its report was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    terms: LeaseTerms,
    sent: VecDeque<SentReport>,
    next: u64,
    status: ClusterStatus,
}

impl LeaseHolder {
    /// Creates a holder without a lease.
    pub fn new(terms: LeaseTerms) -> LeaseHolder {
        let initial_status = ClusterStatus {
            fresh_until: Micros::MIN,
            permits_until: Micros::MIN,
            ..ClusterStatus::default()
        };
        LeaseHolder { terms, sent: VecDeque::new(), next: 1, status: initial_status }
    }

    /// Handles a lost connection: discards the reports sent on it, as they will not be answered. An existing lease stays
    /// valid until it expires.
    pub fn on_connection_lost(&mut self) {
        self.sent.clear();
    }

    /// Registers a report that is about to be sent and returns its number.
    pub fn begin_report(&mut self, now: Micros) -> u64 {
        if self.sent.len() >= MAX_OPEN_REPORTS {
            self.sent.pop_front();
        }
        let number = self.next;
        self.next += 1;
        self.sent.push_back(SentReport { number, sent_at: now });
        number
    }

    /// Stores a received view if it is newer than the present one, and returns whether it is. Any other view is ignored.
    pub fn on_view(&mut self, view: ClusterView) -> bool {
        let is_newer = view.version > self.status.view.version;
        if is_newer {
            self.status.view = Arc::new(view);
        }
        is_newer
    }

    /// Applies a grant if it answers a report that awaits one, and returns whether it does. Any other grant is ignored.
    pub fn on_grant(&mut self, grant: Grant) -> bool {
        let Some(index) = self.sent.iter().position(|report| report.number == grant.number) else {
            return false;
        };
        let sent_at = self.sent[index].sent_at;
        self.sent.drain(..=index);
        let lease = self.terms.lease.min(grant.lease);
        let until = sent_at + LeaseTerms { lease, ..self.terms }.holder_span();
        if grant.version == self.status.view.version {
            self.status.fresh_until = self.status.fresh_until.max(until);
        }
        if until >= self.status.permits_until {
            let permits = grant.permits.into_iter().map(|grant| ((grant.pool, grant.tenant), grant.permits));
            self.status.permits = Arc::new(permits.collect());
            self.status.permits_until = until;
            self.status.permits_grant = grant.number;
        }
        true
    }

    /// Returns the version of the newest view received.
    pub fn version(&self) -> Version {
        self.status.view.version
    }

    /// Returns the current view and permits with their expiry times.
    pub fn status(&self) -> &ClusterStatus {
        &self.status
    }
}
