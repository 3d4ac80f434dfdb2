//! The leader's unreplicated state: which view each member confirmed, and which leases are valid. It is lost when the
//! leadership ends. A new leader therefore assumes for [`LeaseTerms::takeover_wait`] that leases of earlier leaders are
//! still valid.

mod commands;

use crate::{
    AllocationLimits, ClusterState, Grant, LeaseTerms, Member, Micros, PermitAllocator, Report, Version,
};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Session {
    confirmed: Version,
    /// When the last lease granted to the member expires.
    promised_until: Micros,
}

/// The last command for a tombstone that was returned for proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    at: Micros,
    /// Number of members that it excepted.
    excepted: usize,
}

/// Progress of a tombstone under this leader; keyed by the change that proposed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RetirementProgress {
    observed_at: Micros,
    /// Since when the retirement is in force at every member.
    confirmed_since: Option<Micros>,
    /// The last command returned for the tombstone.
    proposed: Option<Proposal>,
}

/// Unreplicated state of a leader, from its election until it is replaced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    terms: LeaseTerms,
    elected_at: Micros,
    sessions: BTreeMap<Member, Session>,
    progress: BTreeMap<Version, RetirementProgress>,
    /// When [`crate::Command::Leave`] was last returned for replaced runs.
    last_leave_commands: Option<Micros>,
    /// The version of the cluster state that was last evaluated.
    evaluated: Option<Version>,
    /// When commands may become due without a report or a change of the cluster state.
    wake: Option<Micros>,
    /// Whether a tombstone waits for leases to expire.
    is_waiting: bool,
    allocator: Option<PermitAllocator>,
}

impl Leader {
    /// Creates the state of a newly elected leader. Call it only after this replica has applied the first entry of its
    /// own term: before that, a grant could confirm a view that was already superseded under an earlier leader.
    pub fn new(terms: LeaseTerms, now: Micros) -> Leader {
        Leader {
            terms,
            elected_at: now,
            sessions: BTreeMap::new(),
            progress: BTreeMap::new(),
            last_leave_commands: None,
            evaluated: None,
            wake: None,
            is_waiting: false,
            allocator: None,
        }
    }

    /// Enables the allocation of permits from the cluster state's pools. Without it, none are allocated.
    pub fn with_allocation(mut self, limits: AllocationLimits) -> Leader {
        self.allocator = Some(PermitAllocator::new(self.terms, limits, self.elected_at));
        self
    }

    /// Returns the permit allocator, if allocation is enabled.
    pub fn allocator(&self) -> Option<&PermitAllocator> {
        self.allocator.as_ref()
    }

    /// Handles a member's report and returns the grant. `acked` is the latest time, by this replica's clock, at which a
    /// majority is known to have followed this leader. It is the earliest of the times at which the latest acknowledged
    /// requests to the replicas of that majority were sent. Returns `None` if `acked` is more than [`LeaseTerms::quorum`] ago, or if the member is not present.
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
        let span = self.terms.grantor_span();
        let session = self.sessions.entry(member.clone()).or_default();
        // No member can have received a later view than the current one.
        let confirmed = report.confirmed.min(state.view.version);
        if confirmed > session.confirmed {
            session.confirmed = confirmed;
            self.evaluated = None;
        }
        session.promised_until = session.promised_until.max(now + span);
        Some(Grant {
            number: report.number,
            version: state.view.version,
            lease: self.terms.lease,
            permits: self.allocator.as_mut().map_or_else(Vec::new, |a| a.report(state, member, report, now)),
        })
    }
}
