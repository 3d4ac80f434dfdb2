//! Workers without sockets: which copies stand where, for all front ends of a scene together.

use super::scene::{hash, Fault, KEEP, LOAD, MS};
use stagehoist::{FunctionId, Micros, WorkerId};
use std::collections::HashMap;

/// Loads that a worker has under way at once: the emulator worker's number.
const LOADS: usize = 3;

struct Copy {
    ready: Micros,
    until: Micros,
}

/// What a call meets at its worker.
pub struct Met {
    /// As [`stagehoist::CopyReport::state`] has it.
    pub copy: u8,
    /// Until its run begins.
    pub wait: Micros,
    pub run: Micros,
}

/// All workers. Permits are as many as are asked for: at the letter's traffic they are few; loads beyond three at
/// one worker wait.
#[derive(Default)]
pub struct Hall {
    /// The store is slow: loads go one by one at each worker, and each takes twice its time.
    slow: bool,
    copies: HashMap<(WorkerId, FunctionId), Copy>,
    /// When each place for a load is free again.
    loading: HashMap<WorkerId, [Micros; LOADS]>,
    swept: Micros,
    /// Workers whose process is away, and until when.
    away: HashMap<WorkerId, (Micros, Micros)>,
}

/// How long a call of a function runs.
pub fn run_time(function: FunctionId) -> Micros {
    20 * MS + (hash(function) % 60) as Micros * MS
}

impl Hall {
    pub fn new(fault: Option<Fault>) -> Hall {
        Hall { slow: fault == Some(Fault::SlowStore), ..Hall::default() }
    }

    pub fn call(&mut self, worker: WorkerId, function: FunctionId, now: Micros) -> Met {
        let run = run_time(function);
        let (copy, wait) = self.stand(worker, function, now);
        if let Some(copy) = self.copies.get_mut(&(worker, function)) {
            copy.until = now + wait + run + KEEP;
        }
        Met { copy, wait, run }
    }

    /// Has a copy loaded where none stands: what was found, and the time until it stands.
    pub fn stand(&mut self, worker: WorkerId, function: FunctionId, now: Micros) -> (u8, Micros) {
        match self.copies.get(&(worker, function)).filter(|c| c.until > now) {
            Some(copy) if copy.ready <= now => (1, 0),
            Some(copy) => (3, copy.ready - now),
            None => {
                let places = self.loading.entry(worker).or_default();
                places.sort_unstable();
                // The last to be free, where the others are never used.
                let place = if self.slow { LOADS - 1 } else { 0 };
                places[place] = places[place].max(now) + LOAD * if self.slow { 2 } else { 1 };
                let copy = Copy { ready: places[place], until: places[place] + KEEP };
                let wait = copy.ready - now;
                self.copies.insert((worker, function), copy);
                self.sweep(now);
                (2, wait)
            }
        }
    }

    /// A worker's process ended; it is back at a time, or never, with nothing loaded.
    pub fn ended(&mut self, worker: WorkerId, now: Micros, back: Micros) {
        self.copies.retain(|(w, _), _| *w != worker);
        self.loading.remove(&worker);
        self.away.insert(worker, (now, back));
    }

    /// Whether no process is there now, so that nothing can be sent.
    pub fn is_away(&self, worker: WorkerId, now: Micros) -> bool {
        self.away.get(&worker).is_some_and(|(from, to)| (*from..*to).contains(&now))
    }

    /// Whether a process that was there then has ended since: what it had begun is lost.
    pub fn broke(&self, worker: WorkerId, then: Micros, now: Micros) -> bool {
        self.away.get(&worker).is_some_and(|(from, _)| (then..=now).contains(from))
    }

    fn sweep(&mut self, now: Micros) {
        if now - self.swept > KEEP {
            self.swept = now;
            self.copies.retain(|_, c| c.until > now);
        }
    }
}
