//! What a front end and the leader say to each other, one message a frame.

use crate::{
    ClusterView, LeaseTerms, Member, MessageKey, MessageKnowledge, Micros, Pool, Retirement, Version,
};
use serde::{Deserialize, Serialize};

/// Of the messages below; a process that speaks another is rejected.
pub const PROTOCOL: u16 = 2;

/// From a front end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SessionRequest {
    /// First on a connection. `member` is set where this run has joined before.
    Hello {
        /// [`PROTOCOL`] of the sender.
        protocol: u16,
        /// The front end's name.
        name: String,
        /// This run, where it has joined before.
        member: Option<Member>,
        /// The incarnation that the front end remembers.
        at_least: u64,
        /// Edition of its configuration of pools.
        edition: u64,
        /// Its configuration of pools.
        pools: Vec<Pool>,
    },
    /// Heartbeat with demand.
    Report(Report),
    /// Asks for a function to be retired.
    Retire(Retirement),
    /// This run ends in order; it serves nothing any more.
    Leave,
    /// What do others know of these messages? `to`: those who have not said yet; empty: all. `turn` counts askings.
    Inquire {
        /// Number of the inquiry, counted by the run that asks.
        number: u64,
        /// Counts its rounds.
        round: u32,
        /// Names of those who have not answered yet; empty: all.
        to: Vec<String>,
        /// The messages.
        keys: Vec<MessageKey>,
    },
    /// What is known of messages that were asked about.
    Answer {
        /// The run that asked.
        to: Member,
        /// Number of the inquiry, counted by the run that asks.
        number: u64,
        /// One for each message, in order.
        known: Vec<MessageKnowledge>,
    },
}

/// Sent a few times in each lease, and at once when something changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Counts up on a connection; the answer names it.
    pub number: u64,
    /// The view that this front end has applied: it serves nothing that the view's tombstones name, nor is
    /// such a call in progress here.
    pub confirmed: Version,
    /// Ready permits of workers that it knows, for pools sized by workers.
    pub ready_capacity: u32,
    /// Permits in use and asked for, by pool and tenant.
    pub demand: Vec<Demand>,
}

/// Permits asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// The pool's name.
    pub pool: String,
    /// Empty: all who have no reservation there.
    pub tenant: String,
    /// Permits in use now, of whatever lease.
    pub in_use: u32,
    /// Calls that wait for a permit.
    pub waiting: u32,
    /// The grant that the front end went by when it counted these ([`crate::ClusterStatus::permits_grant`]); 0: none
    /// yet, or runs of an earlier run under its name may go on.
    pub applied: u64,
}

/// From the leader, or from one that does not lead.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SessionResponse {
    /// The number of the leader, where it is known.
    Elsewhere {
        /// The leader's number.
        leader: Option<u64>,
    },
    /// The session is open.
    Welcome {
        /// This run.
        member: Member,
        /// Times that both sides go by.
        terms: LeaseTerms,
        /// The last run under the name as the cluster state knew it before this one joined.
        before: Option<u64>,
    },
    /// The whole view, whenever it changed.
    View(ClusterView),
    /// Answers a report.
    Grant(Grant),
    /// The session is refused; another try would end the same way.
    Rejected {
        /// Why, for logs.
        reason: String,
    },
    /// A retirement that was asked for can't be taken; another try would end the same way. Nothing is said where only
    /// room is wanting: it is asked for again.
    RetirementRejected {
        /// The function.
        function: String,
        /// Which retirement of that function.
        generation: u32,
        /// Why, for logs.
        reason: String,
    },
    /// Who has to say, at this asking.
    InquiryMembers {
        /// Number of the inquiry, counted by the run that asks.
        number: u64,
        /// Counts its rounds.
        round: u32,
        /// Names of the members that are to answer.
        members: Vec<String>,
    },
    /// Another front end asks what this one knows of messages.
    Inquire {
        /// The run that asks.
        from: Member,
        /// Number of the inquiry, counted by the run that asks.
        number: u64,
        /// The messages.
        keys: Vec<MessageKey>,
    },
    /// What is known of messages that were asked about.
    Answer {
        /// Name of the front end that answers.
        from: String,
        /// Number of the inquiry, counted by the run that asks.
        number: u64,
        /// One for each message, in order.
        known: Vec<MessageKnowledge>,
    },
}

/// Answers a report: the view's lease, and permits for as long.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Of the report that it answers; the lease counts from when that was sent.
    pub number: u64,
    /// The newest view; the lease vouches for no older one.
    pub version: Version,
    /// How long the view is vouched for and the permits last, in microseconds from when the report was sent.
    pub lease: Micros,
    /// Beside the guaranteed minimum.
    pub permits: Vec<PermitGrant>,
}

/// Permits of a pool for one tenant. On the wire as a tuple of its fields in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The pool.
    pub pool: String,
    /// The tenant; empty: those without a reservation.
    pub tenant: String,
    /// Permits.
    pub permits: u32,
}
