//! What a process of a front end has used, by the system's own account.

use std::fs;
use std::time::Duration;

/// Clock ticks in a second, as Linux shows processor time in `/proc`.
const TICKS_PER_SECOND: u64 = 100;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub processor: Duration,
    /// The most memory that it held at once.
    pub peak_kib: u64,
    /// Open descriptors now.
    pub descriptors: usize,
}

impl Usage {
    /// Of a running process.
    pub fn of(process: u32) -> Option<Usage> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        // The name of the program, in brackets, may hold blanks.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        Some(Usage {
            processor: Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND),
            peak_kib: peak.trim().trim_end_matches(" kB").parse().ok()?,
            descriptors: fs::read_dir(format!("/proc/{process}/fd")).ok()?.count(),
        })
    }
}
