//! Calls of pools wait for a lane before they enter the module, and keep it until all their attempts are known to have ended.

use super::super::{Answer, Command};
use super::Core;
use crate::fleet::entrance::LetIn;
use crate::fleet::Entrance;
use stagehoist::{Event, Micros, RequestId};
use stagehoist_admission::lanes::NO_LANE;

impl Core {
    /// Calls of pools ask for lanes from here on; before the first call.
    pub fn enter_by(&mut self, entrance: Entrance) {
        self.entrance = Some(Box::new(entrance));
    }

    /// Whether the module does not know of a call yet.
    pub(super) fn is_outside(&self, request: RequestId) -> bool {
        self.entrance.as_ref().is_some_and(|e| e.is_waiting(request))
    }

    /// Lets calls into the module that have a lane now, and refuses those that get none in their time.
    pub(super) fn let_in(&mut self, now: Micros, out: &mut Vec<Command>) {
        let Some(entrance) = self.entrance.as_mut() else { return };
        for let_in in entrance.let_in(now) {
            match let_in {
                LetIn::Go(request, lane) => {
                    let Some(call) = self.calls.get_mut(&request.id) else { continue };
                    call.lane = Some(lane);
                    let waited = now - call.taken;
                    call.span.in_scope(|| tracing::debug!(waited_us = waited, "has a lane"));
                    self.fresh.push(request.id);
                    self.events.push(Event::Request(request));
                }
                LetIn::Refuse(request, retry_after) => {
                    let retry_after = retry_after.min(self.figures.retry_after_most);
                    self.answer(request, Answer::Refused { reason: NO_LANE, retry_after }, now, out);
                }
            }
        }
    }
}
