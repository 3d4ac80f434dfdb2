//! What can go wrong with a store of intents.

use std::io;

/// Intents that were to be written are then not on disk, as far as is known; intents acknowledged before still are.
#[derive(Debug, thiserror::Error)]
pub enum IntentLogError {
    /// [`crate::IntentStore::begin`] was not called yet.
    #[error("no run of this store has begun")]
    NotStarted,
    /// The store has seen a later run than the one that is to begin.
    #[error("run {requested} is not after run {last}, which is in the store")]
    RunSuperseded {
        /// The run that was to begin.
        requested: u64,
        /// The last run in the store.
        last: u64,
    },
    /// The file can't be what was written.
    #[error("the store is damaged: {0}")]
    Damaged(String),
    /// The database refuses a read or a write.
    #[error("the store can't be read or written: {0}")]
    Unavailable(String),
    /// The folder can't be made or written.
    #[error("can't use the folder of the marks: {0}")]
    Folder(#[from] io::Error),
}

impl From<redb::StorageError> for IntentLogError {
    fn from(e: redb::StorageError) -> IntentLogError {
        match e {
            redb::StorageError::Corrupted(what) => IntentLogError::Damaged(what),
            redb::StorageError::Io(e)
                if matches!(e.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof) =>
            {
                IntentLogError::Damaged(e.to_string())
            }
            other => IntentLogError::Unavailable(other.to_string()),
        }
    }
}

impl From<redb::DatabaseError> for IntentLogError {
    fn from(e: redb::DatabaseError) -> IntentLogError {
        match e {
            redb::DatabaseError::Storage(e) => e.into(),
            other => IntentLogError::Unavailable(other.to_string()),
        }
    }
}

impl From<redb::TransactionError> for IntentLogError {
    fn from(e: redb::TransactionError) -> IntentLogError {
        match e {
            redb::TransactionError::Storage(e) => e.into(),
            other => IntentLogError::Unavailable(other.to_string()),
        }
    }
}

impl From<redb::TableError> for IntentLogError {
    fn from(e: redb::TableError) -> IntentLogError {
        match e {
            redb::TableError::Storage(e) => e.into(),
            // A table of another shape under our name is not a store of ours.
            other => IntentLogError::Damaged(other.to_string()),
        }
    }
}

impl From<redb::CommitError> for IntentLogError {
    fn from(e: redb::CommitError) -> IntentLogError {
        match e {
            redb::CommitError::Storage(e) => e.into(),
            other => IntentLogError::Unavailable(other.to_string()),
        }
    }
}
