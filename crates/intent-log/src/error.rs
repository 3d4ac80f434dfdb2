//! Errors of the intent store.

use std::io;

/// An error of the intent store. After an error, assume that the intents of the failed commit are not on disk. Intents
/// acknowledged earlier are still on disk.
#[derive(Debug, thiserror::Error)]
pub enum IntentLogError {
    /// [`crate::IntentStore::begin`] was not called yet.
    #[error("no run of the intent store has begun")]
    NotStarted,
    /// The store contains the requested run or a later one.
    #[error("run {requested} is not later than run {last}, which is in the intent store")]
    RunSuperseded {
        /// The run that was requested to begin.
        requested: u64,
        /// The last run in the store.
        last: u64,
    },
    /// The contents of the file are invalid.
    #[error("the intent store is damaged: {0}")]
    Damaged(String),
    /// The database failed to read or write.
    #[error("the intent store cannot be read or written: {0}")]
    Unavailable(String),
    /// The folder cannot be created or written.
    #[error("cannot use the intent log folder: {0}")]
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
            // A table with the expected name but other types means that the file is not a valid intent store.
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
