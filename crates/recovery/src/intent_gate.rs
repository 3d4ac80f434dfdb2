//! Attempts that wait until their call's intent is on disk. They do not block other calls. Before a waiting attempt is sent,
//! its deadline, its worker and whether it was aborted meanwhile are checked again.

use stagehoist::{Micros, RequestId, WorkerId};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Limits on the wait.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum wait for an intent; an attempt that has waited this long is not sent.
    pub max_wait: Micros,
    /// Maximum number of attempts that wait at the same time.
    pub max_waiting: usize,
    /// An attempt decided before its worker began to drain may still be sent within this time after the drain began.
    pub grace: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { max_wait: 250_000, max_waiting: 100_000, grace: 100_000 }
    }
}

/// The decision about an attempt.
#[derive(Debug, PartialEq)]
pub enum GateDecision<A> {
    /// The attempt is sent now: the intent of its call is on disk, or it needs none.
    Send(A),
    /// The attempt waits for the intent of its call.
    Wait {
        /// Whether the caller has to request that the intent is recorded.
        record: bool,
    },
    /// The attempt was certainly not sent, so nothing ran. The reason is for logs.
    Unsent(A, UnsentReason),
}

/// Why an attempt was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsentReason {
    /// The intent was not on disk in time or could not be written.
    NoIntent,
    /// The attempt's deadline had passed when the intent was on disk.
    TooLate,
    /// The worker is gone, or has been draining for longer than the grace.
    WorkerDraining,
    /// The maximum number of attempts is waiting.
    Full,
    /// The call was already answered.
    CallEnded,
}

/// Identifies an attempt: its request, and its number among the attempts of the request.
pub type AttemptId = (RequestId, u16);

/// A call whose intent was requested: whether it is on disk, and the attempts that wait for it.
#[derive(Default)]
struct Call {
    on_disk: bool,
    waiting: Vec<AttemptId>,
}

struct WaitingAttempt<A> {
    attempt: A,
    number: u64,
    worker: WorkerId,
    due: Micros,
    wait_until: Micros,
}

/// When the wait of an attempt expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Micros,
    attempt: AttemptId,
}

/// The waiting attempts of one front end, and the calls whose intents are on disk. A call's number is never reused within a
/// run of the process; its request's number may be.
pub struct IntentGate<A> {
    limits: Limits,
    calls: HashMap<u64, Call>,
    /// Calls in order of arrival.
    order: VecDeque<u64>,
    waiting: HashMap<AttemptId, WaitingAttempt<A>>,
    deadlines: BTreeSet<Deadline>,
    /// Draining workers with the time since which they drain, and gone workers with `Micros::MIN`.
    leaving: HashMap<WorkerId, Micros>,
}

impl<A> IntentGate<A> {
    /// Creates a gate without attempts.
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

    /// Returns the number of waiting attempts.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds an attempt of call `number`, which needs an intent. `due` is the deadline of the attempt.
    pub fn submit(
        &mut self,
        (number, id): (u64, AttemptId),
        worker: WorkerId,
        due: Micros,
        payload: A,
        now: Micros,
    ) -> GateDecision<A> {
        let call_state = self.calls.get(&number);
        if call_state.is_some_and(|c| c.on_disk) {
            return GateDecision::Send(payload);
        }
        if self.waiting.len() >= self.limits.max_waiting {
            return GateDecision::Unsent(payload, UnsentReason::Full);
        }
        let is_new = call_state.is_none();
        if is_new {
            self.evict();
            self.order.push_back(number);
        }
        let wait_until = due.min(now + self.limits.max_wait);
        self.deadlines.insert(Deadline { at: wait_until, attempt: id });
        self.waiting.insert(id, WaitingAttempt { attempt: payload, number, worker, due, wait_until });
        self.calls.entry(number).or_default().waiting.push(id);
        GateDecision::Wait { record: is_new }
    }

    /// Evicts calls to make room for one more. The intent of an evicted call is requested again before its next attempt.
    fn evict(&mut self) {
        while self.order.len() >= 2 * self.limits.max_waiting {
            let Some(oldest) = self.order.pop_front() else { return };
            if self.calls.get(&oldest).is_some_and(|c| c.waiting.is_empty()) {
                self.calls.remove(&oldest);
            }
        }
    }

    /// Processes the result of recording an intent: it is on disk, or (false) not known to be. Returns the decisions about
    /// the attempts that waited for it.
    pub fn on_recorded(
        &mut self,
        number: u64,
        on_disk: bool,
        now: Micros,
    ) -> Vec<(AttemptId, GateDecision<A>)> {
        // The call has ended; its intent expires by age.
        let Some(call) = self.calls.get_mut(&number) else { return Vec::new() };
        call.on_disk = on_disk;
        let ids = std::mem::take(&mut call.waiting);
        if !on_disk {
            // The next attempt requests the intent again.
            self.calls.remove(&number);
        }
        let decisions = ids.into_iter().filter_map(|id| {
            let waiting_attempt = self.remove(id)?;
            let decision = match (on_disk, self.unsent_reason(&waiting_attempt, now)) {
                (false, _) => GateDecision::Unsent(waiting_attempt.attempt, UnsentReason::NoIntent),
                (true, Some(reason)) => GateDecision::Unsent(waiting_attempt.attempt, reason),
                (true, None) => GateDecision::Send(waiting_attempt.attempt),
            };
            Some((id, decision))
        });
        decisions.collect()
    }

    /// Returns why an attempt may no longer be sent, or None if it may be sent.
    fn unsent_reason(&self, waiting_attempt: &WaitingAttempt<A>, now: Micros) -> Option<UnsentReason> {
        if now >= waiting_attempt.due {
            return Some(UnsentReason::TooLate);
        }
        let since = self.leaving.get(&waiting_attempt.worker)?;
        (now.saturating_sub(*since) > self.limits.grace).then_some(UnsentReason::WorkerDraining)
    }

    /// Aborts an attempt. Returns true if it was waiting here and will not be sent, false if it was already sent to its
    /// worker.
    pub fn abort(&mut self, id: AttemptId) -> bool {
        self.remove(id).is_some()
    }

    /// Removes an answered call and its intent; returns its waiting attempts, which are not sent.
    pub fn call_ended(&mut self, number: u64) -> Vec<(AttemptId, A)> {
        let ids = self.calls.remove(&number).unwrap_or_default().waiting;
        ids.into_iter().filter_map(|id| Some((id, self.remove(id)?.attempt))).collect()
    }

    /// Sets the state of a worker: draining since a time, gone (`Some(Micros::MIN)`), or serving (None).
    pub fn set_worker_state(&mut self, worker: WorkerId, leaving: Option<Micros>) {
        match leaving {
            Some(since) => drop(self.leaving.insert(worker, since)),
            None => drop(self.leaving.remove(&worker)),
        }
    }

    /// Returns when [`IntentGate::take_expired`] must be called next.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Removes and returns the attempts whose wait has expired. An intent recorded later applies to the call's next attempt.
    pub fn take_expired(&mut self, now: Micros) -> Vec<(AttemptId, A, UnsentReason)> {
        let due = self.deadlines.iter().take_while(|deadline| deadline.at <= now);
        let ids: Vec<AttemptId> = due.map(|deadline| deadline.attempt).collect();
        let late = ids.into_iter().filter_map(|id| {
            let waiting_attempt = self.remove(id)?;
            let reason =
                if now >= waiting_attempt.due { UnsentReason::TooLate } else { UnsentReason::NoIntent };
            Some((id, waiting_attempt.attempt, reason))
        });
        late.collect()
    }

    fn remove(&mut self, id: AttemptId) -> Option<WaitingAttempt<A>> {
        let waiting_attempt = self.waiting.remove(&id)?;
        self.deadlines.remove(&Deadline { at: waiting_attempt.wait_until, attempt: id });
        if let Some(call) = self.calls.get_mut(&waiting_attempt.number) {
            call.waiting.retain(|w| *w != id);
        }
        Some(waiting_attempt)
    }
}
