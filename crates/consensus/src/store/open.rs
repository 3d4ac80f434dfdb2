//! Opens a store and decides how the replica may participate with it.
//!
//! | Found on disk | Result |
//! | --- | --- |
//! | no store, no guard file | the replica is new or lost its disk; it requests the status of the others ([`crate::replica::formation`]) |
//! | an undamaged store that matches its guard file | the replica continues |
//! | a store that is older than its guard file, damaged or missing | the store is renamed into quarantine; the replica starts empty and does not participate up to the guard file's term |
//! | a damaged store, no guard file | the same, with the highest term of all others as the bound |
//!
//! Not detected: a store and its guard file that are rolled back together to an older copy. No file on this machine
//! can reveal that.

use super::{key, Fingerprint, Store, StoreError, StoreFingerprint, LOG, META};
use crate::types::{Entry, LogId, Vote};
use crate::ConsensusError;
use redb::{Database, DatabaseError, ReadableTable};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

const FILE: &str = "record.redb";
const GUARD: &str = "guard";

/// The state of a replica's store at the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The store is empty and new.
    Pristine,
    /// Vote and log are complete.
    Intact,
    /// The replica lost its vote and log, up to this term if the term is known.
    Returning(Option<u64>),
}

enum OpenedStore {
    Intact(Database),
    /// The store can't be used, for this reason.
    Damaged(String),
}

/// Opens the store in a folder, or creates it.
pub fn open(folder: &Path) -> Result<(Store, Start), ConsensusError> {
    let path = folder.join(FILE);
    let store_error = |why: String| ConsensusError::Store { path: path.clone(), reason: why };
    std::fs::create_dir_all(folder).map_err(|e| store_error(e.to_string()))?;
    let guard = StoreFingerprint::open(&folder.join(GUARD))
        .map_err(|e| store_error(format!("can't open the guard file: {e}")))?;
    let fingerprint = guard.fingerprint();
    let existed = path.exists();
    let opened = catch_unwind(AssertUnwindSafe(|| open_database(&path)));
    let opened = opened.unwrap_or_else(|_| Ok(OpenedStore::Damaged("the store can't be read".into())))?;
    let guard = Arc::new(Mutex::new(guard));
    let damage = match opened {
        OpenedStore::Intact(db) => {
            let store = Store { db: Arc::new(db), guard: guard.clone() };
            let start = if existed || fingerprint.is_none() {
                catch_unwind(AssertUnwindSafe(|| check_start(&store, fingerprint)))
                    .unwrap_or_else(|_| Err("the store can't be read".into()))
            } else {
                Err("the store is missing".into())
            };
            match start {
                Ok(start) => return Ok((store, start)),
                Err(why) => why,
            }
        }
        OpenedStore::Damaged(why) => why,
    };
    let aside = quarantine(&path).map_err(|e| store_error(e.to_string()))?;
    tracing::error!(target: "stagehoist_consensus", event = "store", path = %path.display(),
        aside = %aside.display(), why = %damage, "store quarantined");
    let db = match open_database(&path)? {
        OpenedStore::Intact(db) => Arc::new(db),
        OpenedStore::Damaged(why) => return Err(store_error(why)),
    };
    let store = Store { db, guard };
    let bound = fingerprint.map(|m| m.term);
    let recorded = match bound {
        Some(_) => store.set_bound(bound).and_then(|()| store.record_fingerprint(None)),
        None => Ok(()),
    };
    recorded.map_err(|e| store_error(e.to_string()))?;
    Ok((store, Start::Returning(bound)))
}

fn open_database(path: &Path) -> Result<OpenedStore, ConsensusError> {
    let store_error = |why: String| ConsensusError::Store { path: path.to_path_buf(), reason: why };
    let mut db = match Database::create(path) {
        Ok(db) => db,
        Err(DatabaseError::DatabaseAlreadyOpen) => {
            return Err(ConsensusError::InUse { path: path.to_path_buf() })
        }
        Err(DatabaseError::Storage(redb::StorageError::Io(e))) if !is_content_error(&e) => {
            return Err(store_error(e.to_string()))
        }
        Err(e) => return Ok(OpenedStore::Damaged(e.to_string())),
    };
    // The store is small enough for a full check. redb repairs a part with a wrong checksum by returning to the previous
    // commit, which the comparison with the guard file then detects.
    if let Err(e) = db.check_integrity() {
        return Ok(OpenedStore::Damaged(e.to_string()));
    }
    let created = (|| -> Result<(), StoreError> {
        let write = db.begin_write()?;
        write.open_table(META)?;
        write.open_table(LOG)?;
        Ok(write.commit()?)
    })();
    Ok(match created {
        Ok(()) => OpenedStore::Intact(db),
        Err(e) => OpenedStore::Damaged(e.to_string()),
    })
}

fn is_content_error(e: &std::io::Error) -> bool {
    matches!(e.kind(), std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof)
}

/// Checks whether the replica may continue with a store; the error is the reason why not.
pub(super) fn check_start(store: &Store, fingerprint: Option<Fingerprint>) -> Result<Start, String> {
    type Ends = (Option<Vote>, Option<LogId>, Option<u64>);
    let all = (|| -> Result<Ends, StoreError> {
        let read = store.db.begin_read()?;
        let table = read.open_table(LOG)?;
        for item in table.iter()? {
            postcard::from_bytes::<Entry>(item?.1.value())?;
        }
        store.get::<Option<LogId>>(key::COMMITTED)?;
        Ok((store.vote()?, store.last()?, store.bound()?))
    })();
    let (vote, last, bound) = all.map_err(|e| e.to_string())?;
    let term = vote.map_or(0, |v| v.leader_id.term).max(bound.unwrap_or(0));
    let end = last.map_or((0, 0), |l| (l.leader_id.term, l.index));
    if fingerprint.is_some_and(|m| term < m.term || end < m.last) {
        return Err(format!(
            "the store is older than its guard file: term {term}, end {end:?}, guard {fingerprint:?}"
        ));
    }
    let empty = vote.is_none() && last.is_none();
    match bound {
        Some(bound) => Ok(Start::Returning(Some(bound))),
        None if empty && fingerprint.is_none() => Ok(Start::Pristine),
        None if empty => Err("the store is empty but has a guard file".into()),
        None => {
            // The guard file may have been lost, so it is written again.
            store.record_fingerprint(last).map_err(|e| e.to_string())?;
            Ok(Start::Intact)
        }
    }
}

fn quarantine(path: &Path) -> std::io::Result<PathBuf> {
    let name = |n: u32| {
        let mut name = path.as_os_str().to_os_string();
        name.push(format!(".damaged-{n}"));
        PathBuf::from(name)
    };
    let free = (1..).map(name).find(|p| !p.exists());
    let aside =
        free.ok_or_else(|| std::io::Error::other("all file names for a quarantined store are taken"))?;
    std::fs::rename(path, &aside)?;
    if let Some(folder) = path.parent() {
        std::fs::File::open(folder)?.sync_all()?;
    }
    Ok(aside)
}
