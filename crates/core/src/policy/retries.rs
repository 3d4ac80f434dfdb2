//! Retries: whether another attempt may be sent (rule 2), and the handling of overdue attempts at silent workers.

use super::call::{Execution, PendingCall};
use super::queue::EnqueueReason;
use super::{FrontEnd, SAFETY_MARGIN};
use crate::interface::*;

/// Identifies an attempt of a request.
pub(super) struct AttemptId {
    pub request: RequestId,
    pub number: u16,
}

impl FrontEnd {
    /// Rule 2: whether another attempt may be sent. Attempts must be left, the deadline must not have passed, and
    /// without hedging no attempt may be in flight. If an attempt may have run, the class must be idempotent, or
    /// idempotent with a key. With a key, the first such attempt must be more recent than `SAFETY_MARGIN` of the key's
    /// deduplication window.
    pub(super) fn may_send_again(&self, id: RequestId, now: Micros) -> bool {
        let Some(call) = self.pending.get(&id) else { return false };
        let is_forbidden_hedge = !self.settings.hedging && call.has_attempt_in_flight();
        let has_no_attempts_left = call.attempts.len() as u32 >= self.settings.max_attempts;
        if is_forbidden_hedge || has_no_attempts_left || now >= call.deadline {
            return false;
        }
        match self.settings.classes[call.request.class as usize].effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => call.never_ran(),
            Effect::IdempotentWithKey { window, .. } => {
                let may_have_run =
                    call.attempts.iter().filter(|attempt| attempt.execution != Execution::NeverRan);
                let first = may_have_run.map(|attempt| attempt.sent_at).min();
                first.is_none_or(|sent_at| now < sent_at + (window as f64 * SAFETY_MARGIN) as Micros)
            }
        }
    }

    /// Whether the request may be answered with a rejection, which guarantees that it had no effect or that repeating it
    /// does no harm.
    pub(super) fn may_reject(&self, call: &PendingCall) -> bool {
        let effect = self.settings.classes[call.request.class as usize].effect;
        let is_repeatable_anywhere = matches!(
            effect,
            Effect::Idempotent | Effect::IdempotentWithKey { scope: DeduplicationScope::All, .. }
        );
        is_repeatable_anywhere || call.never_ran()
    }

    /// Retries an idempotent request with an overdue attempt at a silent worker, unless it is queued already. If
    /// hedging allows another attempt, the request is queued for it. Otherwise the attempt is cancelled if the settings
    /// allow it, after which the request is queued again.
    pub(super) fn retry_overdue(&mut self, attempt: &AttemptId, now: Micros, actions: &mut Vec<Action>) {
        let Some(call) = self.pending.get(&attempt.request) else { return };
        let effect = self.settings.classes[call.request.class as usize].effect;
        if call.queued.is_some() || effect != Effect::Idempotent {
            return;
        }
        if self.settings.hedging && self.may_send_again(attempt.request, now) {
            self.enqueue(attempt.request, EnqueueReason::CanMeetObjective, now);
        } else if self.settings.may_cancel {
            actions.push(Action::Cancel { request: attempt.request, attempt: attempt.number });
        }
    }
}
