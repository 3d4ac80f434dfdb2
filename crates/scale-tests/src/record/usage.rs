//! What a process and its threads cost, by the kernel's account.

use super::fault::{Fault, Outcome};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// Name of the thread on which a replica, or the sessions of a process, live; the kernel keeps its first 15 bytes.
const THREAD: &str = "stagehoist-cons";

/// What was spent since the process began, and what it holds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time of the thread of the agreement, in seconds.
    pub thread: f64,
    /// Processor time of the whole process, in seconds; counted in hundredths.
    pub process: f64,
    /// Memory that is resident now, in bytes.
    pub memory: u64,
    /// Bytes handed to the kernel, to files and sockets alike, and those that went to the disk.
    pub written: u64,
    pub to_disk: u64,
    pub descriptors: u64,
}

impl Usage {
    /// Of this process.
    ///
    /// # Errors
    /// The kernel's account can't be read.
    pub fn now() -> Outcome<Usage> {
        let stat = read("/proc/self/stat")?;
        // Behind the closing bracket of the name: state is the first word, user and system time words 12 and 13.
        let words: Vec<&str> =
            stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace().collect();
        let ticks = |at: usize| words.get(at).and_then(|w| w.parse::<f64>().ok());
        let missing = |what| Fault::Missing { path: "/proc/self".into(), what };
        let process = ticks(11).zip(ticks(12)).map(|(user, system)| (user + system) / 100.0);
        let io = read("/proc/self/io")?;
        let status = read("/proc/self/status")?;
        Ok(Usage {
            thread: thread()?,
            process: process.ok_or_else(|| missing("times"))?,
            memory: field(&status, "VmRSS:").ok_or_else(|| missing("VmRSS"))? * 1024,
            written: field(&io, "wchar:").ok_or_else(|| missing("wchar"))?,
            to_disk: field(&io, "write_bytes:").ok_or_else(|| missing("write_bytes"))?,
            descriptors: std::fs::read_dir("/proc/self/fd")?.count() as u64,
        })
    }
}

fn read(path: impl AsRef<Path>) -> Outcome<String> {
    let path = path.as_ref();
    std::fs::read_to_string(path).map_err(|source| Fault::Read { path: path.into(), source })
}

fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|l| l.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Processor time of the thread of the agreement, in seconds; 0 where there is none.
pub fn thread() -> Outcome<f64> {
    let mut spent = 0.0;
    for task in std::fs::read_dir("/proc/self/task")? {
        let task: PathBuf = task?.path();
        if std::fs::read_to_string(task.join("comm")).is_ok_and(|c| c.trim() == THREAD) {
            let stat = read(task.join("schedstat"))?;
            spent += stat.split_whitespace().next().and_then(|w| w.parse::<f64>().ok()).unwrap_or(0.0) / 1e9;
        }
    }
    Ok(spent)
}

/// The machine's load over the last minute.
///
/// # Errors
/// The kernel's account can't be read.
pub fn load() -> Outcome<f64> {
    let text = read("/proc/loadavg")?;
    let first = text.split_whitespace().next().and_then(|w| w.parse().ok());
    first.ok_or(Fault::Missing { path: "/proc/loadavg".into(), what: "load" })
}
