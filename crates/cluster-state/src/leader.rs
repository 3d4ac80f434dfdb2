//! What the leader knows beside the cluster state: who confirmed what, which promises stand. It is forgotten
//! with the leadership; a new leader counts every promise that it does not know of as standing for
//! [`LeaseTerms::takeover_wait`].

mod commands;

use crate::{
    AllocationLimits, ClusterState, Grant, LeaseTerms, Member, Micros, PermitAllocator, Report, Version,
};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Session {
    confirmed: Version,
    /// Until when a promise given to it may be relied on.
    promised_until: Micros,
}

/// A command for a tombstone that was handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    at: Micros,
    /// Members that it excepted.
    excepted: usize,
}

/// How far a tombstone has come with this leader; by the change that proposed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RetirementProgress {
    observed_at: Micros,
    /// Since when it is in force at every member.
    confirmed_since: Option<Micros>,
    /// When the last command for it was handed out, and how many members that excepted.
    proposed: Option<Proposal>,
}

/// The state of a leadership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    terms: LeaseTerms,
    began: Micros,
    sessions: BTreeMap<Member, Session>,
    progress: BTreeMap<Version, RetirementProgress>,
    /// When runs in whose place another joined were last let leave.
    last_leave_check: Option<Micros>,
    /// The change up to which the cluster state was judged, and when time alone may bring something.
    evaluated: Option<Version>,
    wake: Option<Micros>,
    /// A tombstone waits for the end of promises.
    is_waiting: bool,
    allocator: Option<PermitAllocator>,
}

impl Leader {
    /// A leadership begins. To be called once this replica's record has come as far as the first entry of its
    /// own term: before, a promise could vouch for a view that was overtaken under an earlier leader.
    pub fn new(terms: LeaseTerms, now: Micros) -> Leader {
        Leader {
            terms,
            began: now,
            sessions: BTreeMap::new(),
            progress: BTreeMap::new(),
            last_leave_check: None,
            evaluated: None,
            wake: None,
            is_waiting: false,
            allocator: None,
        }
    }

    /// Allocates permits of the cluster state's pools too; without it none are allocated.
    pub fn with_allocation(mut self, limits: AllocationLimits) -> Leader {
        self.allocator = Some(PermitAllocator::new(self.terms, limits, self.began));
        self
    }

    /// Who allocates the permits.
    pub fn allocator(&self) -> Option<&PermitAllocator> {
        self.allocator.as_ref()
    }

    /// A member reported. `acked` is when a majority is known to have followed this leader, by this replica's
    /// clock: the time at which the oldest of the newest answers of a majority was asked for. No promise
    /// where that is too long ago, or where the member is not a present one.
    pub fn report(
        &mut self,
        state: &ClusterState,
        member: &Member,
        report: &Report,
        now: Micros,
        acked: Micros,
    ) -> Option<Grant> {
        if !state.is_present(member) || now.saturating_sub(acked) > self.terms.quorum {
            return None;
        }
        let given = self.terms.grantor_span();
        let session = self.sessions.entry(member.clone()).or_default();
        // Nobody can have seen more than there is.
        let confirmed = report.confirmed.min(state.view.version);
        if confirmed > session.confirmed {
            session.confirmed = confirmed;
            self.evaluated = None;
        }
        session.promised_until = session.promised_until.max(now + given);
        Some(Grant {
            number: report.number,
            version: state.view.version,
            lease: self.terms.lease,
            permits: self.allocator.as_mut().map_or_else(Vec::new, |d| d.report(state, member, report, now)),
        })
    }
}
