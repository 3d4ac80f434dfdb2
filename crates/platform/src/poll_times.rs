//! Measures the time that the event loop spends in polls, by kind of task.

use crate::shared::Shared;
use stagehoist::Micros;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Kinds of tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskKind {
    /// The driver: decisions, and the writes that result from them.
    Driver,
    /// Client connections, and accepting them.
    Clients,
    /// Connections to executors.
    Executors,
    /// The event bus.
    Endpoints,
}

const KINDS: [TaskKind; 4] = [TaskKind::Driver, TaskKind::Clients, TaskKind::Executors, TaskKind::Endpoints];

/// Polls of one kind of task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PollStats {
    count: u32,
    time: Micros,
    longest: Micros,
}

/// Polls of all kinds of tasks over some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollTimes {
    polls: [PollStats; KINDS.len()],
}

impl PollTimes {
    /// Records the time of one poll of a task.
    pub fn record(&mut self, kind: TaskKind, elapsed: Micros) {
        let polls = &mut self.polls[kind as usize];
        polls.count += 1;
        polls.time += elapsed;
        polls.longest = polls.longest.max(elapsed);
    }
}

impl fmt::Display for PollTimes {
    /// Writes, for each kind that was polled: the number of polls, their total time and the longest one, in
    /// milliseconds.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let polled_kinds = KINDS.into_iter().filter(|kind| self.polls[*kind as usize].count > 0);
        for (index, kind) in polled_kinds.enumerate() {
            let PollStats { count, time, longest } = self.polls[kind as usize];
            let separator = if index > 0 { ", " } else { "" };
            write!(
                formatter,
                "{separator}{kind:?} {count}: {} ms, longest {} ms",
                time / 1000,
                longest / 1000
            )?;
        }
        Ok(())
    }
}

/// A task whose polls are timed.
pub struct TimedTask<F> {
    kind: TaskKind,
    shared: Rc<Shared>,
    task: Pin<Box<F>>,
}

impl<F: Future> TimedTask<F> {
    /// Wraps a task to time its polls.
    pub fn new(kind: TaskKind, shared: Rc<Shared>, task: F) -> TimedTask<F> {
        TimedTask { kind, shared, task: Box::pin(task) }
    }
}

impl<F: Future> Future for TimedTask<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let started_at = self.shared.clock.now();
        let result = self.task.as_mut().poll(context);
        let elapsed = self.shared.clock.now() - started_at;
        self.shared.lag.borrow_mut().record_poll(self.kind, elapsed);
        result
    }
}
