//! The files of one member's intent log: the store, quarantined stores, and the file with the number of the last run.

use crate::store::Opener;
use crate::{IntentLogError, LastRun};
use redb::Database;
use std::fs::{self, File};
use std::io::{self, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// Size of the store's page cache, in bytes.
const CACHE_SIZE: usize = 8 << 20;
/// Maximum quarantined files kept beside the store.
const MAX_DAMAGED_FILES: u32 = 8;

pub(crate) fn store_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("marks-{name}.redb"))
}

pub(crate) fn opener(path: PathBuf) -> Opener {
    Box::new(move || Ok(Database::builder().set_cache_size(CACHE_SIZE).create(&path)?))
}

/// Renames a damaged store, so that a new one can be created, and returns its new path.
pub(crate) fn quarantine_file(path: &Path) -> io::Result<PathBuf> {
    let quarantine_path = |n: u32| path.with_extension(format!("damaged-{n}"));
    // Once all names are in use, the last one is overwritten, so that repeated damage does not fill the disk.
    let free = (1..MAX_DAMAGED_FILES).find(|n| !quarantine_path(*n).exists()).unwrap_or(MAX_DAMAGED_FILES);
    fs::rename(path, quarantine_path(free))?;
    Ok(quarantine_path(free))
}

/// Reads the number of a standalone member's last run from the file beside its store. It detects a store that was set back
/// alone, but not a whole folder that was set back.
///
/// # Errors
/// If the file cannot be read. A missing file or invalid number is `Ok(None)`.
pub fn read_last_run(folder: &Path, name: &str) -> Result<Option<LastRun>, IntentLogError> {
    match fs::read_to_string(folder.join(format!("marks-{name}.run"))) {
        Ok(text) => Ok(text.trim().parse().ok().map(|run| LastRun { run, commits: 0 })),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e.into()),
    }
}

/// Writes the number of the run that begins; it is on disk when this returns.
pub(crate) fn write_last_run(folder: &Path, name: &str, run: u64) -> io::Result<()> {
    let (path, new_path) =
        (folder.join(format!("marks-{name}.run")), folder.join(format!("marks-{name}.run-new")));
    let mut file = File::create(&new_path)?;
    writeln!(file, "{run}")?;
    file.sync_all()?;
    fs::rename(new_path, path)?;
    File::open(folder)?.sync_all()
}

/// Opens a database and checks its integrity. A panic while opening it counts as damage.
pub(crate) fn open_checked(opener: &mut Opener) -> Result<Database, IntentLogError> {
    let opened = catch_unwind(AssertUnwindSafe(|| {
        let mut database = opener()?;
        match database.check_integrity() {
            // `Ok(false)`: redb repaired the file. Only writes that had not been acknowledged were lost.
            Ok(_) => Ok(database),
            Err(e) => Err(IntentLogError::from(e)),
        }
    }));
    opened.unwrap_or_else(|_| Err(IntentLogError::Damaged("redb panicked while opening the file".into())))
}
