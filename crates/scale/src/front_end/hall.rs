//! Workers without sockets: which copies stand where, for all front ends of a scene together.

use super::scene::{hash, KEEP, LOAD, MS};
use stagehoist::{FunctionId, Micros, WorkerId};
use std::collections::HashMap;

struct Copy {
    ready: Micros,
    until: Micros,
}

/// What a call meets at its worker.
pub struct Met {
    /// As [`stagehoist::Note::copy`] has it.
    pub copy: u8,
    /// Until its run begins.
    pub wait: Micros,
    pub run: Micros,
}

/// All workers. Lanes are as many as are asked for: at the letter's traffic they are few; loads at one worker run one after
/// the other.
#[derive(Default)]
pub struct Hall {
    copies: HashMap<(WorkerId, FunctionId), Copy>,
    loading: HashMap<WorkerId, Micros>,
    swept: Micros,
}

/// How long a call of a function runs.
pub fn run_time(function: FunctionId) -> Micros {
    20 * MS + (hash(function) % 60) as Micros * MS
}

impl Hall {
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
                let loading = self.loading.entry(worker).or_insert(now);
                *loading = (*loading).max(now) + LOAD;
                let copy = Copy { ready: *loading, until: *loading + KEEP };
                let wait = copy.ready - now;
                self.copies.insert((worker, function), copy);
                self.sweep(now);
                (2, wait)
            }
        }
    }

    /// A worker's process began anew.
    pub fn restarted(&mut self, worker: WorkerId) {
        self.copies.retain(|(w, _), _| *w != worker);
        self.loading.remove(&worker);
    }

    fn sweep(&mut self, now: Micros) {
        if now - self.swept > KEEP {
            self.swept = now;
            self.copies.retain(|_, c| c.until > now);
        }
    }
}
