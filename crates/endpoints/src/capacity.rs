//! Permits of the workers.

use super::EndpointSet;
use stagehoist::Lifecycle;

impl EndpointSet {
    /// Calls that the ready workers run at a time, as far as is known: one for each whole unit of a worker's size, and
    /// at least one for each worker.
    pub fn ready_capacity(&self) -> u32 {
        let ready = self.workers.values().filter(|k| k.endpoint.lifecycle == Lifecycle::Ready);
        // A size that is no number counts as one; the cast keeps within the type's bounds.
        ready.map(|k| (k.endpoint.capacity as u32).max(1)).fold(0, u32::saturating_add)
    }
}
