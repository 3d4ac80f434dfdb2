//! Pool admission: a call of a pool waits for a permit before the decision module gets it, and holds the permit until all
//! its attempts are known to have ended.

use super::super::{Answer, Command};
use super::Core;
use crate::fleet::pool_admission::PoolDecision;
use crate::fleet::PoolAdmission;
use stagehoist::{Event, Micros, RequestId};
use stagehoist_admission::permits::NO_PERMIT;

impl Core {
    /// Makes calls of pools ask for permits; must be called before the first call.
    pub fn set_pool_admission(&mut self, pool_admission: PoolAdmission) {
        self.pool_admission = Some(Box::new(pool_admission));
    }

    /// Returns whether a call still waits for a permit, so that the decision module has not received it.
    pub(super) fn is_waiting(&self, request: RequestId) -> bool {
        self.pool_admission.as_ref().is_some_and(|admission| admission.is_waiting(request))
    }

    /// Passes calls that now have a permit to the decision module, and refuses those that got none in time.
    pub(super) fn admit_from_pools(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let Some(pool_admission) = self.pool_admission.as_mut() else { return };
        for decision in pool_admission.take_decisions(now) {
            match decision {
                PoolDecision::Admitted(request, permit) => {
                    let Some(call) = self.calls.get_mut(&request.id) else { continue };
                    call.permit = Some(permit);
                    let waited = now - call.accepted_at;
                    call.span.in_scope(|| tracing::debug!(waited_us = waited, "permit granted to call"));
                    self.new_calls.push(request.id);
                    self.events.push(Event::Request(request));
                }
                PoolDecision::Rejected(request, retry_after) => {
                    let retry_after = retry_after.min(self.settings.max_retry_after);
                    self.answer(request, Answer::Refused { reason: NO_PERMIT, retry_after }, now, commands);
                }
            }
        }
    }
}
