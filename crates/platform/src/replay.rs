//! Replays all events of the bus from the first one: merges them, and applies them as one event once they have
//! reached the last event seen before. If they were applied one by one, a worker that is known to drain would seem
//! ready again until its drain event is replayed.

use crate::endpoint_events::EndpointEvent;
use stagehoist::{EndpointUpdate, Lifecycle, WorkerId};
use stagehoist_endpoints::NumberedEndpoint;
use std::collections::BTreeMap;

/// The events replayed so far.
#[derive(Debug)]
pub struct Replay {
    until: u64,
    last: u64,
    /// Whether a full list was among them; otherwise they are changes to the known list.
    is_full: bool,
    endpoints: BTreeMap<WorkerId, NumberedEndpoint>,
}

impl Replay {
    /// Creates a replay that is complete once event `until` is received.
    pub fn until(until: u64) -> Replay {
        Replay { until, last: 0, is_full: false, endpoints: BTreeMap::new() }
    }

    /// Merges events into one.
    pub fn all(events: Vec<EndpointEvent>) -> EndpointEvent {
        let mut replay = Replay::until(0);
        events.into_iter().for_each(|event| replay.merge(event));
        replay.event()
    }

    /// Restarts from the first event, on another connection.
    pub fn restart(&mut self) {
        *self = Replay::until(self.until);
    }

    /// Returns the number of the last replayed event.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Whether the replay is complete.
    pub fn is_done(&self) -> bool {
        self.last >= self.until
    }

    /// Whether the replay ends at event `last`: it was requested because the bus seemed to be behind this event, not
    /// because of a gap after it.
    pub fn is_until(&self, last: u64) -> bool {
        self.until == last
    }

    /// Adds an event; ignores one that is already included.
    pub fn add(&mut self, event: EndpointEvent) {
        if event.number > self.last {
            self.merge(event);
        }
    }

    fn merge(&mut self, event: EndpointEvent) {
        self.last = event.number;
        if event.kind != EndpointUpdate::Delta {
            self.is_full = true;
            self.endpoints.clear();
        }
        self.endpoints.extend(event.endpoints.into_iter().map(|listed| (listed.endpoint.worker, listed)));
    }

    /// Returns all events as one.
    pub fn event(self) -> EndpointEvent {
        let (update, is_full) =
            if self.is_full { (EndpointUpdate::Full, true) } else { (EndpointUpdate::Delta, false) };
        // A full list does not contain executors that are gone.
        let endpoints = self
            .endpoints
            .into_values()
            .filter(|listed| !is_full || listed.endpoint.lifecycle != Lifecycle::Gone);
        EndpointEvent { number: self.last, kind: update, endpoints: endpoints.collect() }
    }
}
