//! Attempts that wait for their call's mark on disk. No other call waits for them, and what was decided is looked at again
//! before one leaves: its time, its worker, whether it was taken back meanwhile.

use stagehoist::{Micros, RequestId, WorkerId};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Bounds of the wait.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest wait for a mark; an attempt that waited so long is not sent.
    pub longest: Micros,
    /// Attempts that wait at once.
    pub most: usize,
    /// An attempt decided before its worker began to drain still leaves within this time of that.
    pub grace: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { longest: 250_000, most: 100_000, grace: 100_000 }
    }
}

/// What becomes of an attempt.
#[derive(Debug, PartialEq)]
pub enum Step<A> {
    /// It leaves now: the mark of its call is on disk, or it needs none.
    Send(A),
    /// It waits; the mark is to be asked for where told.
    Wait { ask: bool },
    /// It never left, which is known: nothing ran. `why` is for people.
    Unsent(A, Why),
}

/// Why an attempt was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No mark in time, or it could not be written.
    NoMark,
    /// Its time was over when the mark came.
    Late,
    /// Its worker is gone, or drains for longer than its grace.
    Worker,
    /// As many wait as may.
    Full,
    /// Its call is answered.
    Over,
}

/// Which attempt: of this request, the so-and-so-many-th.
pub type AttemptId = (RequestId, u16);

/// A call whose mark was asked for: whether it is on disk, and its attempts that wait for that.
#[derive(Default)]
struct Call {
    on_disk: bool,
    waiting: Vec<AttemptId>,
}

struct Waiting<A> {
    what: A,
    number: u64,
    worker: WorkerId,
    due: Micros,
    by: Micros,
}

/// The attempts of one front end that wait, and the calls whose marks are on disk. A call's number is never used twice in a
/// run, as its request's may be.
pub struct Marked<A> {
    limits: Limits,
    calls: HashMap<u64, Call>,
    /// Calls in the order in which they came.
    order: VecDeque<u64>,
    waiting: HashMap<AttemptId, Waiting<A>>,
    by: BTreeSet<(Micros, AttemptId)>,
    /// Workers that drain, since when, and (`Micros::MIN`) those that are gone.
    leaving: HashMap<WorkerId, Micros>,
}

impl<A> Marked<A> {
    pub fn new(limits: Limits) -> Marked<A> {
        Marked {
            limits,
            calls: HashMap::new(),
            order: VecDeque::new(),
            waiting: HashMap::new(),
            by: BTreeSet::new(),
            leaving: HashMap::new(),
        }
    }

    /// Attempts that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// An attempt of the call with this number, which needs a mark, was decided; `due` is when it is cut.
    pub fn attempt(
        &mut self,
        (number, id): (u64, AttemptId),
        worker: WorkerId,
        due: Micros,
        what: A,
        now: Micros,
    ) -> Step<A> {
        let known = self.calls.get(&number);
        if known.is_some_and(|c| c.on_disk) {
            return Step::Send(what);
        }
        if self.waiting.len() >= self.limits.most {
            return Step::Unsent(what, Why::Full);
        }
        let ask = known.is_none();
        if ask {
            self.forget();
            self.order.push_back(number);
        }
        let by = due.min(now + self.limits.longest);
        self.by.insert((by, id));
        self.waiting.insert(id, Waiting { what, number, worker, due, by });
        self.calls.entry(number).or_default().waiting.push(id);
        Step::Wait { ask }
    }

    /// Makes room for one more call. One that is forgotten has its mark asked for anew before its next attempt.
    fn forget(&mut self) {
        while self.order.len() >= 2 * self.limits.most {
            let Some(oldest) = self.order.pop_front() else { return };
            if self.calls.get(&oldest).is_some_and(|c| c.waiting.is_empty()) {
                self.calls.remove(&oldest);
            }
        }
    }

    /// A mark is on disk, or (false) is not as far as is known. What becomes of the attempts that waited for it.
    pub fn marked(&mut self, number: u64, on_disk: bool, now: Micros) -> Vec<(AttemptId, Step<A>)> {
        // A call that is over has its mark go by its age.
        let Some(call) = self.calls.get_mut(&number) else { return Vec::new() };
        call.on_disk = on_disk;
        let ids = std::mem::take(&mut call.waiting);
        if !on_disk {
            // The next attempt asks anew.
            self.calls.remove(&number);
        }
        let steps = ids.into_iter().filter_map(|id| {
            let held = self.take(id)?;
            let step = match (on_disk, self.stands(&held, now)) {
                (false, _) => Step::Unsent(held.what, Why::NoMark),
                (true, Some(why)) => Step::Unsent(held.what, why),
                (true, None) => Step::Send(held.what),
            };
            Some((id, step))
        });
        steps.collect()
    }

    /// Why an attempt may not leave any more.
    fn stands(&self, held: &Waiting<A>, now: Micros) -> Option<Why> {
        if now >= held.due {
            return Some(Why::Late);
        }
        let since = self.leaving.get(&held.worker)?;
        (now.saturating_sub(*since) > self.limits.grace).then_some(Why::Worker)
    }

    /// An attempt is taken back. True: it waited here, and never leaves; else it is with its worker.
    pub fn abort(&mut self, id: AttemptId) -> bool {
        self.take(id).is_some()
    }

    /// A call is answered: its attempts that wait never leave, and its mark serves no more.
    pub fn over(&mut self, number: u64) -> Vec<(AttemptId, A)> {
        let ids = self.calls.remove(&number).unwrap_or_default().waiting;
        ids.into_iter().filter_map(|id| Some((id, self.take(id)?.what))).collect()
    }

    /// What is known of a worker: that it drains since then, or is gone (`Some(Micros::MIN)`), or serves.
    pub fn worker(&mut self, worker: WorkerId, leaving: Option<Micros>) {
        match leaving {
            Some(since) => drop(self.leaving.insert(worker, since)),
            None => drop(self.leaving.remove(&worker)),
        }
    }

    /// When [`Marked::late`] is due.
    pub fn due(&self) -> Option<Micros> {
        self.by.first().map(|(at, _)| *at)
    }

    /// Attempts that waited too long. A mark that comes later serves the call's next attempt.
    pub fn late(&mut self, now: Micros) -> Vec<(AttemptId, A, Why)> {
        let ids: Vec<AttemptId> = self.by.range(..=(now, (RequestId::MAX, u16::MAX))).map(|b| b.1).collect();
        let late = ids.into_iter().filter_map(|id| {
            let held = self.take(id)?;
            Some((id, held.what, if now >= held.due { Why::Late } else { Why::NoMark }))
        });
        late.collect()
    }

    fn take(&mut self, id: AttemptId) -> Option<Waiting<A>> {
        let held = self.waiting.remove(&id)?;
        self.by.remove(&(held.by, id));
        if let Some(call) = self.calls.get_mut(&held.number) {
            call.waiting.retain(|w| *w != id);
        }
        Some(held)
    }
}
