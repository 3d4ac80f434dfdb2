//! Determines when executors started, on the clock of this process. An event dates a start by the wall clock of this
//! machine or of another one, and wall clocks are stepped by seconds or even by an hour. If a start is reported while
//! this process runs, the time at which its event was read therefore counts as the start time. That time is late by
//! the transit time of the event and never early. The starts in the initial list count as dated, but a date in the
//! future counts as now.

use stagehoist::{Micros, WorkerId};
use stagehoist_endpoints::NumberedEndpoint;
use std::collections::HashMap;

/// A start as dated by its event, and the time from which it counts.
#[derive(Clone, Copy, Debug)]
struct Start {
    dated: Micros,
    counts_at: Micros,
}

/// The start of each executor, kept since its first report.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: HashMap<WorkerId, Start>,
}

impl StartTimes {
    /// Sets the start times of the initial list, which was read at `now`.
    pub fn initial(endpoints: &mut [NumberedEndpoint], now: Micros) -> StartTimes {
        let mut starts = StartTimes::default();
        for endpoint in endpoints {
            let dated = endpoint.endpoint.started;
            starts.assign(endpoint, Start { dated, counts_at: dated.min(now) });
        }
        starts
    }

    /// Sets the start times of an event's executors; the event was read at `now`. If `is_full`, executors that it
    /// does not contain are removed.
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
        // 0 means long ago.
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
