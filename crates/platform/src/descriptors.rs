//! Handles the process's limit of file descriptors. At the limit, an idle connection of whichever side holds more,
//! clients or executors, is evicted. Released descriptors go to connections to executors before a client is accepted.
//! The event bus keeps its own socket ([`mod@crate::watch`]) and never waits for a descriptor.

use crate::log_interval::LogInterval;
use rustix::io::Errno;
use rustix::process::{getrlimit, Resource};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::io;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at, Instant};

/// Waiters retry after this time, because a released connection may be closed a moment later.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between log lines about refused descriptors.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for which clients wait behind connections to executors.
const EXECUTORS_FIRST_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns the number of descriptors that this process may open.
pub fn open_file_limit() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// Whether an operation failed because no descriptor was available.
pub fn is_descriptor_limit(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE))
}

/// A part of the process that holds descriptors.
pub trait DescriptorHolder {
    /// Returns the number of its open connections.
    fn open_connections(&self) -> usize;
    /// Starts to close an idle connection; returns false if all are in use.
    fn release_one(&self) -> bool;
}

/// The use for which the system refused a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorUse {
    Client,
    Executor,
    Bus,
}

/// The holders of descriptors and the waiters.
pub struct Descriptors {
    /// Bounds the log lines about refusals, for each [`DescriptorUse`].
    refusal_logs: [LogInterval; 3],
    holders: RefCell<Vec<Weak<dyn DescriptorHolder>>>,
    /// Number of connections to executors that wait for a descriptor.
    waiting: Cell<usize>,
    /// Number of evicted connections that are not closed yet.
    evicting: Cell<usize>,
    /// Notified when a descriptor was released.
    freed: Notify,
    /// Notified when a connection to an executor starts or stops waiting.
    changed: Notify,
}

impl Default for Descriptors {
    fn default() -> Descriptors {
        Descriptors {
            refusal_logs: [const { LogInterval::new(LOG_INTERVAL) }; 3],
            holders: RefCell::default(),
            waiting: Cell::default(),
            evicting: Cell::default(),
            freed: Notify::new(),
            changed: Notify::new(),
        }
    }
}

/// Counts one waiter until dropped.
struct Waiter<'a>(&'a Descriptors);

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
        self.0.changed.notify_one();
    }
}

impl Descriptors {
    /// Adds a holder of descriptors.
    pub fn add<H: DescriptorHolder + 'static>(&self, holder: &Rc<H>) {
        let holder: Weak<H> = Rc::downgrade(holder);
        self.holders.borrow_mut().push(holder);
    }

    /// Records that the system refused a descriptor: all descriptors of the process are in use at this instant.
    pub fn refused(&self, whom: DescriptorUse) {
        if self.refusal_logs[whom as usize].may_log() {
            tracing::warn!(?whom, most = open_file_limit(), "the system refuses a descriptor");
        }
    }

    /// Ensures that a connection is being released in addition to those that others wait for: evicts an idle one of
    /// the side that holds the most. Returns false if all are in use.
    pub fn release_one(&self) -> bool {
        if self.evicting.get() > self.waiting.get() {
            return true;
        }
        let mut holders: Vec<Rc<dyn DescriptorHolder>> =
            self.holders.borrow().iter().filter_map(Weak::upgrade).collect();
        holders.sort_by_key(|h| Reverse(h.open_connections()));
        let is_evicting = holders.iter().any(|h| h.release_one());
        self.evicting.set(self.evicting.get() + usize::from(is_evicting));
        is_evicting
    }

    /// Records that a connection was closed.
    pub fn freed(&self) {
        self.evicting.set(self.evicting.get().saturating_sub(1));
        self.freed.notify_waiters();
    }

    /// Waits for a descriptor for a connection to an executor, for a limited time. The caller gets a released
    /// descriptor if it retries at once.
    pub async fn wait_first(&self) {
        self.waiting.set(self.waiting.get() + 1);
        let waiter = Waiter(self);
        self.changed.notify_one();
        // The caller retries in any case.
        let _ = timeout(RETRY_INTERVAL, self.freed.notified()).await;
        drop(waiter);
    }

    /// Waits for a descriptor, for a limited time, with lower priority than connections to executors.
    pub async fn wait_last(&self) {
        // The caller retries in any case.
        let _ = timeout(RETRY_INTERVAL, self.freed.notified()).await;
        self.executors_first().await;
    }

    /// Returns once no connection to an executor waits for a descriptor, or after `EXECUTORS_FIRST_TIMEOUT`.
    pub async fn executors_first(&self) {
        let by = Instant::now() + EXECUTORS_FIRST_TIMEOUT;
        while self.waiting.get() > 0 && timeout_at(by, self.changed.notified()).await.is_ok() {}
    }

    /// Returns when a connection to an executor starts or stops waiting for a descriptor.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
