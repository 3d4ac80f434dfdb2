//! Lanes of the workers.

use super::Members;
use stagehoist::Lifecycle;

impl Members {
    /// Calls that the ready workers run at a time, as far as is known: one for each whole unit of a worker's size, and
    /// at least one for each worker.
    pub fn ready_lanes(&self) -> u32 {
        let ready = self.known.values().filter(|k| k.row.lifecycle == Lifecycle::Ready);
        // A size that is no number counts as one; the cast keeps within the type's bounds.
        ready.map(|k| (k.row.capacity as u32).max(1)).fold(0, u32::saturating_add)
    }
}
