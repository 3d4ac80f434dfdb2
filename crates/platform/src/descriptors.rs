//! Descriptors that the system refuses. Whoever holds more, clients or executors, is evicted with an idle connection; what is
//! let go of goes to executors' connections before a client is accepted. The event bus keeps a socket of its own
//! ([`mod@crate::watch`]) and never waits for one.

use rustix::io::Errno;
use rustix::process::{getrlimit, Resource};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::io;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at, Instant};

/// A wait for a descriptor is looked at again after so long: what was let go of may have been closed a turn later.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The log tells of refusals as often at most.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Clients wait behind executors' connections for so long at most.
const EXECUTORS_FIRST: Duration = Duration::from_millis(100);

/// Descriptors that the system lets this process have.
pub fn most() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// Whether something failed for want of a descriptor of our own.
pub fn is_want(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE))
}

/// One who holds descriptors.
pub trait DescriptorHolder {
    /// So many now.
    fn open_connections(&self) -> usize;
    /// Lets go of an idle connection soon; false where all are in progress.
    fn release_one(&self) -> bool;
}

/// Whom the system refused one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    Client,
    Executor,
    Bus,
}

/// Who holds descriptors and who waits for one.
#[derive(Default)]
pub struct Descriptors {
    /// When it was last told in the log that one was refused, for each of [`Refusal`].
    last_logged: [Cell<Option<Instant>>; 3],
    holders: RefCell<Vec<Weak<dyn DescriptorHolder>>>,
    /// Connections to executors that wait for one.
    waiting: Cell<usize>,
    /// Connections that are evicted and are not closed yet.
    coming: Cell<usize>,
    /// One was let go of.
    freed: Notify,
    /// A connection to an executor began to wait, or ceased to.
    changed: Notify,
}

/// A place among those who wait.
struct Place<'a>(&'a Descriptors);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
        self.0.changed.notify_one();
    }
}

impl Descriptors {
    /// Adds one who holds some.
    pub fn add<H: DescriptorHolder + 'static>(&self, holder: &Rc<H>) {
        let holder: Weak<H> = Rc::downgrade(holder);
        self.holders.borrow_mut().push(holder);
    }

    /// The system refused one: every descriptor that the process may have is open at this instant.
    pub fn refused(&self, whom: Refusal) {
        let (settings, now) = (&self.last_logged[whom as usize], Instant::now());
        if settings.get().is_none_or(|at| now - at >= LOG_INTERVAL) {
            settings.set(Some(now));
            tracing::warn!(?whom, most = most(), "the system refuses a descriptor");
        }
    }

    /// Sees to it that one is let go of beyond those that others wait for: an idle connection is evicted, of whoever holds
    /// more. False where all are in progress.
    pub fn release_one(&self) -> bool {
        if self.coming.get() > self.waiting.get() {
            return true;
        }
        let mut holders: Vec<Rc<dyn DescriptorHolder>> =
            self.holders.borrow().iter().filter_map(Weak::upgrade).collect();
        holders.sort_by_key(|h| Reverse(h.open_connections()));
        let comes = holders.iter().any(|h| h.release_one());
        self.coming.set(self.coming.get() + usize::from(comes));
        comes
    }

    /// A connection was closed.
    pub fn freed(&self) {
        self.coming.set(self.coming.get().saturating_sub(1));
        self.freed.notify_waiters();
    }

    /// Waits a while for one, for an executor's connection. What was let go of by then is the caller's if it asks for it at
    /// once.
    pub async fn wait_first(&self) {
        self.waiting.set(self.waiting.get() + 1);
        let place = Place(self);
        self.changed.notify_one();
        // The caller looks for itself.
        let _ = timeout(RETRY_INTERVAL, self.freed.notified()).await;
        drop(place);
    }

    /// Waits a while for one, behind executors' connections.
    pub async fn wait_last(&self) {
        // The caller looks for itself.
        let _ = timeout(RETRY_INTERVAL, self.freed.notified()).await;
        self.executors_first().await;
    }

    /// Returns once no executor's connection waits for one, or has for too long.
    pub async fn executors_first(&self) {
        let by = Instant::now() + EXECUTORS_FIRST;
        while self.waiting.get() > 0 && timeout_at(by, self.changed.notified()).await.is_ok() {}
    }

    /// Returns when an executor's connection began to wait for one.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
