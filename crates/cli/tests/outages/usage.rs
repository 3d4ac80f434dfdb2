//! Resource usage of a front-end process, as reported by the operating system.

use std::fs;
use std::time::Duration;

/// Clock ticks per second, the unit of processor time in Linux's `/proc`.
const TICKS_PER_SECOND: u64 = 100;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub processor: Duration,
    /// Peak resident memory.
    pub peak_kib: u64,
    /// Currently open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads the usage of a running process.
    pub fn of(process: u32) -> Option<Usage> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        // The program name, in parentheses, may contain spaces.
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
