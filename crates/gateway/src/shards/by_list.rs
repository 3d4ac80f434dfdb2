//! Own shards that follow the list of front ends: what of it the module and the queues are told.

use super::{OwnedShards, Shards};
use crate::discovery::front_ends::Entry;
use fnv::FnvHashSet;
use stagehoist::{EndpointUpdate, Micros};
use stagehoist_endpoints::Update;

impl Shards {
    /// A whole list of front ends came. Gives own shards and what the module is given, where own shards changed.
    pub fn front_ends(&mut self, list: &[Entry], now: Micros) -> Option<(Vec<OwnedShards>, Update)> {
        let owned = self.ownership.as_mut()?.listed(list, now)?;
        Some(self.set_owned(owned, now))
    }

    /// The same as time passes: shards that were handed over go.
    pub fn handed_over(&mut self, now: Micros) -> Option<(Vec<OwnedShards>, Update)> {
        let owned = self.ownership.as_mut()?.tick(now)?;
        Some(self.set_owned(owned, now))
    }

    fn set_owned(&mut self, owned: Vec<OwnedShards>, now: Micros) -> (Vec<OwnedShards>, Update) {
        for ((own, _), told) in self.served.iter_mut().zip(&owned) {
            *own = told.served();
        }
        let before = std::mem::take(&mut self.subset);
        self.subset = self.members();
        let rows = self.moved(&before, &FnvHashSet::default(), now);
        (owned, Update { kind: EndpointUpdate::Delta, endpoints: rows })
    }

    /// Other front ends counted, and lists that changed own shards; None: no list is followed.
    pub fn listed(&self) -> Option<(usize, u64)> {
        self.ownership.as_ref().map(|o| (o.front_end_count(), o.changes))
    }
}
