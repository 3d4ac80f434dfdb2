//! Intents of attempts on disk: what one call that is not idempotent costs.

use super::fault::{Fault, Outcome};
use super::usage::{load, Usage};
use crate::meter::allocated;
use stagehoist_intent_log::{start, Batch, Intent, IntentStore, LogEvent, LogLocation, Options};
use stagehoist_recovery::AttemptKnowledge;
use std::path::Path;
use std::time::{Duration, Instant};

fn mark(n: u64) -> Intent {
    Intent { identity: u128::from(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)) << 64 | u128::from(n), number: n }
}

/// Intents asked for at a rate, for some seconds.
#[derive(Clone, Debug, Default)]
pub struct Paced {
    /// A second.
    pub rate: f64,
    pub asked: usize,
    pub marked: usize,
    /// Commits, each with a flush, and bytes written, for each intent.
    pub commits: f64,
    pub bytes: f64,
    pub commits_a_second: f64,
    /// Until an intent is on disk, in milliseconds, sorted.
    pub ms: Vec<f64>,
    /// Processor time of an intent, in seconds: this process's, all of it.
    pub spent: f64,
    pub load: f64,
}

/// Asks for intents at an even rate. A store that is never told of a run intents nothing: the fault of a negative control.
///
/// # Errors
/// The folder can't be used.
pub fn paced(folder: &Path, rate: f64, seconds: f64, is_told: bool) -> Outcome<Paced> {
    let name = format!("paced-{}", rate.round());
    let place = LogLocation { folder: folder.into(), name, standalone: is_told };
    let (marks, thread) = start(&place, Options::default())?;
    let (reply, mut done) = tokio::sync::mpsc::unbounded_channel();
    let (was, commits) = (Usage::now()?, marks.commits().map_or(0, |w| w.commits));
    let count = (rate * seconds).round().max(1.0) as u64;
    let began = Instant::now();
    let (mut sent, mut paced) = (Vec::new(), Paced { rate, asked: count as usize, ..Paced::default() });
    let limit = began + Duration::from_secs_f64(seconds + 30.0);
    while paced.ms.len() < count as usize && Instant::now() < limit {
        while (sent.len() as u64) < count && began.elapsed().as_secs_f64() * rate >= sent.len() as f64 {
            marks.record(mark(sent.len() as u64), &reply);
            sent.push(Instant::now());
        }
        while let Ok(LogEvent::Recorded(mark, is_marked)) = done.try_recv() {
            paced.marked += usize::from(is_marked);
            paced.ms.push(sent[mark.number as usize].elapsed().as_secs_f64() * 1000.0);
        }
        std::thread::sleep(Duration::from_micros(200));
    }
    paced.ms.sort_by(f64::total_cmp);
    let (is, took) = (Usage::now()?, began.elapsed().as_secs_f64());
    // A request behind all others: the count of commits comes after the answers.
    marks.query(0, mark(0).identity, &reply);
    let _ = done.blocking_recv();
    let made = marks.commits().map_or(0, |w| w.commits) - commits;
    (paced.commits, paced.commits_a_second) = (made as f64 / count as f64, made as f64 / took);
    paced.bytes = is.written.saturating_sub(was.written) as f64 / count as f64;
    paced.spent = (is.process - was.process) / count as f64;
    paced.load = load()?;
    drop(marks);
    thread.join().map_err(|_| Fault::Ended("marks"))?;
    Ok(paced)
}

/// A store that holds so many intents.
#[derive(Clone, Copy, Debug, Default)]
pub struct Held {
    pub marks: usize,
    /// Of those, how many are known when they are asked for.
    pub known: usize,
    pub disk: f64,
    /// Allocated for them, the store's cache of at most 8 MiB with it.
    pub memory: f64,
}

/// Writes so many intents and asks for a part of them.
///
/// # Errors
/// The file can't be used.
pub fn held(folder: &Path, marks: usize, max_intents: u64) -> Outcome<Held> {
    let path = folder.join(format!("held-{marks}-{max_intents}.redb"));
    let file = path.clone();
    let opener = Box::new(move || Ok(redb::Database::builder().set_cache_size(8 << 20).create(&file)?));
    let mut store = IntentStore::open(opener, Options { max_intents, ..Options::default() }, 0)?;
    store.begin(1, None, 0)?;
    let was = allocated();
    // No batch fills the store by itself.
    let batch = (max_intents as usize / 4).clamp(1, 8192);
    for first in (0..marks).step_by(batch) {
        let some = first..marks.min(first + batch);
        let some = Batch { intents: some.map(|n| mark(n as u64)).collect(), ended: Vec::new() };
        store.commit(&some, first as i64)?;
    }
    let is = allocated();
    let step = (marks / 1000).max(1);
    let asked: Vec<usize> = (0..marks).step_by(step).collect();
    let known = asked
        .iter()
        .filter(|n| store.query(mark(**n as u64).identity, 1) == AttemptKnowledge::MayHaveRun)
        .count();
    Ok(Held {
        marks,
        known: known * marks / asked.len().max(1),
        disk: std::fs::metadata(&path)?.len() as f64,
        memory: (is - was).max(0.0),
    })
}
