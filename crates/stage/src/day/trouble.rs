//! What can go wrong on a day.

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
        front_end: u32,
        span: Duration,
    },
    /// A front end's process is told to end in order, and a new one starts.
    Terminate {
        front_end: u32,
    },
    /// A front end's process is killed, and a new one starts.
    Kill {
        front_end: u32,
    },
}

/// Where the broker cuts a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    BeforeRouting,
    BeforeConfirm,
    MidDelivery,
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
            | Trouble::Stop { span, .. } => Some(span),
            Trouble::BrokerCut { .. }
            | Trouble::BrokerRestart
            | Trouble::ListIndexResets
            | Trouble::Terminate { .. }
            | Trouble::Kill { .. } => None,
        }
    }
}
