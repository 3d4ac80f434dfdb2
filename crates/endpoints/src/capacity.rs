//! Total capacity of the workers.

use super::EndpointSet;
use stagehoist::Lifecycle;

impl EndpointSet {
    /// Number of calls that the ready workers are known to run concurrently: one for each whole unit of a worker's
    /// capacity, and at least one for each worker.
    pub fn ready_capacity(&self) -> u32 {
        let ready = self.workers.values().filter(|k| k.endpoint.lifecycle == Lifecycle::Ready);
        // A NaN capacity is cast to 0 and so counts as 1; the cast saturates at the bounds of the type.
        ready.map(|k| (k.endpoint.capacity as u32).max(1)).fold(0, u32::saturating_add)
    }
}
