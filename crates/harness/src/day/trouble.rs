//! What can go wrong on a day.

pub use super::pick::{Cut, Pick, StoreFault};
use crate::relay::Fault;
use std::time::Duration;

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// A worker drains; the list says so `lag` later; after the span it serves again.
    Drain {
        worker: String,
        span: Duration,
        lag: Duration,
    },
    /// All workers of a hall die and come back cold after the span.
    Vanish {
        hall: String,
        span: Duration,
    },
    /// One worker dies and comes back cold after the span.
    Die {
        worker: String,
        span: Duration,
    },
    StoreSlow {
        percent: u64,
        span: Duration,
    },
    /// So many percent of all workers' answers never arrive.
    LoseAnswers {
        percent: u32,
        span: Duration,
    },
    /// A worker's answers: connections reset after the request, stalled, garbage, or truncated.
    Reset {
        worker: String,
        percent: u32,
        span: Duration,
    },
    Stall {
        worker: String,
        span: Duration,
    },
    Garbage {
        worker: String,
        percent: u32,
        span: Duration,
    },
    Truncate {
        worker: String,
        percent: u32,
        span: Duration,
    },
    /// A worker's answers come so much later.
    Late {
        worker: String,
        by: Duration,
        span: Duration,
    },
    /// A worker runs slower, or fails quickly.
    Slow {
        worker: String,
        percent: u64,
        span: Duration,
    },
    Fail {
        worker: String,
        percent: u64,
        span: Duration,
    },
    /// The broker cuts the front ends' connections: in the middle of a reply, after routing it, or of a delivery.
    BrokerCut {
        how: Cut,
    },
    BrokerDelay {
        by: Duration,
        span: Duration,
    },
    BrokerDeaf {
        span: Duration,
    },
    BrokerBlocked {
        span: Duration,
    },
    BrokerFlow {
        span: Duration,
    },
    BrokerRestart,
    ListFails {
        span: Duration,
    },
    ListLags {
        by: Duration,
        span: Duration,
    },
    ListFlaps {
        worker: String,
        span: Duration,
    },
    ListIndexResets,
    /// Callers send so many times as much.
    Flood {
        times: f64,
        span: Duration,
    },
    /// A front end's process is stopped and goes on.
    Stop {
        front_end: Pick,
        span: Duration,
    },
    /// A front end's process is ordered to end in order, and a new one starts.
    Terminate {
        front_end: Pick,
    },
    /// A front end's process is killed, and a new one starts: at once, or after the span.
    Kill {
        front_end: Pick,
        span: Option<Duration>,
    },
    /// The processes of a machine are killed, and new ones start after the span; or are stopped and go on.
    MachineKill {
        machine: Pick,
        span: Duration,
    },
    MachineStop {
        machine: Pick,
        span: Duration,
    },
    /// The number of shards changes, stage by stage, each by restarts of one machine after the other.
    Shards {
        to: u32,
    },
    /// The links between a front end and the replicas; where it is a replica itself, also those of all others to it.
    Link {
        front_end: Pick,
        fault: Fault,
        span: Duration,
    },
    /// The process of the leader is killed, or stopped and goes on.
    LeaderKill {
        span: Option<Duration>,
    },
    LeaderStop {
        span: Duration,
    },
    /// A function is retired; of several one is drawn.
    Retire {
        functions: Vec<String>,
        successor: Option<String>,
    },
    /// All front ends' processes and all workers die at once, and all start again after the span.
    Everything {
        span: Duration,
    },
    /// A front end's store and what it remembers are copied, set back to the last copy, or damaged.
    Store {
        front_end: Pick,
        how: StoreFault,
    },
    /// Callers of one tenant send so many times as much; those to one front end only are beside the usual ones, over a queue
    /// of its own.
    Surge {
        tenant: String,
        times: f64,
        only: Option<Pick>,
        span: Duration,
    },
}

impl Trouble {
    pub(super) fn span_mut(&mut self) -> Option<&mut Duration> {
        match self {
            Trouble::Drain { span, .. }
            | Trouble::Vanish { span, .. }
            | Trouble::Die { span, .. }
            | Trouble::StoreSlow { span, .. }
            | Trouble::LoseAnswers { span, .. }
            | Trouble::Reset { span, .. }
            | Trouble::Stall { span, .. }
            | Trouble::Garbage { span, .. }
            | Trouble::Truncate { span, .. }
            | Trouble::Late { span, .. }
            | Trouble::Slow { span, .. }
            | Trouble::Fail { span, .. }
            | Trouble::BrokerDelay { span, .. }
            | Trouble::BrokerDeaf { span }
            | Trouble::BrokerBlocked { span }
            | Trouble::BrokerFlow { span }
            | Trouble::ListFails { span }
            | Trouble::ListLags { span, .. }
            | Trouble::ListFlaps { span, .. }
            | Trouble::Flood { span, .. }
            | Trouble::Link { span, .. }
            | Trouble::LeaderStop { span }
            | Trouble::Everything { span }
            | Trouble::Surge { span, .. }
            | Trouble::MachineKill { span, .. }
            | Trouble::MachineStop { span, .. }
            | Trouble::Stop { span, .. } => Some(span),
            Trouble::Kill { span, .. } | Trouble::LeaderKill { span } => span.as_mut(),
            Trouble::BrokerCut { .. }
            | Trouble::BrokerRestart
            | Trouble::ListIndexResets
            | Trouble::Retire { .. }
            | Trouble::Shards { .. }
            | Trouble::Store { .. }
            | Trouble::Terminate { .. } => None,
        }
    }

    /// The front end that it befalls, where it names one.
    pub(super) fn pick_mut(&mut self) -> Option<&mut Pick> {
        match self {
            Trouble::Stop { front_end, .. }
            | Trouble::Terminate { front_end }
            | Trouble::Kill { front_end, .. }
            | Trouble::Link { front_end, .. }
            | Trouble::Store { front_end, .. } => Some(front_end),
            Trouble::MachineKill { machine, .. } | Trouble::MachineStop { machine, .. } => Some(machine),
            Trouble::Surge { only, .. } => only.as_mut(),
            _ => None,
        }
    }

    /// Whether it means something only where processes keep a record.
    pub(super) fn needs_keepers(&self) -> bool {
        matches!(
            self,
            Trouble::Link { .. }
                | Trouble::LeaderKill { .. }
                | Trouble::LeaderStop { .. }
                | Trouble::Retire { .. }
                | Trouble::Store { .. }
        )
    }
}
