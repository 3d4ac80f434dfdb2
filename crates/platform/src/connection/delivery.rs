//! Tracks which messages written on a connection are known to have arrived at the executor. A successful write only
//! hands bytes to this system, which goes on sending them for as long as the connection exists, also after a partition
//! of the network. An executor reads its messages in order, so an answer to one confirms all that were written before.

use stagehoist::Micros;
use std::collections::VecDeque;

/// How long a connection stays open after a request was abandoned whose arrival is not confirmed. An attempt must not
/// begin more than 100 ms after its client left; the rest is for this process to notice that and to close.
const CONFIRMATION_TIMEOUT: Micros = 80_000;
/// Maximum number of separate deadlines kept for one connection.
const MAX_UNCONFIRMED: usize = 64;

/// The position of a message among those completely written on its connection, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position(u64);

/// An abandoned request that may still be on its way to the executor.
#[derive(Debug)]
struct Unconfirmed {
    position: Position,
    confirm_by: Micros,
}

#[derive(Debug, Default)]
pub(super) struct DeliveryTracker {
    last_written: Position,
    last_confirmed: Position,
    /// Ordered by deadline.
    unconfirmed: VecDeque<Unconfirmed>,
}

impl DeliveryTracker {
    /// Records that another message was completely written.
    pub fn on_written(&mut self) -> Position {
        self.last_written.0 += 1;
        self.last_written
    }

    /// Records that the executor answered the message at this position.
    pub fn confirm(&mut self, position: Position) {
        let confirmed = self.last_confirmed.max(position);
        self.last_confirmed = confirmed;
        self.unconfirmed.retain(|request| request.position > confirmed);
    }

    /// Records that the request at this position was abandoned. Returns whether its arrival is still to be confirmed.
    pub fn on_abandoned(&mut self, position: Position, now: Micros) -> bool {
        if position <= self.last_confirmed {
            return false;
        }
        let mut request = Unconfirmed { position, confirm_by: now + CONFIRMATION_TIMEOUT };
        if self.unconfirmed.len() >= MAX_UNCONFIRMED {
            // It shares the earlier deadline of the last one.
            if let Some(last) = self.unconfirmed.pop_back() {
                request.position = position.max(last.position);
                request.confirm_by = last.confirm_by;
            }
        }
        self.unconfirmed.push_back(request);
        true
    }

    /// Returns when the first abandoned request must have been confirmed.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.unconfirmed.front().map(|request| request.confirm_by)
    }

    /// Whether an abandoned request was not confirmed in time.
    pub fn is_overdue(&self, now: Micros) -> bool {
        self.next_deadline().is_some_and(|deadline| now >= deadline)
    }

    /// Whether an abandoned request may still be on its way.
    pub fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }
}
