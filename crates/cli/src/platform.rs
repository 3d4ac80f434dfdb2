//! `stagehoist platform`: a live front end on the platform's protocol, and its log, which never holds it up.

use rustix::fs::{fcntl_getfl, fcntl_setfl, fstat, FileType, OFlags};
use std::io::{self, Write};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use tracing_subscriber::fmt::MakeWriter;

#[cfg(test)]
mod tests;

/// Lines that go to the log at most in one second; what is beyond is left out.
const LINES: u64 = 40;

pub fn run() -> ExitCode {
    match stagehoist_platform::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stagehoist: {error}");
            ExitCode::from(2)
        }
    }
}

/// A writer to standard error that leaves out lines rather than wait: beyond so many a second, and while a pipe that no one
/// reads is full.
pub struct SparseLog {
    born: Instant,
    /// The second, and the lines written in it.
    written: AtomicU64,
    most: u64,
}

impl SparseLog {
    /// With `most` lines a second; without where everything is asked for.
    pub fn new(everything: bool) -> SparseLog {
        let stderr = io::stderr();
        let is_pipe = fstat(&stderr).is_ok_and(|s| FileType::from_raw_mode(s.st_mode) == FileType::Fifo);
        if is_pipe && !everything {
            if let Ok(flags) = fcntl_getfl(&stderr) {
                // Without it the log waits as any other program's does.
                let _ = fcntl_setfl(&stderr, flags | OFlags::NONBLOCK);
            }
        }
        let most = if everything { u64::MAX } else { LINES };
        SparseLog { born: Instant::now(), written: AtomicU64::new(0), most }
    }

    fn is_over(&self) -> bool {
        let second = self.born.elapsed().as_secs();
        // Second and lines in one number: the lines of an earlier second don't count.
        let before = self.written.load(Ordering::Relaxed);
        let lines = if before >> 32 == second { (before & 0xffff_ffff) + 1 } else { 1 };
        self.written.store(second << 32 | lines.min(0xffff_ffff), Ordering::Relaxed);
        lines > self.most
    }
}

/// One line on its way.
pub struct Line(bool);

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0 {
            // What can't be written at once is left out.
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
        Line(!self.is_over())
    }
}
