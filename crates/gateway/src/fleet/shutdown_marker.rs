//! A file that exists while a front end runs. If it exists at a start, the last run did not shut down in order.

use stagehoist_config::Config;
use std::fs::{create_dir_all, remove_file, File};
use std::path::{Path, PathBuf};

/// The marker file of this run.
#[derive(Debug)]
pub struct ShutdownMarker {
    path: PathBuf,
    was_unclean: bool,
}

impl ShutdownMarker {
    /// Checks for the last run's file and writes this one's; returns `None` if no recovery is configured. Blocks; to
    /// be called before a front end serves. If the file can't be written, a warning is logged and the next start
    /// assumes that this run shut down in order.
    pub fn begin(config: &Config, number: u32) -> Option<ShutdownMarker> {
        let fleet = config.fleet.as_ref()?;
        fleet.recover?;
        let folder = Path::new(fleet.folder.as_ref()?);
        let path = folder.join(format!("{number}.running"));
        let is_unclean = path.exists();
        let result = create_dir_all(folder).and_then(|()| File::create(&path)?.sync_all());
        if let Err(e) = result.and_then(|()| File::open(folder)?.sync_all()) {
            tracing::warn!(path = %path.display(), error = %e, "can't write the shutdown marker; a crash of this run will not be detected");
        }
        Some(ShutdownMarker { path, was_unclean: is_unclean })
    }

    /// Returns whether the last run did not shut down in order.
    pub fn is_unclean(&self) -> bool {
        self.was_unclean
    }

    /// Removes the file, as this run shuts down in order.
    pub fn remove(self) {
        if let Err(e) = remove_file(&self.path) {
            tracing::warn!(path = %self.path.display(), error = %e, "can't remove the shutdown marker; this run will count as crashed");
        }
    }
}
