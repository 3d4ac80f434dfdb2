//! A disk in memory that fails at a chosen operation, for tests of what is stored. What was written since the last sync
//! is then there in part: each write or not, some of them torn.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// An operation that no sync has made durable yet.
#[derive(Debug)]
enum Pending {
    SetLength(u64),
    Write { offset: u64, data: Vec<u8> },
}

/// What a disk holds, and how it is to fail.
#[derive(Debug, Default)]
pub struct State {
    synced: Vec<u8>,
    live: Vec<u8>,
    pending: Vec<Pending>,
    /// How long each sync takes.
    pub stalls: Duration,
    /// Writes and syncs until it fails; None: it does not.
    pub left: Option<u64>,
    /// Writes and syncs so far.
    pub done: u64,
    /// Says that it synced, and did not.
    pub lies: bool,
}

/// A disk; clones share what it holds.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<State>>);

/// A small generator of its own: the same numbers on every run.
pub struct Draw(pub u64);

impl Draw {
    /// The next number, from 0 to below `most`.
    pub fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % most.max(1)
    }
}

fn put(bytes: &mut Vec<u8>, offset: u64, data: &[u8]) {
    let end = offset as usize + data.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[offset as usize..end].copy_from_slice(data);
}

impl Disk {
    /// A disk on which these bytes are durable.
    fn holding(bytes: Vec<u8>) -> Disk {
        let state = State { synced: bytes.clone(), live: bytes, ..State::default() };
        Disk(Arc::new(Mutex::new(state)))
    }

    /// What it holds and how it fails.
    ///
    /// # Panics
    /// Where another holder of the lock panicked.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    fn step(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state();
        if state.left == Some(0) {
            return Err(io::Error::other("the disk died"));
        }
        state.left = state.left.map(|n| n - 1);
        state.done += 1;
        Ok(state)
    }

    /// What is there after the loss of power.
    pub fn after_power_loss(&self, draw: &mut Draw) -> Disk {
        let state = self.state();
        let mut bytes = state.synced.clone();
        for operation in &state.pending {
            if draw.below(2) == 0 {
                continue;
            }
            match operation {
                Pending::SetLength(len) => bytes.resize(*len as usize, 0),
                Pending::Write { offset, data } => {
                    let is_torn = draw.below(4) == 0;
                    let whole = data.len() as u64;
                    let written = if is_torn { draw.below(whole) } else { whole };
                    put(&mut bytes, *offset, &data[..written as usize]);
                }
            }
        }
        Disk::holding(bytes)
    }

    /// A copy of it as it is now, to be set back to later.
    pub fn set_back(&self) -> Disk {
        Disk::holding(self.state().live.clone())
    }

    /// Damages every byte.
    pub fn spoil(&self) {
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
        let mut state = self.step()?;
        state.live.resize(len as usize, 0);
        state.pending.push(Pending::SetLength(len));
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        let mut state = self.step()?;
        std::thread::sleep(state.stalls);
        if !state.lies {
            for operation in std::mem::take(&mut state.pending) {
                match operation {
                    Pending::SetLength(len) => state.synced.resize(len as usize, 0),
                    Pending::Write { offset, data } => put(&mut state.synced, offset, &data),
                }
            }
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.step()?;
        put(&mut state.live, offset, data);
        state.pending.push(Pending::Write { offset, data: data.to_vec() });
        Ok(())
    }
}
