//! Divides descriptors and memory between clients and executors, so that the process does not run out of them. Pure
//! code. What these bounds reject never reaches the module.

use crate::config::Limits;
use stagehoist::Micros;

#[cfg(test)]
mod tests;

/// Descriptors reserved for the listener, the event subscription, standard streams, signals and the runtime.
const RESERVED_DESCRIPTORS: u64 = 24;
/// Maximum number of connections to one executor.
const MAX_PER_EXECUTOR: u64 = 24;
/// A client that sends no complete request within this time is disconnected.
pub const FIRST_REQUEST_TIMEOUT: Micros = 2_000_000;
/// Maximum expected transit time of the first request of a connection.
const FIRST_REQUEST_TRANSIT: Micros = 50_000;
/// A connection without an open request is closed after this time; clients close theirs sooner.
pub const IDLE_TIMEOUT: Micros = 6_000_000;
/// A client that reads no pending output for this time is disconnected.
pub const ANSWER_READ_TIMEOUT: Micros = 3_000_000;

/// Minimum of [`Bounds::unread_bytes`].
const MIN_UNREAD_BYTES: usize = 4 << 10;
/// Maximum of [`Bounds::unread_bytes`].
pub const MAX_UNREAD_BYTES: usize = 128 << 10;

/// Bounds derived from the resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Maximum number of connections to all executors together.
    pub executors: usize,
    /// Maximum number of bytes of request bodies held at once.
    pub held_bytes: usize,
    /// Maximum number of bytes of unsent output, and of deferred requests, of a client that does not read its answers.
    pub unread_bytes: usize,
}

impl Bounds {
    /// Derives the bounds. Clients get half of the descriptors, and executors get the rest except for a reserve.
    /// Well-behaved clients hold only a third of all descriptors; the margin exists because some clients misbehave.
    pub fn new(limits: &Limits) -> Bounds {
        let sockets = limits.sockets;
        let clients = sockets / 2;
        let executors = sockets.saturating_sub(clients + RESERVED_DESCRIPTORS).max(16);
        Bounds {
            clients: clients as usize,
            executors: executors as usize,
            held_bytes: (limits.memory_mb * 1e6 / 6.0) as usize,
            unread_bytes: unread_bytes(limits.memory_mb, clients),
        }
    }

    /// Returns the maximum number of connections to each of `executors` executors.
    pub fn per_executor(&self, executors: usize) -> usize {
        ((self.executors as u64 / (executors as u64).max(1)).clamp(1, MAX_PER_EXECUTOR)) as usize
    }
}

/// Returns the bytes that a client may leave unread: an eighth of the memory for the output of all clients, and as much
/// for their deferred requests.
fn unread_bytes(memory_mb: f64, clients: u64) -> usize {
    let share = (memory_mb * 1e6 / 8.0) as usize / (clients as usize).max(1);
    share.clamp(MIN_UNREAD_BYTES, MAX_UNREAD_BYTES)
}

/// The activity of a client's connection, from which the one to evict is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionActivity {
    /// A complete request was received on it.
    pub has_requested: bool,
    /// An executor has served a request of this client.
    pub is_verified: bool,
    /// Number of requests open on it.
    pub open_requests: usize,
    /// When data was last received or an answer was last queued.
    pub active_at: Micros,
}

/// Returns the connection to evict for a new one. Connections with open requests are never evicted; None if there are
/// no others. Connections that had time to send a request and did not are evicted first, then those of clients that
/// were not served yet, then the others. In each group the one that is inactive for the longest time is chosen. A
/// connection that was just accepted ranks with those that have sent requests, because its first request is in transit.
pub fn victim<K: Copy>(activity: impl Iterator<Item = (K, ConnectionActivity)>, now: Micros) -> Option<K> {
    let is_spared = |s: &ConnectionActivity| s.has_requested || now - s.active_at < FIRST_REQUEST_TRANSIT;
    activity
        .filter(|(_, s)| s.open_requests == 0)
        .min_by_key(|(_, s)| (is_spared(s), s.is_verified, s.active_at))
        .map(|(k, _)| k)
}

/// Whether a client's connection is to be closed for inactivity: no complete request in time, a partial request for
/// too long, or idle for too long.
pub fn is_expired(
    activity: &ConnectionActivity,
    opened_at: Micros,
    partial_since: Option<Micros>,
    now: Micros,
) -> bool {
    let is_silent = !activity.has_requested && now - opened_at >= FIRST_REQUEST_TIMEOUT;
    let is_partial = partial_since.is_some_and(|t| now - t >= FIRST_REQUEST_TIMEOUT);
    let is_idle = activity.open_requests == 0 && now - activity.active_at >= IDLE_TIMEOUT;
    is_silent || is_partial || is_idle
}
