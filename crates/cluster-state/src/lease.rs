//! A front end's side of its session: what it was given, and until when it may rely on it by its own clock.

use crate::{ClusterView, Grant, LeaseTerms, Micros, Version};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Reports whose answers are still waited for.
const MAX_OPEN_REPORTS: usize = 64;

/// What the driver of a front end reads; it never waits for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClusterStatus {
    /// The newest view that came.
    pub view: Arc<ClusterView>,
    /// Until then the view is known to be the newest in force; [`Micros::MIN`] before the first word.
    pub fresh_until: Micros,
    /// Permits beside the guaranteed minimums, by pool and tenant, and until when.
    pub permits: Arc<BTreeMap<(String, String), u32>>,
    /// When those permits end, by this process's clock; [`Micros::MIN`] where none came.
    pub permits_until: Micros,
    /// Number of the grant that they came with; 0: none came.
    pub permits_grant: u64,
}

impl ClusterStatus {
    /// Whether a function may still be retired without this front end's knowledge.
    pub fn is_stale(&self, now: Micros) -> bool {
        now >= self.fresh_until
    }
}

/// A report whose answer is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentReport {
    number: u64,
    sent_at: Micros,
}

/// Counts leases from when they were requested.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    terms: LeaseTerms,
    sent: VecDeque<SentReport>,
    next: u64,
    status: ClusterStatus,
}

impl LeaseHolder {
    /// A holder that has no lease yet.
    pub fn new(terms: LeaseTerms) -> LeaseHolder {
        let standing = ClusterStatus {
            fresh_until: Micros::MIN,
            permits_until: Micros::MIN,
            ..ClusterStatus::default()
        };
        LeaseHolder { terms, sent: VecDeque::new(), next: 1, status: standing }
    }

    /// A connection was lost: answers to what was sent on it will not come. A lease lasts until it
    /// expires.
    pub fn on_connection_lost(&mut self) {
        self.sent.clear();
    }

    /// A report is being sent; its number.
    pub fn begin_report(&mut self, now: Micros) -> u64 {
        if self.sent.len() >= MAX_OPEN_REPORTS {
            self.sent.pop_front();
        }
        let number = self.next;
        self.next += 1;
        self.sent.push_back(SentReport { number, sent_at: now });
        number
    }

    /// A view came; an older one than is known changes nothing.
    pub fn on_view(&mut self, view: ClusterView) -> bool {
        let newer = view.version > self.status.view.version;
        if newer {
            self.status.view = Arc::new(view);
        }
        newer
    }

    /// An answer came to a report.
    pub fn on_grant(&mut self, grant: Grant) -> bool {
        let Some(place) = self.sent.iter().position(|report| report.number == grant.number) else {
            return false;
        };
        let sent_at = self.sent[place].sent_at;
        self.sent.drain(..=place);
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

    /// Version of the newest view that came.
    pub fn version(&self) -> Version {
        self.status.view.version
    }

    /// What the front end may rely on.
    pub fn status(&self) -> &ClusterStatus {
        &self.status
    }
}
