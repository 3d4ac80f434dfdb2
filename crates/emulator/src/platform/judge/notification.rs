//! When front ends count as notified of an event, by the pages of the platform: at once when it is in the event bus,
//! whether or not they are connected; while the bus is out of reach with the relief that those pages give.

use crate::platform::bus::SubscriptionFault;
use std::time::{Duration, Instant};

/// After a break, what the bus would have told counts as told within this time.
pub const AFTER_BREAK: Duration = Duration::from_secs(2);
/// After it fell silent.
pub const AFTER_SILENCE: Duration = Duration::from_secs(4);

/// A time in which the event bus told nothing.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub began: Instant,
    pub ended: Instant,
    pub kind: SubscriptionFault,
}

impl Outage {
    /// By when all that is in the bus counts as told, if no front end asks again.
    fn limit(&self) -> Instant {
        self.began + if self.kind.breaks_connections() { AFTER_BREAK } else { AFTER_SILENCE }
    }
}

/// The earliest time at which an event that was in the bus `at` counts as told. `asked` is when front ends asked again on
/// connections that were accepted: what is in the bus then counts at once.
pub fn notified_at(at: Instant, outages: &[Outage], asked: &[Instant]) -> Instant {
    let Some(outage) = outages.iter().find(|outage| (outage.began..outage.ended).contains(&at)) else {
        return at;
    };
    let first_ask = asked.iter().filter(|ask| **ask > outage.began).min();
    let relief = first_ask.map_or(outage.limit(), |ask| outage.limit().min(*ask));
    at.max(relief.min(outage.ended))
}

#[cfg(test)]
mod tests;
