//! What can go wrong with a store of marks.

use std::io;

/// Marks that were to be written are then not on disk, as far as is known; marks acknowledged before still are.
#[derive(Debug, thiserror::Error)]
pub enum MarksError {
    #[error("no run of this store has begun")]
    NotBegun,
    #[error("run {asked} is not after run {last}, which is in the store")]
    RunGone { asked: u64, last: u64 },
    #[error("the store is damaged: {0}")]
    Damaged(String),
    #[error("the store can't be read or written: {0}")]
    Store(String),
    #[error("can't use the folder of the marks: {0}")]
    Folder(#[from] io::Error),
}

impl From<redb::StorageError> for MarksError {
    fn from(e: redb::StorageError) -> MarksError {
        match e {
            redb::StorageError::Corrupted(what) => MarksError::Damaged(what),
            redb::StorageError::Io(e)
                if matches!(e.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof) =>
            {
                MarksError::Damaged(e.to_string())
            }
            other => MarksError::Store(other.to_string()),
        }
    }
}

impl From<redb::DatabaseError> for MarksError {
    fn from(e: redb::DatabaseError) -> MarksError {
        match e {
            redb::DatabaseError::Storage(e) => e.into(),
            other => MarksError::Store(other.to_string()),
        }
    }
}

impl From<redb::TransactionError> for MarksError {
    fn from(e: redb::TransactionError) -> MarksError {
        match e {
            redb::TransactionError::Storage(e) => e.into(),
            other => MarksError::Store(other.to_string()),
        }
    }
}

impl From<redb::TableError> for MarksError {
    fn from(e: redb::TableError) -> MarksError {
        match e {
            redb::TableError::Storage(e) => e.into(),
            // A table of another shape under our name is not a store of ours.
            other => MarksError::Damaged(other.to_string()),
        }
    }
}

impl From<redb::CommitError> for MarksError {
    fn from(e: redb::CommitError) -> MarksError {
        match e {
            redb::CommitError::Storage(e) => e.into(),
            other => MarksError::Store(other.to_string()),
        }
    }
}
