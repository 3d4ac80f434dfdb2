//! The file in which a front end stores its incarnation and the last view it received.
//!
//! Both are flushed to disk before anyone is notified of them, so that a confirmed tombstone is still known after
//! any kill.

use crate::store::sum;
use serde::{Deserialize, Serialize};
use stagehoist_cluster_state::ClusterView;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{Error, ErrorKind, Result, Write as _};
use std::path::{Path, PathBuf};

#[cfg(test)]
mod tests;

/// Session state of a front end that survives a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionMemory {
    pub incarnation: u64,
    pub view: ClusterView,
}

/// The session file of one member; without a path nothing is stored.
#[derive(Clone, Debug)]
pub struct SessionFile {
    path: Option<PathBuf>,
    pub memory: SessionMemory,
}

impl SessionFile {
    /// Reads the session file; a damaged file is renamed into quarantine and treated as missing.
    pub fn open(folder: Option<&Path>, member: &str) -> Result<SessionFile> {
        let Some(folder) = folder else {
            return Ok(SessionFile { path: None, memory: SessionMemory::default() });
        };
        std::fs::create_dir_all(folder)?;
        let path = folder.join(file_name(member));
        let memory = match std::fs::read(&path) {
            Ok(bytes) => match parse(&bytes) {
                Some(memory) => memory,
                None => {
                    let aside = quarantine(&path)?;
                    tracing::error!(target: "stagehoist_consensus", event = "store", path = %path.display(),
                        aside = %aside.display(), "damaged session file quarantined");
                    SessionMemory::default()
                }
            },
            Err(e) if e.kind() == ErrorKind::NotFound => SessionMemory::default(),
            Err(e) => return Err(e),
        };
        Ok(SessionFile { path: Some(path), memory })
    }

    /// Writes a change, which is on disk once this returns. On failure the memory stays unchanged.
    pub fn change(&mut self, change: impl FnOnce(&mut SessionMemory)) -> Result<()> {
        let mut memory = self.memory.clone();
        change(&mut memory);
        if memory == self.memory {
            return Ok(());
        }
        if let Some(path) = &self.path {
            let body = postcard::to_stdvec(&memory).map_err(Error::other)?;
            let new = path.with_extension("new");
            let mut file = File::create(&new)?;
            file.write_all(&sum(&body).to_le_bytes())?;
            file.write_all(&body)?;
            file.sync_all()?;
            std::fs::rename(&new, path)?;
            if let Some(folder) = path.parent() {
                File::open(folder)?.sync_all()?;
            }
        }
        self.memory = memory;
        Ok(())
    }
}

fn parse(bytes: &[u8]) -> Option<SessionMemory> {
    let (head, body) = bytes.split_first_chunk::<8>()?;
    if u64::from_le_bytes(*head) != sum(body) {
        return None;
    }
    postcard::from_bytes(body).ok()
}

fn quarantine(path: &Path) -> Result<PathBuf> {
    let free = (1..10_000).map(|n| path.with_extension(format!("damaged-{n}"))).find(|p| !p.exists());
    let aside =
        free.ok_or_else(|| Error::other("all file names for a quarantined session file are taken"))?;
    std::fs::rename(path, &aside)?;
    Ok(aside)
}

/// A file name that is valid on every platform: each byte other than a lowercase ASCII letter, digit or dash is
/// written in hexadecimal.
fn file_name(member: &str) -> String {
    let mut name = String::new();
    for byte in member.bytes() {
        match byte {
            b'a'..=b'z' | b'0'..=b'9' | b'-' => name.push(char::from(byte)),
            _ => {
                let _ = write!(name, "_{byte:02x}");
            }
        }
    }
    name + ".session"
}
