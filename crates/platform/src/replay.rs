//! All events of the event subscription told anew, from the first: put together, and applied as one when they are as far on as what was seen
//! before. Applied one by one, a worker whose drain is known would be ready again until its drain comes by.

use crate::endpoint_events::EndpointEvent;
use stagehoist::{EndpointUpdate, Lifecycle, WorkerId};
use stagehoist_endpoints::NumberedEndpoint;
use std::collections::BTreeMap;

/// Events told anew so far.
#[derive(Debug)]
pub struct Replay {
    until: u64,
    at: u64,
    /// A whole list was among them; else they are changes to what is known.
    is_full: bool,
    endpoints: BTreeMap<WorkerId, NumberedEndpoint>,
}

impl Replay {
    /// Applied once event `until` is in.
    pub fn until(until: u64) -> Replay {
        Replay { until, at: 0, is_full: false, endpoints: BTreeMap::new() }
    }

    /// Many events as one.
    pub fn all(events: &[EndpointEvent]) -> EndpointEvent {
        let mut replay = Replay::until(0);
        events.iter().for_each(|event| replay.put(event.clone()));
        replay.event()
    }

    /// From the first event again, on another connection.
    pub fn restart(&mut self) {
        *self = Replay::until(self.until);
    }

    /// The number of the last event.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Whether the replay has reached its end.
    pub fn is_done(&self) -> bool {
        self.at >= self.until
    }

    /// It was asked for because the event subscription seemed to be behind event `last`, not for a gap after it.
    pub fn until_known(&self, last: u64) -> bool {
        self.until == last
    }

    /// Adds an event to what the replay comes to.
    pub fn take(&mut self, event: EndpointEvent) {
        if event.number > self.at {
            self.put(event);
        }
    }

    fn put(&mut self, event: EndpointEvent) {
        self.at = event.number;
        if event.kind != EndpointUpdate::Delta {
            self.is_full = true;
            self.endpoints.clear();
        }
        self.endpoints.extend(event.endpoints.into_iter().map(|t| (t.endpoint.worker, t)));
    }

    /// All of them as one event.
    pub fn event(self) -> EndpointEvent {
        let (form, whole) =
            if self.is_full { (EndpointUpdate::Full, true) } else { (EndpointUpdate::Delta, false) };
        // A whole list names no one that is gone.
        let settings =
            self.endpoints.into_values().filter(|t| !whole || t.endpoint.lifecycle != Lifecycle::Gone);
        EndpointEvent { number: self.at, kind: form, endpoints: settings.collect() }
    }
}
