//! The drain, and the connection's end in order.

use super::*;

impl Front {
    /// Take no more messages; what was delivered is answered.
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

    /// Whether all that was delivered is answered and acknowledged, and nothing more is on its way, after
    /// [`Front::drain`].
    ///
    /// What is still under way when the connection ends comes to others as delivered before, and fails there if it
    /// is not idempotent.
    pub fn is_drained(&self) -> bool {
        self.draining && self.stopping.is_empty() && self.unacknowledged() == 0
    }

    /// Ends the connection in order.
    pub fn close(&mut self, now: Micros) {
        self.flush(now);
        if let Some(client) = self.client.as_mut() {
            client.close(200, "drained");
        }
    }
}
