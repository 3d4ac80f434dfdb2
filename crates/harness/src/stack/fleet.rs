//! The links between front ends and replicas, and the files of each process's part of the fleet.

use super::{HarnessError, Stack};
use crate::day::{Day, StoreFault};
use crate::fleet::{leader, lines, Files};
use crate::relay::{Fault, Port};
use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use tokio::sync::watch;

/// Bytes overwritten in the middle of a damaged store.
const DAMAGE: u64 = 4096;

/// A relay that has yet to be served: its port, the far side, its commands.
pub(super) type Waiting = (Port, String, watch::Receiver<Fault>);

/// What stands between the processes.
#[derive(Default)]
pub struct Between {
    /// By front end and replica's number.
    links: BTreeMap<(u32, u64), watch::Sender<Fault>>,
    /// Faults on links by their ticket; of several on one link the newest counts.
    faults: BTreeMap<u64, (u32, Fault)>,
    next: u64,
    /// Replicas' ports, kept for them while they are down.
    _listens: Vec<Port>,
    /// Lines of each front end's configuration.
    pub(super) lines: Vec<String>,
}

impl Between {
    /// Reserves the ports of all replicas and relays; the relays are yet to be served.
    pub(super) fn new(day: &Day, folder: &Path) -> Result<(Between, Vec<Waiting>), HarnessError> {
        let mut between = Between::default();
        let mut waiting = Vec::new();
        let reserve = || Port::reserve().map_err(HarnessError::Socket);
        for _ in 0..day.fleet.keepers {
            between._listens.push(reserve()?);
        }
        for front_end in 0..day.front_ends {
            let mut addresses = Vec::new();
            for (number, listen) in (1..).zip(&between._listens) {
                let port = reserve()?;
                addresses.push(port.address.to_string());
                let (command, fault) = watch::channel(Fault::None);
                waiting.push((port, listen.address.to_string(), fault));
                between.links.insert((front_end, number), command);
            }
            let own = between._listens.get(front_end as usize).map(|l| l.address.to_string());
            let files = Files::of(folder, front_end);
            let text = lines(&day.fleet, front_end, &addresses, &own.unwrap_or_default(), &files);
            between.lines.push(text);
        }
        if day.fleet.keepers > 0 {
            let file = Files::of(folder, 0).retirements;
            std::fs::write(file, "# NAME GENERATION [successor=NAME] [reason=WORDS]\n")
                .map_err(HarnessError::Config)?;
        }
        Ok((between, waiting))
    }

    /// Puts a fault on a front end's links; it stands until its ticket is given back.
    pub fn fault(&mut self, front_end: u32, fault: Fault) -> u64 {
        self.next += 1;
        self.faults.insert(self.next, (front_end, fault));
        self.tell();
        self.next
    }

    /// Ends a fault.
    pub fn heal(&mut self, ticket: u64) {
        self.faults.remove(&ticket);
        self.tell();
    }

    fn tell(&self) {
        for ((front_end, number), command) in &self.links {
            // A process's link to itself is no network's to cut.
            let own = u64::from(*front_end) + 1 == *number;
            let of = |with: u32| with == *front_end || u64::from(with) + 1 == *number;
            let newest = self.faults.values().rev().find(|(with, _)| of(*with) && !own);
            let fault = newest.map_or(Fault::None, |f| f.1);
            command.send_if_modified(|told| std::mem::replace(told, fault) != fault);
        }
    }
}

impl Stack {
    /// The front end whose replica leads, as the logs of the processes that run tell it.
    pub fn leader(&mut self) -> Option<u32> {
        let mut logs = Vec::new();
        for number in 0..self.day.fleet.keepers {
            let process = self.front_ends.get_mut(number as usize).map(|f| &mut f.process);
            if process.is_some_and(|p| matches!(p.try_wait(), Ok(None))) {
                logs.push((number, self.whole_log(number)));
            }
        }
        leader(logs.iter().map(|(number, log)| (*number, log.as_str())))
    }

    /// Asks for a function's first generation to be retired.
    pub fn retire(&self, function: &str, successor: Option<&str>) -> Result<(), HarnessError> {
        let successor = successor.map(|s| format!(" successor={s}")).unwrap_or_default();
        let line = format!("{function} 1{successor} reason=asked-by-the-day\n");
        let file = self.files(0).retirements;
        let file = std::fs::OpenOptions::new().append(true).open(file);
        file.and_then(|mut f| f.write_all(line.as_bytes())).map_err(HarnessError::Config)
    }

    /// Where the files of a front end's process are.
    pub fn files(&self, front_end: u32) -> Files {
        Files::of(self.folder.path(), front_end)
    }

    /// Copies a process's store and memory, sets them back to the last copy, or damages the store. The process must have
    /// ended, or for a copy be stopped: then it is what a crash at that moment would have left.
    pub fn befall_store(&self, front_end: u32, how: StoreFault) -> Result<(), HarnessError> {
        let files = self.files(front_end);
        let copy = self.folder.path().join(format!("copy-{front_end}"));
        let pairs = [(&files.store, copy.join("store")), (&files.fleet, copy.join("fleet"))];
        match how {
            StoreFault::Copy => {
                pairs.iter().try_for_each(|(from, to)| replace(from, to)).map_err(HarnessError::Config)
            }
            // Without a copy it is set back to nothing.
            StoreFault::SetBack => {
                pairs.iter().try_for_each(|(to, from)| replace(from, to)).map_err(HarnessError::Config)
            }
            StoreFault::Damage => damage(&files.store).map_err(HarnessError::Config),
        }
    }

    /// Copies what the processes left (configurations, logs, stores) to a folder of its own.
    pub fn keep(&self, to: &Path) -> std::io::Result<()> {
        replace(self.folder.path(), &to.join("stack"))
    }
}

/// Puts a copy of a folder in the place of another. A folder that is not there counts as empty.
pub(super) fn replace(from: &Path, to: &Path) -> std::io::Result<()> {
    if to.exists() {
        std::fs::remove_dir_all(to)?;
    }
    std::fs::create_dir_all(to)?;
    if !from.exists() {
        return Ok(());
    }
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            replace(&entry.path(), &target)?;
        } else {
            std::fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

/// Overwrites the middle of the largest file of a store.
pub(super) fn damage(store: &Path) -> std::io::Result<()> {
    use std::io::{Seek, SeekFrom};
    let mut largest = None;
    for entry in std::fs::read_dir(store)? {
        let entry = entry?;
        let length = entry.metadata()?.len();
        if entry.file_type()?.is_file() && largest.as_ref().is_none_or(|(most, _)| *most < length) {
            largest = Some((length, entry.path()));
        }
    }
    let Some((length, path)) = largest else { return Ok(()) };
    let mut file = std::fs::OpenOptions::new().write(true).open(path)?;
    let span = DAMAGE.min(length);
    file.seek(SeekFrom::Start((length - span) / 2))?;
    file.write_all(&vec![0xA5; span as usize])?;
    file.sync_all()
}

#[cfg(test)]
mod tests;
