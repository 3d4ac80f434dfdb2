//! A disk in memory that dies at a told operation. What was written since the last sync is then there in part: each write
//! or not, the last one torn.

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Debug, Default)]
pub struct State {
    synced: Vec<u8>,
    live: Vec<u8>,
    pending: Vec<(u64, Option<Vec<u8>>)>,
    /// Writes and syncs until it dies.
    pub left: Option<u64>,
    pub done: u64,
    /// Says that it synced, and did not.
    pub lies: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Disk(pub Arc<Mutex<State>>);

/// A small generator of its own: the same numbers on every run.
pub struct Draw(pub u64);

impl Draw {
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
        for (at, data) in &state.pending {
            match data {
                _ if draw.below(2) == 0 => {}
                None => bytes.resize(*at as usize, 0),
                Some(data) => {
                    let torn =
                        if draw.below(4) == 0 { draw.below(data.len() as u64) } else { data.len() as u64 };
                    put(&mut bytes, *at, &data[..torn as usize]);
                }
            }
        }
        let state = State { synced: bytes.clone(), live: bytes, ..State::default() };
        Disk(Arc::new(Mutex::new(state)))
    }

    pub fn set_back(&self) -> Disk {
        let bytes = self.state().live.clone();
        Disk(Arc::new(Mutex::new(State { synced: bytes.clone(), live: bytes, ..State::default() })))
    }

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
        state.pending.push((len, None));
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        let mut state = self.step()?;
        if !state.lies {
            for (at, data) in std::mem::take(&mut state.pending) {
                match data {
                    None => state.synced.resize(at as usize, 0),
                    Some(data) => put(&mut state.synced, at, &data),
                }
            }
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.step()?;
        put(&mut state.live, offset, data);
        state.pending.push((offset, Some(data.to_vec())));
        Ok(())
    }
}
