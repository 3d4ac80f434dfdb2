//! A replica's store: log, vote and applied state in one redb database, with a guard file beside it.
//!
//! Whatever Raft acknowledges is in a commit that was flushed to disk. The applied state is written without a flush.
//! Commits are ordered, so a crash loses at most the commits after the last flushed one. The applied state can't be lost
//! together with its entries, because entries are purged by a later, flushed commit.

mod fingerprint;
mod log;
mod open;
mod state_machine;
#[cfg(test)]
mod tests;

pub use fingerprint::{sum, Fingerprint, StoreFingerprint};
pub use open::{open, Start};
pub use state_machine::StateMachine;

use crate::types::{Entry, LogId, RaftStorageError, Vote};
use openraft::{AnyError, StorageIOError};
use redb::{Database, Durability, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::sync::{Arc, Mutex};

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");

/// Keys of [`META`].
mod key {
    pub const VOTE: &str = "vote";
    pub const PURGED: &str = "purged";
    pub const COMMITTED: &str = "committed";
    pub const STATE: &str = "state";
    pub const SNAPSHOT: &str = "snapshot";
    /// The term up to which this replica neither votes nor follows, because it lost its vote and log up to it.
    pub const BOUND: &str = "bound";
}

/// A replica's store on disk.
#[derive(Clone, Debug)]
pub struct Store {
    db: Arc<Database>,
    /// The guard file; locked during each write to it.
    guard: Arc<Mutex<StoreFingerprint>>,
}

/// Why a store could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("{0}")]
    Db(Box<redb::Error>),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Format(#[from] postcard::Error),
}

macro_rules! impl_from_errors {
    ($($kind:ident),*) => { $(impl From<redb::$kind> for StoreError {
        fn from(error: redb::$kind) -> StoreError { StoreError::Db(Box::new(error.into())) }
    })* };
}
impl_from_errors!(StorageError, TransactionError, TableError, CommitError);

type StoreResult<T> = Result<T, StoreError>;

/// Converts an error for Raft, which stops on a storage error.
fn to_raft_error(error: StoreError) -> RaftStorageError {
    StorageIOError::write(AnyError::new(&error)).into()
}

impl Store {
    fn get<T: DeserializeOwned>(&self, key: &str) -> StoreResult<Option<T>> {
        let read = self.db.begin_read()?;
        let table = read.open_table(META)?;
        let value = table.get(key)?;
        Ok(match value {
            Some(bytes) => Some(postcard::from_bytes(bytes.value())?),
            None => None,
        })
    }

    fn write(
        &self,
        durability: Durability,
        work: impl FnOnce(&mut Write) -> StoreResult<()>,
    ) -> StoreResult<()> {
        let mut transaction = self.db.begin_write()?;
        transaction.set_durability(durability);
        work(&mut Write(&transaction))?;
        Ok(transaction.commit()?)
    }

    /// Runs work that may wait for the disk on a blocking thread, so that heartbeats and sessions continue on the
    /// replica's thread. Callers await each operation before the next, which determines the order; redb runs one
    /// write transaction at a time.
    async fn run_blocking<T: Send + 'static>(
        &self,
        work: impl FnOnce(&Store) -> StoreResult<T> + Send + 'static,
    ) -> Result<T, RaftStorageError> {
        let store = self.clone();
        match tokio::task::spawn_blocking(move || work(&store)).await {
            Ok(done) => done.map_err(to_raft_error),
            Err(e) => Err(to_raft_error(std::io::Error::other(e).into())),
        }
    }

    /// Returns the id of the last entry of the log, or of the last purged entry.
    fn last(&self) -> StoreResult<Option<LogId>> {
        let read = self.db.begin_read()?;
        let table = read.open_table(LOG)?;
        let last = table.last()?;
        match last {
            Some((_, bytes)) => Ok(Some(postcard::from_bytes::<Entry>(bytes.value())?.log_id)),
            None => self.get(key::PURGED),
        }
    }

    fn vote(&self) -> StoreResult<Option<Vote>> {
        self.get(key::VOTE)
    }

    /// Records the current state of the store in the guard file.
    fn record_fingerprint(&self, last: Option<LogId>) -> StoreResult<()> {
        let term = self.vote()?.map_or(0, |v| v.leader_id.term);
        let last = last.map_or((0, 0), |l| (l.leader_id.term, l.index));
        let mut guard = self.guard.lock().map_err(|_| {
            std::io::Error::other("a thread panicked while holding the lock of the guard file")
        })?;
        Ok(guard.set(Fingerprint { term, last })?)
    }

    /// Returns the term up to which this replica does not participate; `None` if it lost no state.
    pub fn bound(&self) -> StoreResult<Option<u64>> {
        self.get(key::BOUND)
    }

    /// Writes the bound; blocks until it is on disk.
    fn set_bound(&self, bound: Option<u64>) -> StoreResult<()> {
        self.write(Durability::Immediate, |w| match bound {
            Some(bound) => w.put(key::BOUND, &bound),
            None => w.clear(key::BOUND),
        })
    }

    /// Writes the term up to which this replica does not participate; `None` clears it.
    pub async fn save_bound(&self, bound: Option<u64>) -> Result<(), RaftStorageError> {
        self.run_blocking(move |store| store.set_bound(bound)).await
    }
}

/// A write transaction.
struct Write<'a>(&'a redb::WriteTransaction);

impl Write<'_> {
    fn put<T: Serialize>(&mut self, key: &str, value: &T) -> StoreResult<()> {
        self.put_bytes(key, &postcard::to_stdvec(value)?)
    }

    fn put_bytes(&mut self, key: &str, bytes: &[u8]) -> StoreResult<()> {
        self.0.open_table(META)?.insert(key, bytes)?;
        Ok(())
    }

    fn clear(&mut self, key: &str) -> StoreResult<()> {
        self.0.open_table(META)?.remove(key)?;
        Ok(())
    }

    fn append(&mut self, entries: impl IntoIterator<Item = Entry>) -> StoreResult<Option<LogId>> {
        let mut table = self.0.open_table(LOG)?;
        let mut last = None;
        for entry in entries {
            table.insert(entry.log_id.index, postcard::to_stdvec(&entry)?.as_slice())?;
            last = Some(entry.log_id);
        }
        Ok(last)
    }

    fn remove(&mut self, entries: impl std::ops::RangeBounds<u64>) -> StoreResult<()> {
        Ok(self.0.open_table(LOG)?.retain_in(entries, |_, _| false)?)
    }
}
