//! How late the machine ran a thread of the stage's own: what a judge may hold against the machine, and no more.

use stagehoist_checker::capture::Recorder;
use stagehoist_checker::Micros;
use std::sync::mpsc::{sync_channel, RecvTimeoutError, SyncSender};
use std::thread::JoinHandle;
use std::time::Duration;

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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_naps_above_the_threshold_are_noted_and_the_nap_itself_is_no_gap() {
        let mut gaps = Vec::new();
        note(&mut gaps, 0, 1_200);
        note(&mut gaps, 5_000, 5_000 + 1_000 + NOTED);
        assert!(gaps.is_empty());
        note(&mut gaps, 50_000, 50_000 + 1_000 + NOTED + 1);
        assert_eq!(gaps, [(51_000, 51_000 + NOTED + 1)]);
        (0..GAPS_MOST as Micros).for_each(|n| note(&mut gaps, n * 100_000, n * 100_000 + 90_000));
        assert_eq!(gaps.len(), GAPS_MOST);
    }

    #[test]
    fn a_watch_that_is_finished_or_dropped_ends() {
        let recorder = Recorder::default();
        let seen = Lateness::start(recorder.clone());
        std::thread::sleep(Duration::from_millis(5));
        assert!(seen.finish().iter().all(|gap| 0 <= gap.0 && gap.0 < gap.1 && gap.1 <= recorder.now()));
        drop(Lateness::start(recorder));
    }
}
