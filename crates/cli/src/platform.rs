//! `stagehoist platform`: a live front end on the platform's protocol, and its log, which never blocks it.

use rustix::fs::{fcntl_getfl, fcntl_setfl, fstat, FileType, OFlags};
use std::io::{self, Write};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use tracing_subscriber::fmt::MakeWriter;

#[cfg(test)]
mod tests;

/// Maximum number of log lines per second; further ones are dropped.
const MAX_LINES_PER_SECOND: u64 = 40;

pub fn run() -> ExitCode {
    match stagehoist_platform::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stagehoist: {error}");
            ExitCode::from(2)
        }
    }
}

/// A writer to standard error that drops lines instead of blocking. It drops lines beyond a maximum per second, and
/// lines that a full pipe does not take because its reader does not read. It drops no line beyond the maximum and may
/// block if `everything` is requested.
pub struct SparseLog {
    started_at: Instant,
    /// The current second (upper 32 bits), and the lines written in it (lower 32 bits).
    written: AtomicU64,
    max_per_second: u64,
}

impl SparseLog {
    /// Limits the lines per second, unless `everything` is requested.
    pub fn new(everything: bool) -> SparseLog {
        let stderr = io::stderr();
        let is_pipe = fstat(&stderr).is_ok_and(|s| FileType::from_raw_mode(s.st_mode) == FileType::Fifo);
        if is_pipe && !everything {
            if let Ok(flags) = fcntl_getfl(&stderr) {
                // If it fails, the log blocks as any other program's does.
                let _ = fcntl_setfl(&stderr, flags | OFlags::NONBLOCK);
            }
        }
        let max_per_second = if everything { u64::MAX } else { MAX_LINES_PER_SECOND };
        SparseLog { started_at: Instant::now(), written: AtomicU64::new(0), max_per_second }
    }

    fn exceeds_limit(&self) -> bool {
        let second = self.started_at.elapsed().as_secs();
        // Second and lines in one number, so that the lines of an earlier second don't count.
        let before = self.written.load(Ordering::Relaxed);
        let lines = if before >> 32 == second { (before & 0xffff_ffff) + 1 } else { 1 };
        self.written.store(second << 32 | lines.min(0xffff_ffff), Ordering::Relaxed);
        lines > self.max_per_second
    }
}

/// The writer of one line; false if the line is dropped.
pub struct Line(bool);

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0 {
            // A line that can't be written at once is dropped.
            let _ = io::stderr().write(bytes);
        }
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for SparseLog {
    type Writer = Line;
    fn make_writer(&'a self) -> Line {
        Line(!self.exceeds_limit())
    }
}
