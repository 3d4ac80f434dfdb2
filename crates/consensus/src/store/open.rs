//! Opening a store, and what this replica may do with what it finds.
//!
//! | found | then |
//! | --- | --- |
//! | nothing, no guard | new, or its disk was lost: the others are asked ([`crate::replica::formation`]) |
//! | a whole store, as far as the guard tells | it goes on |
//! | a store behind its guard, damaged, or gone | quarantined by name; it begins empty and takes no part up to the guard's term |
//! | a damaged store and no guard | the same, with the highest term of all others as the bound |
//!
//! What is not told: a store and its guard set back together to an older copy. No file of this machine can
//! tell that.

use super::{key, Fingerprint, Store, StoreError, StoreFingerprint, LOG, META};
use crate::types::{Entry, LogId, Vote};
use crate::ConsensusError;
use redb::{Database, DatabaseError, ReadableTable};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

const FILE: &str = "record.redb";
const GUARD: &str = "guard";

/// What a replica may take for known of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Nothing is there.
    Pristine,
    /// Vote and log are as it left them.
    Intact,
    /// It lost what it knew; up to this term, where it is known.
    Returning(Option<u64>),
}

enum Found {
    Intact(Database),
    /// It can't be used; why.
    Damaged(String),
}

/// Opens the store in a folder, or makes one.
pub fn open(folder: &Path) -> Result<(Store, Start), ConsensusError> {
    let path = folder.join(FILE);
    let told = |why: String| ConsensusError::Store { path: path.clone(), reason: why };
    std::fs::create_dir_all(folder).map_err(|e| told(e.to_string()))?;
    let guard = StoreFingerprint::open(&folder.join(GUARD)).map_err(|e| told(format!("its guard: {e}")))?;
    let mark = guard.fingerprint();
    let existed = path.exists();
    let found = catch_unwind(AssertUnwindSafe(|| try_open(&path)));
    let found = found.unwrap_or_else(|_| Ok(Found::Damaged("it can't be read".into())))?;
    let guard = Arc::new(Mutex::new(guard));
    let wrong = match found {
        Found::Intact(db) => {
            let store = Store { db: Arc::new(db), guard: guard.clone() };
            let start = if existed || mark.is_none() {
                catch_unwind(AssertUnwindSafe(|| check_start(&store, mark)))
                    .unwrap_or_else(|_| Err("it can't be read".into()))
            } else {
                Err("it is gone".into())
            };
            match start {
                Ok(start) => return Ok((store, start)),
                Err(why) => why,
            }
        }
        Found::Damaged(why) => why,
    };
    let aside = set_aside(&path).map_err(|e| told(e.to_string()))?;
    tracing::error!(target: "stagehoist_consensus", event = "store", path = %path.display(),
        aside = %aside.display(), why = %wrong, "store quarantined");
    let db = match try_open(&path)? {
        Found::Intact(db) => Arc::new(db),
        Found::Damaged(why) => return Err(told(why)),
    };
    let store = Store { db, guard };
    let bound = mark.map(|m| m.term);
    let begun = match bound {
        Some(_) => store.set_bound(bound).and_then(|()| store.record_fingerprint(None)),
        None => Ok(()),
    };
    begun.map_err(|e| told(e.to_string()))?;
    Ok((store, Start::Returning(bound)))
}

fn try_open(path: &Path) -> Result<Found, ConsensusError> {
    let told = |why: String| ConsensusError::Store { path: path.to_path_buf(), reason: why };
    let mut db = match Database::create(path) {
        Ok(db) => db,
        Err(DatabaseError::DatabaseAlreadyOpen) => {
            return Err(ConsensusError::InUse { path: path.to_path_buf() })
        }
        Err(DatabaseError::Storage(redb::StorageError::Io(e))) if !is_content(&e) => {
            return Err(told(e.to_string()))
        }
        Err(e) => return Ok(Found::Damaged(e.to_string())),
    };
    // It is small. A part that fails its sum is mended from the commit before, which the guard then tells.
    if let Err(e) = db.check_integrity() {
        return Ok(Found::Damaged(e.to_string()));
    }
    let made = (|| -> Result<(), StoreError> {
        let write = db.begin_write()?;
        write.open_table(META)?;
        write.open_table(LOG)?;
        Ok(write.commit()?)
    })();
    Ok(match made {
        Ok(()) => Found::Intact(db),
        Err(e) => Found::Damaged(e.to_string()),
    })
}

fn is_content(e: &std::io::Error) -> bool {
    matches!(e.kind(), std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof)
}

/// Whether a store may go on as it is; the reason why not.
pub(super) fn check_start(store: &Store, mark: Option<Fingerprint>) -> Result<Start, String> {
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
    if mark.is_some_and(|m| term < m.term || end < m.last) {
        return Err(format!("it is older than it was: term {term}, end {end:?}, guard {mark:?}"));
    }
    let empty = vote.is_none() && last.is_none();
    match bound {
        Some(bound) => Ok(Start::Returning(Some(bound))),
        None if empty && mark.is_none() => Ok(Start::Pristine),
        None if empty => Err("it is empty".into()),
        None => {
            // The guard may be the part that was lost.
            store.record_fingerprint(last).map_err(|e| e.to_string())?;
            Ok(Start::Intact)
        }
    }
}

fn set_aside(path: &Path) -> std::io::Result<PathBuf> {
    let name = |n: u32| {
        let mut name = path.as_os_str().to_os_string();
        name.push(format!(".damaged-{n}"));
        PathBuf::from(name)
    };
    let free = (1..).map(name).find(|p| !p.exists());
    let aside = free.ok_or_else(|| std::io::Error::other("no name is free"))?;
    std::fs::rename(path, &aside)?;
    if let Some(folder) = path.parent() {
        std::fs::File::open(folder)?.sync_all()?;
    }
    Ok(aside)
}
