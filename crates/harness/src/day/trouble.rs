//! What can go wrong on a day.

pub use super::pick::{LinkFault, Pick, StoreFault};
use crate::relay::Fault;
use std::time::Duration;

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum ScenarioFault {
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
        how: LinkFault,
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

impl ScenarioFault {
    pub(super) fn span_mut(&mut self) -> Option<&mut Duration> {
        match self {
            ScenarioFault::Drain { span, .. }
            | ScenarioFault::Vanish { span, .. }
            | ScenarioFault::Die { span, .. }
            | ScenarioFault::StoreSlow { span, .. }
            | ScenarioFault::LoseAnswers { span, .. }
            | ScenarioFault::Reset { span, .. }
            | ScenarioFault::Stall { span, .. }
            | ScenarioFault::Garbage { span, .. }
            | ScenarioFault::Truncate { span, .. }
            | ScenarioFault::Late { span, .. }
            | ScenarioFault::Slow { span, .. }
            | ScenarioFault::Fail { span, .. }
            | ScenarioFault::BrokerDelay { span, .. }
            | ScenarioFault::BrokerDeaf { span }
            | ScenarioFault::BrokerBlocked { span }
            | ScenarioFault::BrokerFlow { span }
            | ScenarioFault::ListFails { span }
            | ScenarioFault::ListLags { span, .. }
            | ScenarioFault::ListFlaps { span, .. }
            | ScenarioFault::Flood { span, .. }
            | ScenarioFault::Link { span, .. }
            | ScenarioFault::LeaderStop { span }
            | ScenarioFault::Everything { span }
            | ScenarioFault::Surge { span, .. }
            | ScenarioFault::MachineKill { span, .. }
            | ScenarioFault::MachineStop { span, .. }
            | ScenarioFault::Stop { span, .. } => Some(span),
            ScenarioFault::Kill { span, .. } | ScenarioFault::LeaderKill { span } => span.as_mut(),
            ScenarioFault::BrokerCut { .. }
            | ScenarioFault::BrokerRestart
            | ScenarioFault::ListIndexResets
            | ScenarioFault::Retire { .. }
            | ScenarioFault::Shards { .. }
            | ScenarioFault::Store { .. }
            | ScenarioFault::Terminate { .. } => None,
        }
    }

    /// The front end that it befalls, where it names one.
    pub(super) fn pick_mut(&mut self) -> Option<&mut Pick> {
        match self {
            ScenarioFault::Stop { front_end, .. }
            | ScenarioFault::Terminate { front_end }
            | ScenarioFault::Kill { front_end, .. }
            | ScenarioFault::Link { front_end, .. }
            | ScenarioFault::Store { front_end, .. } => Some(front_end),
            ScenarioFault::MachineKill { machine, .. } | ScenarioFault::MachineStop { machine, .. } => {
                Some(machine)
            }
            ScenarioFault::Surge { only, .. } => only.as_mut(),
            _ => None,
        }
    }

    /// Whether it means something only where processes keep a record.
    pub(super) fn needs_keepers(&self) -> bool {
        matches!(
            self,
            ScenarioFault::Link { .. }
                | ScenarioFault::LeaderKill { .. }
                | ScenarioFault::LeaderStop { .. }
                | ScenarioFault::Retire { .. }
                | ScenarioFault::Store { .. }
        )
    }
}
