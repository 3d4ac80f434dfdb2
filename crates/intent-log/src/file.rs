//! The files of one member's intents: the store, those quarantined, and the number of the last run beside it.

use crate::store::Opener;
use crate::{IntentLogError, LastRun};
use redb::Database;
use std::fs::{self, File};
use std::io::{self, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// Pages that the store holds in memory, in bytes.
const CACHE: usize = 8 << 20;
/// Damaged files that are kept beside the store.
const DAMAGED_MOST: u32 = 8;

pub(crate) fn store(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("marks-{name}.redb"))
}

pub(crate) fn opener(path: PathBuf) -> Opener {
    Box::new(move || Ok(Database::builder().set_cache_size(CACHE).create(&path)?))
}

/// Renames a damaged store, so that a new one can begin; the name it has then.
pub(crate) fn set_aside(path: &Path) -> io::Result<PathBuf> {
    let aside = |n: u32| path.with_extension(format!("damaged-{n}"));
    // The last name is used again and again, so that a disk that damages all does not fill.
    let free = (1..DAMAGED_MOST).find(|n| !aside(*n).exists()).unwrap_or(DAMAGED_MOST);
    fs::rename(path, aside(free))?;
    Ok(aside(free))
}

/// What a member without replicas knows of its last run: the number in a small file beside its store. It stands for a store
/// that was set back alone, not for a folder set back whole.
///
/// # Errors
/// The file can't be read; a missing or unreadable number is `Ok(None)`.
pub fn read_last_run(folder: &Path, name: &str) -> Result<Option<LastRun>, IntentLogError> {
    match fs::read_to_string(folder.join(format!("marks-{name}.run"))) {
        Ok(text) => Ok(text.trim().parse().ok().map(|run| LastRun { run, commits: 0 })),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e.into()),
    }
}

/// Writes the number of the run that begins; on disk when this returns.
pub(crate) fn note_run(folder: &Path, name: &str, run: u64) -> io::Result<()> {
    let (path, fresh) =
        (folder.join(format!("marks-{name}.run")), folder.join(format!("marks-{name}.run-new")));
    let mut file = File::create(&fresh)?;
    writeln!(file, "{run}")?;
    file.sync_all()?;
    fs::rename(fresh, path)?;
    File::open(folder)?.sync_all()
}

/// Opens a database and sees that it is whole. A file that makes the opening panic is a damaged one.
pub(crate) fn checked(opener: &mut Opener) -> Result<Database, IntentLogError> {
    let opened = catch_unwind(AssertUnwindSafe(|| {
        let mut database = opener()?;
        match database.check_integrity() {
            // False: it was not, and now is; what was not whole had not been acknowledged.
            Ok(_) => Ok(database),
            Err(e) => Err(IntentLogError::from(e)),
        }
    }));
    opened.unwrap_or_else(|_| Err(IntentLogError::Damaged("it can't be read to its end".into())))
}
