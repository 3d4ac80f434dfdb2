//! The guard file beside the store, which detects a store that was lost or rolled back.
//!
//! A replica that lost its vote or the end of its log could vote twice in a term, or help elect a leader that lacks
//! committed entries. So the highest term the replica knew and the end of its log are also written to a separate file.
//! The store is written first, this file second, and only then does the replica answer, so the file never records more
//! than the store held. When the log gets shorter, the order is reversed. The file has two slots, written alternately,
//! each with a checksum, so a torn write damages only one.

use std::fs::{File, OpenOptions};
use std::io::{Read, Result, Seek, SeekFrom, Write};
use std::path::Path;

#[cfg(test)]
mod tests;

const SLOT: usize = 48;
const MAGIC: u64 = 0x5354_4b50_4755_4152;

/// Lower bound of the state that a replica has stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fingerprint {
    /// The highest term in which it participated.
    pub term: u64,
    /// Term and index of the last entry of its log; zeros if the log was empty.
    pub last: (u64, u64),
}

/// The guard file, which contains the fingerprints.
#[derive(Debug)]
pub struct StoreFingerprint {
    file: File,
    sequence: u64,
    fingerprint: Option<Fingerprint>,
}

impl StoreFingerprint {
    /// Opens the file, or creates it. A file without an undamaged slot is treated as missing.
    pub fn open(path: &Path) -> Result<StoreFingerprint> {
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        let mut bytes = Vec::new();
        (&mut file).take(2 * SLOT as u64).read_to_end(&mut bytes)?;
        let newest = bytes.chunks_exact(SLOT).filter_map(read).max_by_key(|(sequence, _)| *sequence);
        if let Some(folder) = path.parent() {
            File::open(folder)?.sync_all()?;
        }
        Ok(StoreFingerprint {
            file,
            sequence: newest.map_or(0, |(sequence, _)| sequence),
            fingerprint: newest.map(|(_, fingerprint)| fingerprint),
        })
    }

    /// The newest fingerprint in the file.
    pub fn fingerprint(&self) -> Option<Fingerprint> {
        self.fingerprint
    }

    /// Writes a fingerprint, which is on disk once this returns. The term never decreases.
    pub fn set(&mut self, mut fingerprint: Fingerprint) -> Result<()> {
        fingerprint.term = fingerprint.term.max(self.fingerprint.map_or(0, |m| m.term));
        if self.fingerprint == Some(fingerprint) {
            return Ok(());
        }
        self.sequence += 1;
        let mut slot = Vec::with_capacity(SLOT);
        for word in [MAGIC, self.sequence, fingerprint.term, fingerprint.last.0, fingerprint.last.1] {
            slot.extend_from_slice(&word.to_le_bytes());
        }
        let sum = sum(&slot);
        slot.extend_from_slice(&sum.to_le_bytes());
        self.file.seek(SeekFrom::Start((self.sequence % 2) * SLOT as u64))?;
        self.file.write_all(&slot)?;
        self.file.sync_data()?;
        self.fingerprint = Some(fingerprint);
        Ok(())
    }
}

fn read(slot: &[u8]) -> Option<(u64, Fingerprint)> {
    let word = |at: usize| Some(u64::from_le_bytes(slot.get(at * 8..at * 8 + 8)?.try_into().ok()?));
    if word(0)? != MAGIC || word(5)? != sum(&slot[..40]) {
        return None;
    }
    Some((word(1)?, Fingerprint { term: word(2)?, last: (word(3)?, word(4)?) }))
}

/// Computes the FNV-1a checksum, which detects torn writes but not malicious ones.
pub fn sum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
