//! Messages between a front end and the leader, one per frame.

use crate::{
    ClusterView, LeaseTerms, Member, MessageKey, MessageKnowledge, Micros, Pool, Retirement, Version,
};
use serde::{Deserialize, Serialize};

/// Protocol version of the messages below. A process with another version is rejected.
pub const PROTOCOL: u16 = 2;

/// Requests from a front end to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SessionRequest {
    /// First message on a connection.
    Hello {
        /// [`PROTOCOL`] of the sender.
        protocol: u16,
        /// The front end's name.
        name: String,
        /// This run, if it has joined before.
        member: Option<Member>,
        /// The last incarnation that the front end remembers.
        at_least: u64,
        /// Edition of its pool configuration.
        edition: u64,
        /// Its pool configuration.
        pools: Vec<Pool>,
    },
    /// Heartbeat with demand.
    Report(Report),
    /// Requests the retirement of a function.
    Retire(Retirement),
    /// Announces a graceful shutdown: this run serves nothing any more.
    Leave,
    /// Asks what other front ends know about messages.
    Inquire {
        /// Number of the inquiry, assigned by the run that asks.
        number: u64,
        /// Number of the round; increases each time the inquiry is sent.
        round: u32,
        /// Names of the front ends that have not answered yet; empty: all.
        to: Vec<String>,
        /// The messages.
        keys: Vec<MessageKey>,
    },
    /// Answers another front end's inquiry.
    Answer {
        /// The run that asked.
        to: Member,
        /// Number of the inquiry, assigned by the run that asks.
        number: u64,
        /// One entry for each message, in order.
        known: Vec<MessageKnowledge>,
    },
}

/// Heartbeat of a front end, sent several times per lease and immediately after a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Increases with each report on a connection; the grant repeats it.
    pub number: u64,
    /// The version of the view that this front end has applied: it serves no call to a function retired by that view,
    /// and has no such call in progress.
    pub confirmed: Version,
    /// Capacity of the ready workers that this front end knows, for pools sized by workers.
    pub ready_capacity: u32,
    /// Permits in use and requested, by pool and tenant.
    pub demand: Vec<Demand>,
}

/// Demand for permits in a pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// The pool's name.
    pub pool: String,
    /// The tenant; empty: all tenants without a reservation in the pool.
    pub tenant: String,
    /// Permits in use now, regardless of the lease under which they were acquired.
    pub in_use: u32,
    /// Calls waiting for a permit.
    pub waiting: u32,
    /// The grant that the front end had applied when it counted these ([`crate::ClusterStatus::permits_grant`]). 0:
    /// it had applied none yet, or calls of an earlier run under its name may still be in progress.
    pub applied: u64,
}

/// Responses from the leader, or from a replica that is not the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SessionResponse {
    /// This replica is not the leader.
    Elsewhere {
        /// The leader's replica number, if known.
        leader: Option<u64>,
    },
    /// The session is open.
    Welcome {
        /// This run.
        member: Member,
        /// Lease settings for both sides.
        terms: LeaseTerms,
        /// The incarnation of the last run under the name before this run joined, if the cluster state knew one.
        before: Option<u64>,
    },
    /// The full view, sent after each change.
    View(ClusterView),
    /// Answers a report.
    Grant(Grant),
    /// Rejects the session; a retry would be rejected again.
    Rejected {
        /// The reason, for logs.
        reason: String,
    },
    /// Rejects a requested retirement permanently. Not sent if the cluster state is only full: the front end requests the
    /// retirement again.
    RetirementRejected {
        /// The function.
        function: String,
        /// The generation of that function.
        generation: u32,
        /// The reason, for logs.
        reason: String,
    },
    /// Lists the members that have to answer an inquiry.
    InquiryMembers {
        /// Number of the inquiry, assigned by the run that asks.
        number: u64,
        /// Number of the round to which this list responds.
        round: u32,
        /// Names of the members that have to answer.
        members: Vec<String>,
    },
    /// Another front end's inquiry about messages.
    Inquire {
        /// The run that asks.
        from: Member,
        /// Number of the inquiry, assigned by the run that asks.
        number: u64,
        /// The messages.
        keys: Vec<MessageKey>,
    },
    /// Another front end's answer to this front end's inquiry.
    Answer {
        /// Name of the front end that answers.
        from: String,
        /// Number of the inquiry, assigned by the run that asks.
        number: u64,
        /// One entry for each message, in order.
        known: Vec<MessageKnowledge>,
    },
}

/// Answers a report: a lease for the view, and permits that expire with it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The number of the answered report. The lease starts when that report was sent.
    pub number: u64,
    /// The version of the newest view; the lease does not apply to an older one.
    pub version: Version,
    /// How long the view and the permits are valid, in microseconds from when the report was sent.
    pub lease: Micros,
    /// Permits in addition to the guaranteed minimums.
    pub permits: Vec<PermitGrant>,
}

/// Permits of a pool for one tenant. Encoded as a tuple of its fields in declaration order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The pool.
    pub pool: String,
    /// The tenant; empty: all tenants without a reservation.
    pub tenant: String,
    /// The number of permits.
    pub permits: u32,
}
