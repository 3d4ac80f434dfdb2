//! Answers to rejected and failed calls, and to the calls remaining when the front end ends and no other process will
//! answer them.

use super::super::{Answer, Command};
use super::Core;
use stagehoist::{Micros, Outcome, RequestId};

/// The reason reported for calls remaining when the front end ends.
const FRONT_END_ENDS: &str = "front-end-ends";

/// The reason reported when no worker could be confirmed while the endpoint list was outdated.
pub(super) const LIST_OLD: &str = "endpoint-list-old";

impl Core {
    /// Answers every remaining call of the decision module because the process ends before the call's deadline. The
    /// answer is `Refused` if the call cannot have run, otherwise `Failed`, which leaves open whether it ran.
    pub fn answer_remaining(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let mut remaining: Vec<RequestId> = self.by_ticket.values().copied().collect();
        remaining.sort_unstable();
        for request in remaining {
            let nothing_ran =
                self.calls.get(&request).is_some_and(|call| call.is_idle() && call.ran_since.is_none());
            let answer = if nothing_ran {
                Answer::Refused { reason: FRONT_END_ENDS, retry_after: 0 }
            } else {
                Answer::Failed { reason: FRONT_END_ENDS }
            };
            self.answer(request, answer, now, commands);
        }
    }

    /// Returns why a call is rejected or failed, as far as it can be seen from outside the decision module. It is meant for
    /// people; no decision depends on it.
    pub(super) fn reason(&self, request: RequestId, now: Micros) -> &'static str {
        let Some(call) = self.calls.get(&request) else { return "over" };
        if call.attempts.iter().any(Option::is_some) {
            return "no-answer-in-time";
        }
        match call.last_outcome {
            Some(Outcome::Error) => "worker-error",
            Some(Outcome::Reset) => "connection-broke",
            Some(Outcome::Timeout | Outcome::Cancelled) => "no-answer-in-time",
            Some(Outcome::Full) => "workers-full",
            Some(Outcome::ConnectFailed) => "workers-unreachable",
            Some(Outcome::Miss) => "not-loaded-in-time",
            _ if self.endpoints.ready_count() == 0 => "no-workers",
            _ if now > self.list_valid_until => LIST_OLD,
            _ if now >= call.deadline - (call.deadline - call.accepted_at) / 4 => "held-until-too-late",
            _ => "can-not-finish-in-time",
        }
    }

    pub(super) fn answer(
        &mut self,
        request: RequestId,
        answer: Answer,
        now: Micros,
        commands: &mut Vec<Command>,
    ) {
        let Some(call) = self.calls.get(&request) else { return };
        if call.answered {
            return;
        }
        let (outcome, reason) = (answer.outcome(), answer.reason());
        match answer {
            Answer::Failed { .. } | Answer::Retired(_) => self.counters.failed += 1,
            _ => self.counters.refused += 1,
        }
        call.span.in_scope(|| {
            tracing::debug!(outcome = outcome, reason, took_us = now - call.accepted_at, "call answered");
        });
        commands.push(Command::Answer { ticket: call.ticket, answer, elapsed: now - call.accepted_at });
        self.record_call_end(request, now, false);
        self.close_call(request);
    }
}
