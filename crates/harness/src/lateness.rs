//! How late the machine ran a thread of the harness's own: what a judge may hold against the machine, and no more.

use stagehoist_checker::capture::Recorder;
use stagehoist_checker::Micros;
use std::sync::mpsc::{sync_channel, RecvTimeoutError, SyncSender};
use std::thread::JoinHandle;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The thread sleeps for so long again and again.
const NAP: Duration = Duration::from_millis(1);
/// A nap that took longer than this, in microseconds, is noted as a gap. Under it lies what any busy machine does.
pub const NOTED: Micros = 20_000;
/// Gaps noted at most; a machine with more of them is no place to judge times at, and the rest counts against the judged.
const GAPS_MOST: usize = 10_000;

/// A thread that notes when it was not run. Ends when it is finished or dropped.
#[derive(Debug)]
pub struct Lateness {
    stop: Option<SyncSender<()>>,
    watcher: Option<JoinHandle<Vec<(Micros, Micros)>>>,
}

impl Lateness {
    /// Starts to watch, in the recorder's time. Where no thread can be started nothing is seen, and so nothing excused.
    pub fn start(recorder: Recorder) -> Lateness {
        let (stop, stopped) = sync_channel::<()>(0);
        let watch = move || {
            let mut gaps = Vec::new();
            let mut before = recorder.now();
            while stopped.recv_timeout(NAP) == Err(RecvTimeoutError::Timeout) {
                let now = recorder.now();
                note(&mut gaps, before, now);
                before = now;
            }
            gaps
        };
        let watcher = std::thread::Builder::new().name("lateness".into()).spawn(watch);
        if let Err(error) = &watcher {
            tracing::warn!(%error, "the machine's lateness is not watched");
        }
        Lateness { stop: Some(stop), watcher: watcher.ok() }
    }

    /// Ends the watch and gives the gaps: from, to, in order of time.
    pub fn finish(mut self) -> Vec<(Micros, Micros)> {
        self.stop = None;
        self.watcher.take().and_then(|w| w.join().ok()).unwrap_or_default()
    }
}

impl Drop for Lateness {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(watcher) = self.watcher.take() {
            // What it saw is not wanted; it ends within a nap.
            let _ = watcher.join();
        }
    }
}

/// Notes a nap that was too long: the thread was due a nap after `before` and ran at `now`.
fn note(gaps: &mut Vec<(Micros, Micros)>, before: Micros, now: Micros) {
    let due = before + NAP.as_micros() as Micros;
    if now - due > NOTED && gaps.len() < GAPS_MOST {
        gaps.push((due, now));
    }
}
