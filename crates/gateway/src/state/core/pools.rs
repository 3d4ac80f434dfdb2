//! Calls of pools wait for a permit before they enter the module, and keep it until all their attempts are known to have ended.

use super::super::{Answer, Command};
use super::Core;
use crate::fleet::pool_admission::PoolDecision;
use crate::fleet::PoolAdmission;
use stagehoist::{Event, Micros, RequestId};
use stagehoist_admission::permits::NO_PERMIT;

impl Core {
    /// Calls of pools ask for permits from here on; before the first call.
    pub fn set_pool_admission(&mut self, pool_admission: PoolAdmission) {
        self.pool_admission = Some(Box::new(pool_admission));
    }

    /// Whether the module does not know of a call yet.
    pub(super) fn is_waiting(&self, request: RequestId) -> bool {
        self.pool_admission.as_ref().is_some_and(|e| e.is_waiting(request))
    }

    /// Lets calls into the module that have a permit now, and refuses those that get none in their time.
    pub(super) fn admit_from_pools(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let Some(pool_admission) = self.pool_admission.as_mut() else { return };
        for decision in pool_admission.take_decisions(now) {
            match decision {
                PoolDecision::Admitted(request, lane) => {
                    let Some(call) = self.calls.get_mut(&request.id) else { continue };
                    call.permit = Some(lane);
                    let waited = now - call.taken;
                    call.span.in_scope(|| tracing::debug!(waited_us = waited, "has a permit"));
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
