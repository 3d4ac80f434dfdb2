//! When executors started, on this process's own clock. An event dates a start by a wall clock, of this machine or of another,
//! and wall clocks step, by seconds or by an hour. A start that is reported while this process runs therefore counts from when its
//! event was read: that is late by the way of the news, and never early. Starts of the initial list are taken as they are
//! dated, but not in the future.

use stagehoist::{Micros, WorkerId};
use stagehoist_endpoints::NumberedEndpoint;
use std::collections::HashMap;

/// A start as it was dated, and when it counts.
#[derive(Clone, Copy, Debug)]
struct Start {
    dated: Micros,
    counts_at: Micros,
}

/// Starts by executor, each from its first report on.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: HashMap<WorkerId, Start>,
}

impl StartTimes {
    /// The executors of the initial list, read `now`.
    pub fn initial(endpoints: &mut [NumberedEndpoint], now: Micros) -> StartTimes {
        let mut starts = StartTimes::default();
        for endpoint in endpoints {
            let dated = endpoint.endpoint.started;
            starts.assign(endpoint, Start { dated, counts_at: dated.min(now) });
        }
        starts
    }

    /// Dates the executors of an event that was read `now`. `is_full`: who is not among them is forgotten.
    pub fn apply(&mut self, endpoints: &mut [NumberedEndpoint], is_full: bool, now: Micros) {
        let known = if is_full { std::mem::take(&mut self.starts) } else { HashMap::new() };
        for endpoint in endpoints {
            let dated = endpoint.endpoint.started;
            let id = endpoint.endpoint.worker;
            let start = known.get(&id).or_else(|| self.starts.get(&id)).copied();
            let same = start.filter(|start| start.dated == dated);
            self.assign(endpoint, same.unwrap_or(Start { dated, counts_at: now }));
        }
    }

    fn assign(&mut self, endpoint: &mut NumberedEndpoint, start: Start) {
        // 0 says: long ago.
        if start.dated > 0 {
            endpoint.endpoint.started = start.counts_at;
        }
        match endpoint.endpoint.lifecycle {
            stagehoist::Lifecycle::Gone => drop(self.starts.remove(&endpoint.endpoint.worker)),
            _ => drop(self.starts.insert(endpoint.endpoint.worker, start)),
        }
    }
}

#[cfg(test)]
mod tests;
