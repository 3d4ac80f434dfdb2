//! Applies the list of front ends to the owned shards, the module's endpoints and the queues.

use super::{OwnedShards, Shards};
use crate::discovery::front_ends::Entry;
use fnv::FnvHashSet;
use stagehoist::{EndpointUpdate, Micros};
use stagehoist_endpoints::Update;

impl Shards {
    /// Applies a complete list of front ends. Returns the owned shards and the endpoint update for the decision
    /// module, if the owned shards changed.
    pub fn front_ends(&mut self, list: &[Entry], now: Micros) -> Option<(Vec<OwnedShards>, Update)> {
        let owned = self.ownership.as_mut()?.listed(list, now)?;
        Some(self.apply_owned(owned, now))
    }

    /// The same for elapsed time: releases shards whose handover has ended.
    pub fn handed_over(&mut self, now: Micros) -> Option<(Vec<OwnedShards>, Update)> {
        let owned = self.ownership.as_mut()?.tick(now)?;
        Some(self.apply_owned(owned, now))
    }

    fn apply_owned(&mut self, owned: Vec<OwnedShards>, now: Micros) -> (Vec<OwnedShards>, Update) {
        for ((served, _), shards) in self.served.iter_mut().zip(&owned) {
            *served = shards.served();
        }
        let previous = std::mem::take(&mut self.subset);
        self.subset = self.members();
        let changes = self.moved(&previous, &FnvHashSet::default(), now);
        (owned, Update { kind: EndpointUpdate::Delta, endpoints: changes })
    }

    /// Returns the number of other front ends and the number of lists that changed the owned shards; `None` if no
    /// list is followed.
    pub fn listed(&self) -> Option<(usize, u64)> {
        self.ownership.as_ref().map(|o| (o.front_end_count(), o.changes))
    }
}
