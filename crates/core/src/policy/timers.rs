//! The timer that schedules the front end's next batch.

use super::call::QueuePosition;
use super::queue::SWEEPS_PER_OBJECTIVE;
use super::FrontEnd;
use crate::interface::*;

/// Maximum time without a batch, unless copies are retained for longer.
const MAX_IDLE: Micros = 1_000_000;
/// Clock ticks between batches while a worker has several requests in flight.
const BUSY_TICKS: Micros = 50;

impl FrontEnd {
    pub(super) fn on_timer(&mut self, token: u32) {
        if token == self.timer_token {
            self.timer_at = None;
        }
    }

    /// Sets a timer for the next time at which a decision may change without an event.
    pub(super) fn set_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let next = self.next_decision(now);
        if self.timer_at.is_none_or(|at| next < at || at <= now) {
            self.timer_token = self.timer_token.wrapping_add(1);
            self.timer_at = Some(next);
            actions.push(Action::SetTimer { after: next - now, token: self.timer_token });
        }
    }

    fn next_decision(&self, now: Micros) -> Micros {
        let tick = self.settings.tick;
        let mut next = now + self.settings.idle_retention.max(MAX_IDLE);
        if let Some(retry_at) = self.subscription.retry_at {
            next = next.min(retry_at);
        }
        if let Some(deadline) = self.deadlines.first() {
            next = next.min(deadline.at);
        }
        let first_late = self.queue.range(QueuePosition::FIRST_LATE..).next();
        for position in self.queue.first().into_iter().chain(first_late) {
            next = next.min(position.required_start);
        }
        if !self.queued_by_group.is_empty() {
            next = next.min(now + self.shortest_objective / SWEEPS_PER_OBJECTIVE);
        }
        if !self.fleet.busy.is_empty() {
            next = next.min(now + tick * BUSY_TICKS);
        }
        if !self.queued_by_group.is_empty() {
            next = next.min(self.next_check(now));
        }
        next.max(now + tick)
    }
}
