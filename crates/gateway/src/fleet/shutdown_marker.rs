//! A file that stands while a front end runs: found at a start, it tells that the last run did not leave in order.

use stagehoist_config::Config;
use std::fs::{create_dir_all, remove_file, File};
use std::path::{Path, PathBuf};

/// The file of this run.
#[derive(Debug)]
pub struct ShutdownMarker {
    path: PathBuf,
    was_unclean: bool,
}

impl ShutdownMarker {
    /// Looks for the last run's file and writes this one's; None where no stages are told. Blocks; to be called before a
    /// front end serves. A file that can't be written is reported, and the next start counts as one in order.
    pub fn begin(config: &Config, number: u32) -> Option<ShutdownMarker> {
        let fleet = config.fleet.as_ref()?;
        fleet.recover?;
        let folder = Path::new(fleet.folder.as_ref()?);
        let path = folder.join(format!("{number}.running"));
        let unordered = path.exists();
        let written = create_dir_all(folder).and_then(|()| File::create(&path)?.sync_all());
        if let Err(e) = written.and_then(|()| File::open(folder)?.sync_all()) {
            tracing::warn!(path = %path.display(), error = %e, "a loss after this start will not be known as one");
        }
        Some(ShutdownMarker { path, was_unclean: unordered })
    }

    /// Whether the last run did not leave in order.
    pub fn is_unclean(&self) -> bool {
        self.was_unclean
    }

    /// This run leaves in order.
    pub fn remove(self) {
        if let Err(e) = remove_file(&self.path) {
            tracing::warn!(path = %self.path.display(), error = %e, "this run will count as one that fell");
        }
    }
}
