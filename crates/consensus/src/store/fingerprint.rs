//! A few bytes beside the store, by which a store that was lost or set back is recognized.
//!
//! A replica that forgot its vote or the end of its log could vote twice in a term, or let a leader be
//! elected that lacks what
//! was agreed on. So the highest term it knew and the end of its log are written here too, in a file of
//! their own.
//! The store is written first, this file next, and only then is anything answered: the file never tells
//! more than the store
//! held. The other way round where the log gets shorter. Two slots, written in turn, each with a sum: a
//! torn write costs one.

use std::fs::{File, OpenOptions};
use std::io::{Read, Result, Seek, SeekFrom, Write};
use std::path::Path;

#[cfg(test)]
mod tests;

const SLOT: usize = 48;
const MAGIC: u64 = 0x5354_4b50_4755_4152;

/// What a replica had at least.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fingerprint {
    /// The highest term that it took part in.
    pub term: u64,
    /// Term and index of the last entry of its log; zeros where it had none.
    pub last: (u64, u64),
}

/// The file of fingerprints.
#[derive(Debug)]
pub struct StoreFingerprint {
    file: File,
    sequence: u64,
    fingerprint: Option<Fingerprint>,
}

impl StoreFingerprint {
    /// Opens the file, or makes one. A file of which no slot is whole counts as none.
    pub fn open(path: &Path) -> Result<StoreFingerprint> {
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        let mut bytes = Vec::new();
        (&mut file).take(2 * SLOT as u64).read_to_end(&mut bytes)?;
        let newest = bytes.chunks_exact(SLOT).filter_map(read).max_by_key(|(turn, _)| *turn);
        if let Some(folder) = path.parent() {
            File::open(folder)?.sync_all()?;
        }
        Ok(StoreFingerprint {
            file,
            sequence: newest.map_or(0, |(turn, _)| turn),
            fingerprint: newest.map(|(_, mark)| mark),
        })
    }

    /// The newest fingerprint in the file.
    pub fn fingerprint(&self) -> Option<Fingerprint> {
        self.fingerprint
    }

    /// Writes an intent; on disk once this returns. The term never falls.
    pub fn set(&mut self, mut mark: Fingerprint) -> Result<()> {
        mark.term = mark.term.max(self.fingerprint.map_or(0, |m| m.term));
        if self.fingerprint == Some(mark) {
            return Ok(());
        }
        self.sequence += 1;
        let mut slot = Vec::with_capacity(SLOT);
        for word in [MAGIC, self.sequence, mark.term, mark.last.0, mark.last.1] {
            slot.extend_from_slice(&word.to_le_bytes());
        }
        let sum = sum(&slot);
        slot.extend_from_slice(&sum.to_le_bytes());
        self.file.seek(SeekFrom::Start((self.sequence % 2) * SLOT as u64))?;
        self.file.write_all(&slot)?;
        self.file.sync_data()?;
        self.fingerprint = Some(mark);
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

/// FNV-1a: it tells a torn write, not a malicious one.
pub fn sum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
