//! How descriptors and memory are shared out between clients and executors, so that the process lives. Pure; what is turned
//! away by these bounds never reached the module.

use crate::config::Limits;
use stagehoist::Micros;

#[cfg(test)]
mod tests;

/// Descriptors for the listener, the event subscription, standard streams, signals and the runtime.
const RESERVE: u64 = 24;
/// Connections to one executor at most.
const EACH: u64 = 24;
/// A client that said nothing whole for so long is closed.
pub const FIRST_REQUEST_TIMEOUT: Micros = 2_000_000;
/// The first request of a connection may be so long on its way.
const CANCELLATION_TRANSIT: Micros = 50_000;
/// A connection without an open request is closed after so long; clients close theirs sooner.
pub const IDLE: Micros = 6_000_000;
/// A client that takes no bytes for so long is closed.
pub const ANSWER_READ_TIMEOUT: Micros = 3_000_000;

/// Bounds derived from what the process may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients at once.
    pub clients: usize,
    /// Connections to all executors together.
    pub executors: usize,
    /// Bytes of bodies held at once.
    pub held_bytes: usize,
}

impl Bounds {
    /// Clients hold a third by their own rule; they get half, as some do not keep rules, executors get the rest.
    pub fn new(limits: &Limits) -> Bounds {
        let sockets = limits.sockets;
        let clients = sockets / 2;
        let executors = sockets.saturating_sub(clients + RESERVE).max(16);
        Bounds {
            clients: clients as usize,
            executors: executors as usize,
            held_bytes: (limits.memory_mb * 1e6 / 6.0) as usize,
        }
    }

    /// Connections that each of so many executors may have.
    pub fn each(&self, executors: usize) -> usize {
        ((self.executors as u64 / (executors as u64).max(1)).clamp(1, EACH)) as usize
    }
}

/// What a client's connection is doing, for the choice of the one to close when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionActivity {
    /// It has asked something whole.
    pub has_requested: bool,
    /// Requests open on it.
    pub open_requests: usize,
    /// When something last came or went.
    pub active_at: Micros,
}

/// Which connection is evicted for a new one: the longest silent of those that had time to ask and never did, else the
/// longest idle. None where all are in progress. One that was just accepted is no better a choice than one that has asked: its
/// request is on its way.
pub fn victim<K: Copy>(seen: impl Iterator<Item = (K, ConnectionActivity)>, now: Micros) -> Option<K> {
    let spared = |s: &ConnectionActivity| s.has_requested || now - s.active_at < CANCELLATION_TRANSIT;
    seen.filter(|(_, s)| s.open_requests == 0).min_by_key(|(_, s)| (spared(s), s.active_at)).map(|(k, _)| k)
}

/// Whether a client's connection is over by its own silence: nothing whole in time, half a request, or long idle.
pub fn is_over(seen: &ConnectionActivity, born: Micros, partial_since: Option<Micros>, now: Micros) -> bool {
    let silent = !seen.has_requested && now - born >= FIRST_REQUEST_TIMEOUT;
    let half = partial_since.is_some_and(|t| now - t >= FIRST_REQUEST_TIMEOUT);
    let idle = seen.open_requests == 0 && now - seen.active_at >= IDLE;
    silent || half || idle
}
