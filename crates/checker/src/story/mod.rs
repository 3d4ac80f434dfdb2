//! What happened to each call, attempt, order and worker, put together from all links of a capture.

mod read;

use crate::capture::Micros;
use std::collections::BTreeMap;

/// A call that a caller published.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub published: Micros,
    pub function: String,
    /// The header `tenant`; empty where the message has none.
    pub tenant: String,
    /// The caller's patience, in microseconds, where the message states it.
    pub patience: Option<Micros>,
    /// Replies as they reached the caller: when, and the header `outcome`.
    pub answers: Vec<(Micros, String)>,
    pub deliveries: Vec<Delivery>,
    pub replies: Vec<Reply>,
    /// Indices into [`Story::attempts`], in order of time.
    pub attempts: Vec<usize>,
}

/// A message handed to a front end.
#[derive(Clone, Debug)]
pub struct Delivery {
    pub at: Micros,
    pub front_end: u32,
    pub redelivered: bool,
    /// When the connection that it came on ended.
    pub lost: Option<Micros>,
}

/// A reply that left a front end whole.
#[derive(Clone, Debug)]
pub struct Reply {
    pub at: Micros,
    pub front_end: u32,
    pub outcome: String,
    /// The header `reason`; empty where the reply has none.
    pub reason: String,
}

/// A request to a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub front_end: u32,
    pub worker: String,
    pub correlation: String,
    pub function: String,
    pub asked: Micros,
    /// Known not to have run.
    pub never: bool,
    /// When its end was known to the front end; None while it was out.
    pub ended: Option<Micros>,
    /// It ended with its connection and not with an answer.
    pub broke: bool,
    pub status: u16,
}

/// An order to load.
#[derive(Clone, Debug)]
pub struct Load {
    pub front_end: u32,
    pub worker: String,
    pub function: String,
    pub at: Micros,
}

/// What a front end was notified of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerNotice {
    pub at: Micros,
    pub by_list: bool,
    /// Ready; else draining or gone.
    pub ready: bool,
    /// Start that the list shows, in Unix milliseconds.
    pub started: i64,
}

impl std::fmt::Display for WorkerNotice {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let who = if self.by_list { "list" } else { "worker" };
        let what = if self.ready { "ready" } else { "shut" };
        write!(f, "{who} {what} {:.1} ms", self.at as f64 / 1000.0)
    }
}

/// All of it.
#[derive(Clone, Debug, Default)]
pub struct Story {
    pub calls: BTreeMap<String, Call>,
    pub attempts: Vec<Attempt>,
    pub loads: Vec<Load>,
    /// By front end and worker, in order of time.
    pub told: BTreeMap<(u32, String), Vec<WorkerNotice>>,
    /// Deliveries by front end: when.
    pub taken: BTreeMap<u32, Vec<Micros>>,
    /// Times in which the broker took no publishes from a front end, as it told it: from, to.
    pub blocked: BTreeMap<u32, Vec<(Micros, Micros)>>,
    pub end: Micros,
}
