//! What the loop of this process spends its time on, by kind of task.

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
    /// Decisions, and the writing of what follows from them.
    Driver,
    /// Connections of clients, and accepting them.
    Clients,
    /// Connections to executors.
    Executors,
    /// The event bus.
    Endpoints,
}

const KINDS: [TaskKind; 4] = [TaskKind::Driver, TaskKind::Clients, TaskKind::Executors, TaskKind::Endpoints];

/// Turns of one kind of task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Turns {
    count: u32,
    time: Micros,
    longest: Micros,
}

/// Turns of all kinds of tasks over some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollTimes {
    turns: [Turns; KINDS.len()],
}

impl PollTimes {
    /// A task had a turn of this length.
    pub fn record(&mut self, kind: TaskKind, elapsed: Micros) {
        let turns = &mut self.turns[kind as usize];
        turns.count += 1;
        turns.time += elapsed;
        turns.longest = turns.longest.max(elapsed);
    }
}

impl fmt::Display for PollTimes {
    /// For each kind that had a turn: turns, their time in all, and the longest, in milliseconds.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let with_turns = KINDS.into_iter().filter(|kind| self.turns[*kind as usize].count > 0);
        for (index, kind) in with_turns.enumerate() {
            let Turns { count, time, longest } = self.turns[kind as usize];
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

/// A task whose turns are timed.
pub struct TimedTask<F> {
    kind: TaskKind,
    shared: Rc<Shared>,
    task: Pin<Box<F>>,
}

impl<F: Future> TimedTask<F> {
    /// Times the turns of a task.
    pub fn new(kind: TaskKind, shared: Rc<Shared>, task: F) -> TimedTask<F> {
        TimedTask { kind, shared, task: Box::pin(task) }
    }
}

impl<F: Future> Future for TimedTask<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let began_at = self.shared.clock.now();
        let polled = self.task.as_mut().poll(context);
        let elapsed = self.shared.clock.now() - began_at;
        self.shared.lag.borrow_mut().record_turn(self.kind, elapsed);
        polled
    }
}
