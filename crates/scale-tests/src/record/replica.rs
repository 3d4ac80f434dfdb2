//! A process with one replica and no sessions of its own.

use super::fault::Outcome;
use super::lines::serve;
use super::usage::{thread, Usage};
use super::{clock, Settings};
use serde::{Deserialize, Serialize};
use stagehoist_consensus::{start, Options, ReplicaOptions, Statistics};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Windows over which peaks are taken.
const WINDOW: Duration = Duration::from_millis(200);

/// What it is given.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    pub number: u64,
    pub listen: String,
    pub store: PathBuf,
    /// How this one reaches each.
    pub replicas: BTreeMap<u64, String>,
    pub settings: Settings,
}

/// What it answers to each line.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    pub usage: Usage,
    pub leads: bool,
    pub votes: bool,
    pub sessions: usize,
    pub promised: u64,
    pub proposals: u64,
    pub changes: u64,
    pub messages_in: u64,
    pub messages_out: u64,
    /// Bytes of its store on disk.
    pub stored: u64,
    pub peak: Peak,
}

/// The most in any window since the last answer.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Peak {
    /// Share of a core that the thread of the agreement took.
    pub cores: f64,
    /// Sessions more than a window before, in a second.
    pub joins: f64,
}

/// Runs it until its input ends.
///
/// # Errors
/// It can't be started, or the kernel's account can't be read.
pub fn run(told: Told) -> Outcome<()> {
    let keep = ReplicaOptions { number: told.number, listen: told.listen, store: told.store.clone() };
    let options = Options { replica: Some(keep), ..told.settings.options(told.replicas, Vec::new()) };
    let running = start(options, clock())?;
    let figures = running.statistics();
    let peak = Arc::new(Mutex::new(Peak::default()));
    let (seen, sees) = (peak.clone(), figures.clone());
    std::thread::spawn(move || watch_peaks(&seen, &sees));
    serve(|(): ()| {
        let figures = figures.borrow().clone();
        let peak = std::mem::take(&mut *peak.lock().unwrap_or_else(PoisonError::into_inner));
        Ok(State {
            usage: Usage::now()?,
            leads: figures.is_leader,
            votes: figures.is_voter,
            sessions: figures.sessions,
            promised: figures.promised,
            proposals: figures.proposals,
            changes: figures.changes,
            messages_in: figures.messages_received,
            messages_out: figures.messages_sent,
            stored: std::fs::metadata(told.store.join("record.redb")).map_or(0, |m| m.len()),
            peak,
        })
    })
}

fn watch_peaks(peak: &Mutex<Peak>, figures: &watch::Receiver<Statistics>) {
    let (mut at, mut spent, mut sessions) = (Instant::now(), 0.0, 0);
    loop {
        std::thread::sleep(WINDOW);
        let (took, now) = (at.elapsed().as_secs_f64(), figures.borrow().sessions);
        let Ok(is) = thread() else { return };
        let mut peak = peak.lock().unwrap_or_else(PoisonError::into_inner);
        peak.cores = peak.cores.max((is - spent) / took);
        peak.joins = peak.joins.max(now.saturating_sub(sessions) as f64 / took);
        (at, spent, sessions) = (Instant::now(), is, now);
    }
}
