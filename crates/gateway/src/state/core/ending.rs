//! The end of a front end whose callers will hear from no one else.

use super::super::{Answer, Command};
use super::Core;
use stagehoist::{Micros, RequestId};

/// The reason that is told.
const ENDING: &str = "front-end-ends";

impl Core {
    /// Answers every call of the module's that is left, as the process ends before its time does: refused where nothing of
    /// it can have run, else failed, which promises nothing.
    pub fn end_calls(&mut self, now: Micros, out: &mut Vec<Command>) {
        let mut left: Vec<RequestId> = self.by_ticket.values().copied().collect();
        left.sort_unstable();
        for request in left {
            let nothing_ran = self.calls.get(&request).is_some_and(|call| call.is_idle() && !call.ran);
            let answer = if nothing_ran {
                Answer::Refused { reason: ENDING, retry_after: 0 }
            } else {
                Answer::Failed { reason: ENDING }
            };
            self.answer(request, answer, now, out);
        }
    }
}
