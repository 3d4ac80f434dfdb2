//! A front end's state between sockets and the decision module, without I/O: news and the time go in, commands come out.
//! Tests and models drive it as the driver does.

mod core;
mod functions;

pub use core::{Core, Counters};
pub use functions::{Functions, Resolved};

use bytes::Bytes;
use stagehoist::{Action, Event, FrontEnd, Micros, Note, Outcome, Report, RequestId, Settings, WorkerId};
use std::rc::Rc;

/// What chooses for a front end: the module, or a policy to measure it against on the same stack.
pub trait Decide {
    /// One batch: what happened since the last, and what is to be done.
    fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>);
}

impl Decide for FrontEnd {
    fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        FrontEnd::handle(self, now, events, out)
    }
}

/// Makes one front end's decisions from its settings, seed and the time.
pub type Decider = fn(Settings, u64, Micros) -> Box<dyn Decide>;

/// The decision module.
pub fn module(settings: Settings, seed: u64, now: Micros) -> Box<dyn Decide> {
    Box::new(FrontEnd::new(settings, seed, now))
}

/// The number that a front (AMQP, ...) gives to a call of its own; unique within one front end.
pub type Ticket = u64;

/// A call as a front took it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub ticket: Ticket,
    pub function: Rc<str>,
    pub tenant: u32,
    /// Time until the caller gives up, in microseconds.
    pub budget: Micros,
    /// The caller marked it as a repeat, or the broker delivers it again.
    pub repeat: bool,
    pub body: Bytes,
    pub content_type: Option<String>,
    /// The caller's own number of the call, for logs and for workers.
    pub correlation: Rc<str>,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served {
        body: Bytes,
        content_type: Option<String>,
    },
    /// It never ran, or may be repeated without harm.
    Refused {
        reason: &'static str,
        retry_after: Micros,
    },
    /// Nothing is promised about whether it ran.
    Failed {
        reason: &'static str,
    },
}

/// What came of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    pub note: Note,
    pub report: Report,
    /// The worker's answer, where the outcome is `Ok`.
    pub body: Bytes,
    pub content_type: Option<String>,
    /// The worker said that it drains (`Some(true)`) or serves (`Some(false)`).
    pub draining: Option<bool>,
}

impl AttemptResult {
    /// An ending without an answer.
    pub fn bare(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            note: Note::default(),
            report: None,
            body: Bytes::new(),
            content_type: None,
            draining: None,
        }
    }
}

/// What sockets bring.
#[derive(Debug)]
pub enum News {
    Call(Arrival),
    /// The caller left; nothing more is owed.
    Gone(Ticket),
    Attempt {
        request: RequestId,
        attempt: u16,
        result: AttemptResult,
    },
    Probed {
        worker: WorkerId,
        sent: Micros,
        outcome: Outcome,
        report: Report,
        draining: Option<bool>,
    },
    Loaded {
        worker: WorkerId,
        function: Rc<str>,
        sent: Micros,
        outcome: Outcome,
        copies: u8,
    },
    List(Vec<stagehoist_membership::Entry>),
    ListFailed,
}

/// What is to be done on sockets.
#[derive(Debug)]
pub enum Command {
    /// `took` is the time since the call was taken, in microseconds.
    Answer {
        ticket: Ticket,
        answer: Answer,
        took: Micros,
    },
    Attempt(Attempt),
    /// End an attempt by closing its connection; nothing more is heard of it.
    Abort {
        request: RequestId,
        attempt: u16,
    },
    Probe {
        worker: WorkerId,
        address: Rc<str>,
    },
    Load {
        worker: WorkerId,
        address: Rc<str>,
        function: Rc<str>,
        copies: u8,
    },
    Unload {
        worker: WorkerId,
        address: Rc<str>,
        function: Rc<str>,
    },
    CloseIdle {
        worker: WorkerId,
    },
    /// Follow the list, or stop.
    Watch(bool),
    /// Get the list once.
    Fetch,
}

/// One attempt to have a call run.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: RequestId,
    pub attempt: u16,
    pub worker: WorkerId,
    pub address: Rc<str>,
    pub function: Rc<str>,
    pub body: Bytes,
    pub content_type: Option<String>,
    pub correlation: Rc<str>,
}
