//! Draining, and closing the connection in order.

use super::*;

impl Front {
    /// Stops consuming; deliveries already received are answered.
    pub fn drain(&mut self) {
        if std::mem::replace(&mut self.draining, true) {
            return;
        }
        if !matches!(self.phase, Phase::Setup | Phase::Ready) {
            return;
        }
        let consumed: Vec<usize> = self.consumed().collect();
        consumed.into_iter().for_each(|index| self.cancel(index));
    }

    /// Returns whether, after [`Front::drain`], all deliveries are answered and acknowledged, and no more can arrive.
    ///
    /// A message that is still unacknowledged when the connection ends is redelivered to another front end, and fails
    /// there if it is not idempotent.
    pub fn is_drained(&self) -> bool {
        self.draining && self.cancelling.is_empty() && self.unacknowledged() == 0
    }

    /// Closes the connection in order.
    pub fn close(&mut self, now: Micros) {
        self.flush(now);
        if let Some(client) = self.client.as_mut() {
            client.close(200, "drained");
        }
    }
}
