//! Implements Raft's log storage.

use super::{key, to_raft_error, Store, StoreResult, LOG};
use crate::types::{Entry, LogId, RaftStorageError, TypeConfig, Vote};
use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{LogState, OptionalSend, RaftLogReader};
use redb::Durability;
use std::fmt::Debug;
use std::ops::RangeBounds;

impl Store {
    pub(super) fn entries(&self, range: impl RangeBounds<u64>) -> StoreResult<Vec<Entry>> {
        let read = self.db.begin_read()?;
        let table = read.open_table(LOG)?;
        let mut entries = Vec::new();
        for item in table.range(range)? {
            entries.push(postcard::from_bytes(item?.1.value())?);
        }
        Ok(entries)
    }

    /// Returns the id of the entry before an index, or of the last purged entry.
    fn before(&self, index: u64) -> StoreResult<Option<LogId>> {
        let read = self.db.begin_read()?;
        let table = read.open_table(LOG)?;
        let entry = table.range(..index)?.next_back();
        match entry {
            Some(item) => Ok(Some(postcard::from_bytes::<Entry>(item?.1.value())?.log_id)),
            None => self.get(key::PURGED),
        }
    }
}

/// Write operations; each is on disk once it returns.
impl Store {
    pub(super) fn set_vote(&self, vote: &Vote) -> StoreResult<()> {
        self.write(Durability::Immediate, |w| w.put(key::VOTE, vote))?;
        self.record_fingerprint(self.last()?)
    }

    /// Appends all entries in one commit.
    pub(super) fn append_entries(&self, entries: Vec<Entry>) -> StoreResult<()> {
        let mut last = None;
        self.write(Durability::Immediate, |w| {
            last = w.append(entries)?;
            Ok(())
        })?;
        if last.is_some() {
            self.record_fingerprint(last)?;
        }
        Ok(())
    }

    /// Removes the end of the log, from this entry on. Writes the guard file first, so that it never records more than the
    /// store holds.
    pub(super) fn truncate_from(&self, from: LogId) -> StoreResult<()> {
        self.record_fingerprint(self.before(from.index)?)?;
        self.write(Durability::Immediate, |w| w.remove(from.index..))
    }

    /// Removes the beginning of the log, up to and including this entry.
    pub(super) fn purge_to(&self, upto: LogId) -> StoreResult<()> {
        self.write(Durability::Immediate, |w| {
            w.put(key::PURGED, &upto)?;
            w.remove(..=upto.index)
        })
    }
}

impl RaftLogReader<TypeConfig> for Store {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry>, RaftStorageError> {
        self.entries(range).map_err(to_raft_error)
    }
}

impl RaftLogStorage<TypeConfig> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig>, RaftStorageError> {
        let last_purged_log_id = self.get(key::PURGED).map_err(to_raft_error)?;
        Ok(LogState { last_purged_log_id, last_log_id: self.last().map_err(to_raft_error)? })
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote) -> Result<(), RaftStorageError> {
        let vote = *vote;
        self.run_blocking(move |store| store.set_vote(&vote)).await
    }

    async fn read_vote(&mut self) -> Result<Option<Vote>, RaftStorageError> {
        self.vote().map_err(to_raft_error)
    }

    async fn save_committed(&mut self, committed: Option<LogId>) -> Result<(), RaftStorageError> {
        // Not flushed: it only speeds up a restart, as the leader sends the commit index again.
        self.run_blocking(move |store| store.write(Durability::None, |w| w.put(key::COMMITTED, &committed)))
            .await
    }

    async fn read_committed(&mut self) -> Result<Option<LogId>, RaftStorageError> {
        Ok(self.get::<Option<LogId>>(key::COMMITTED).map_err(to_raft_error)?.flatten())
    }

    async fn append<I>(
        &mut self,
        entries: I,
        callback: LogFlushed<TypeConfig>,
    ) -> Result<(), RaftStorageError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries: Vec<Entry> = entries.into_iter().collect();
        self.run_blocking(move |store| store.append_entries(entries)).await?;
        callback.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, log_id: LogId) -> Result<(), RaftStorageError> {
        self.run_blocking(move |store| store.truncate_from(log_id)).await
    }

    async fn purge(&mut self, log_id: LogId) -> Result<(), RaftStorageError> {
        self.run_blocking(move |store| store.purge_to(log_id)).await
    }
}
