//! Attempts that wait for their call's intent on disk. No other call waits for them, and what was decided is looked at again
//! before one leaves: its time, its worker, whether it was taken back meanwhile.

use stagehoist::{Micros, RequestId, WorkerId};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Bounds of the wait.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest wait for an intent; an attempt that waited so long is not sent.
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
pub enum GateDecision<A> {
    /// It leaves now: the intent of its call is on disk, or it needs none.
    Send(A),
    /// It waits for the intent of its call.
    Wait {
        /// The intent is to be asked for.
        record: bool,
    },
    /// It never left, which is known: nothing ran. `why` is for people.
    Unsent(A, UnsentReason),
}

/// Why an attempt was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsentReason {
    /// No intent in time, or it could not be written.
    NoIntent,
    /// Its time was over when the intent came.
    TooLate,
    /// Its worker is gone, or drains for longer than its grace.
    WorkerDraining,
    /// As many wait as may.
    Full,
    /// Its call is answered.
    CallEnded,
}

/// Which attempt: of this request, the so-and-so-many-th.
pub type AttemptId = (RequestId, u16);

/// A call whose intent was asked for: whether it is on disk, and its attempts that wait for that.
#[derive(Default)]
struct Call {
    on_disk: bool,
    waiting: Vec<AttemptId>,
}

struct Waiting<A> {
    attempt: A,
    number: u64,
    worker: WorkerId,
    due: Micros,
    by: Micros,
}

/// When an attempt has waited too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Micros,
    attempt: AttemptId,
}

/// The attempts of one front end that wait, and the calls whose intents are on disk. A call's number is never used twice in a
/// run, as its request's may be.
pub struct IntentGate<A> {
    limits: Limits,
    calls: HashMap<u64, Call>,
    /// Calls in the order in which they came.
    order: VecDeque<u64>,
    waiting: HashMap<AttemptId, Waiting<A>>,
    deadlines: BTreeSet<Deadline>,
    /// Workers that drain, since when, and (`Micros::MIN`) those that are gone.
    leaving: HashMap<WorkerId, Micros>,
}

impl<A> IntentGate<A> {
    /// A gate that holds nothing.
    pub fn new(limits: Limits) -> IntentGate<A> {
        IntentGate {
            limits,
            calls: HashMap::new(),
            order: VecDeque::new(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            leaving: HashMap::new(),
        }
    }

    /// Attempts that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// An attempt of the call with this number, which needs an intent, was decided; `due` is when it is cut.
    pub fn attempt(
        &mut self,
        (number, id): (u64, AttemptId),
        worker: WorkerId,
        due: Micros,
        what: A,
        now: Micros,
    ) -> GateDecision<A> {
        let known = self.calls.get(&number);
        if known.is_some_and(|c| c.on_disk) {
            return GateDecision::Send(what);
        }
        if self.waiting.len() >= self.limits.most {
            return GateDecision::Unsent(what, UnsentReason::Full);
        }
        let ask = known.is_none();
        if ask {
            self.forget();
            self.order.push_back(number);
        }
        let by = due.min(now + self.limits.longest);
        self.deadlines.insert(Deadline { at: by, attempt: id });
        self.waiting.insert(id, Waiting { attempt: what, number, worker, due, by });
        self.calls.entry(number).or_default().waiting.push(id);
        GateDecision::Wait { record: ask }
    }

    /// Makes room for one more call. One that is forgotten has its intent asked for anew before its next attempt.
    fn forget(&mut self) {
        while self.order.len() >= 2 * self.limits.most {
            let Some(oldest) = self.order.pop_front() else { return };
            if self.calls.get(&oldest).is_some_and(|c| c.waiting.is_empty()) {
                self.calls.remove(&oldest);
            }
        }
    }

    /// An intent is on disk, or (false) is not as far as is known. What becomes of the attempts that waited for it.
    pub fn on_recorded(
        &mut self,
        number: u64,
        on_disk: bool,
        now: Micros,
    ) -> Vec<(AttemptId, GateDecision<A>)> {
        // A call that is over has its intent go by its age.
        let Some(call) = self.calls.get_mut(&number) else { return Vec::new() };
        call.on_disk = on_disk;
        let ids = std::mem::take(&mut call.waiting);
        if !on_disk {
            // The next attempt asks anew.
            self.calls.remove(&number);
        }
        let steps = ids.into_iter().filter_map(|id| {
            let held = self.take(id)?;
            let step = match (on_disk, self.revocation(&held, now)) {
                (false, _) => GateDecision::Unsent(held.attempt, UnsentReason::NoIntent),
                (true, Some(why)) => GateDecision::Unsent(held.attempt, why),
                (true, None) => GateDecision::Send(held.attempt),
            };
            Some((id, step))
        });
        steps.collect()
    }

    /// Why an attempt may no longer be sent; None where it may.
    fn revocation(&self, held: &Waiting<A>, now: Micros) -> Option<UnsentReason> {
        if now >= held.due {
            return Some(UnsentReason::TooLate);
        }
        let since = self.leaving.get(&held.worker)?;
        (now.saturating_sub(*since) > self.limits.grace).then_some(UnsentReason::WorkerDraining)
    }

    /// An attempt is taken back. True: it waited here, and never leaves; else it is with its worker.
    pub fn abort(&mut self, id: AttemptId) -> bool {
        self.take(id).is_some()
    }

    /// A call is answered: its attempts that wait never leave, and its intent serves no more.
    pub fn call_ended(&mut self, number: u64) -> Vec<(AttemptId, A)> {
        let ids = self.calls.remove(&number).unwrap_or_default().waiting;
        ids.into_iter().filter_map(|id| Some((id, self.take(id)?.attempt))).collect()
    }

    /// What is known of a worker: that it drains since then, or is gone (`Some(Micros::MIN)`), or serves.
    pub fn worker(&mut self, worker: WorkerId, leaving: Option<Micros>) {
        match leaving {
            Some(since) => drop(self.leaving.insert(worker, since)),
            None => drop(self.leaving.remove(&worker)),
        }
    }

    /// When [`IntentGate::take_late`] is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Attempts that waited too long. An intent that comes later serves the call's next attempt.
    pub fn take_late(&mut self, now: Micros) -> Vec<(AttemptId, A, UnsentReason)> {
        let due = self.deadlines.iter().take_while(|deadline| deadline.at <= now);
        let ids: Vec<AttemptId> = due.map(|deadline| deadline.attempt).collect();
        let late = ids.into_iter().filter_map(|id| {
            let held = self.take(id)?;
            let why = if now >= held.due { UnsentReason::TooLate } else { UnsentReason::NoIntent };
            Some((id, held.attempt, why))
        });
        late.collect()
    }

    fn take(&mut self, id: AttemptId) -> Option<Waiting<A>> {
        let held = self.waiting.remove(&id)?;
        self.deadlines.remove(&Deadline { at: held.by, attempt: id });
        if let Some(call) = self.calls.get_mut(&held.number) {
            call.waiting.retain(|w| *w != id);
        }
        Some(held)
    }
}
