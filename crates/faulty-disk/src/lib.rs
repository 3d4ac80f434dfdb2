//! An in-memory disk that fails at a chosen operation, for tests of storage. After the failure, writes since the last sync
//! survive only in part: each write may be lost, and some of the surviving ones are torn.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// An operation that is not yet durable because no sync followed it.
#[derive(Debug)]
enum Pending {
    SetLength(u64),
    Write { offset: u64, data: Vec<u8> },
}

/// The contents of a disk, and its configured faults.
#[derive(Debug, Default)]
pub struct State {
    synced: Vec<u8>,
    live: Vec<u8>,
    pending: Vec<Pending>,
    /// Duration of each sync.
    pub sync_delay: Duration,
    /// Remaining operations (writes, syncs and changes of length) before the disk fails; None: it does not fail.
    pub operations_left: Option<u64>,
    /// Number of operations (writes, syncs and changes of length) so far.
    pub operations_done: u64,
    /// Whether syncs report success without making anything durable.
    pub ignores_syncs: bool,
}

/// A disk; clones share its contents.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<State>>);

/// A small random number generator (SplitMix64) that produces the same numbers on every run.
pub struct Random(pub u64);

impl Random {
    /// Returns the next number, at least 0 and below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % limit.max(1)
    }
}

fn write_at(bytes: &mut Vec<u8>, offset: u64, data: &[u8]) {
    let end = offset as usize + data.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[offset as usize..end].copy_from_slice(data);
}

impl Disk {
    /// Creates a disk on which these bytes are durable.
    fn with_contents(bytes: Vec<u8>) -> Disk {
        let state = State { synced: bytes.clone(), live: bytes, ..State::default() };
        Disk(Arc::new(Mutex::new(state)))
    }

    /// Locks and returns the contents and configured faults.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    fn begin_operation(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state();
        if state.operations_left == Some(0) {
            return Err(io::Error::other("the simulated disk failed"));
        }
        state.operations_left = state.operations_left.map(|n| n - 1);
        state.operations_done += 1;
        Ok(state)
    }

    /// Returns a disk with the contents that survive a power loss now.
    pub fn after_power_loss(&self, random: &mut Random) -> Disk {
        let state = self.state();
        let mut bytes = state.synced.clone();
        for operation in &state.pending {
            if random.below(2) == 0 {
                continue;
            }
            match operation {
                Pending::SetLength(len) => bytes.resize(*len as usize, 0),
                Pending::Write { offset, data } => {
                    let is_torn = random.below(4) == 0;
                    let length = data.len() as u64;
                    let written = if is_torn { random.below(length) } else { length };
                    write_at(&mut bytes, *offset, &data[..written as usize]);
                }
            }
        }
        Disk::with_contents(bytes)
    }

    /// Returns a copy of the disk in its current state, to be restored later.
    pub fn snapshot(&self) -> Disk {
        Disk::with_contents(self.state().live.clone())
    }

    /// Corrupts every byte.
    pub fn corrupt(&self) {
        self.state().live.iter_mut().for_each(|b| *b ^= 0x5a);
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state().live.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let state = self.state();
        let from = offset as usize;
        state.live.get(from..from + len).map(<[u8]>::to_vec).ok_or(io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        state.live.resize(len as usize, 0);
        state.pending.push(Pending::SetLength(len));
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        std::thread::sleep(state.sync_delay);
        if !state.ignores_syncs {
            for operation in std::mem::take(&mut state.pending) {
                match operation {
                    Pending::SetLength(len) => state.synced.resize(len as usize, 0),
                    Pending::Write { offset, data } => write_at(&mut state.synced, offset, &data),
                }
            }
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        write_at(&mut state.live, offset, data);
        state.pending.push(Pending::Write { offset, data: data.to_vec() });
        Ok(())
    }
}
