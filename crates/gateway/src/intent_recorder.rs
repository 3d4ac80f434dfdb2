//! Attempts of calls that is not idempotent, between the module's choice and the socket: each waits until its call's
//! intent is on disk. One local task holds those that wait; nobody waits for it, and calls of other classes do not pass it.
//!
//! An attempt that is not sent ends as [`Outcome::Superseded`]: known not to have run, and no word against its worker.

use crate::clock::{Alarm, Clock};
use crate::state::{Attempt, AttemptResult, Input, Ticket};
use crate::workers::Workers;
use stagehoist::{Effect, Micros, Outcome, RequestId, WorkerId};
use stagehoist_config::Config;
use stagehoist_intent_log::{EventSender, Intent, IntentLog, LogEvent};
use stagehoist_recovery::intent_gate::{AttemptId, GateDecision, Limits, UnsentReason};
use stagehoist_recovery::{Identity, IntentGate};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::mpsc;

/// What the driver's side says.
enum RecorderMessage {
    Attempt(Identity, Ticket, Attempt),
    Abort(RequestId, u16),
    CallEnded(Ticket),
    Worker(WorkerId, Option<Micros>),
}

/// The driver's end.
pub struct IntentRecorder {
    config: Rc<Config>,
    messages: mpsc::UnboundedSender<RecorderMessage>,
    /// Calls that went the way of intents and are not answered; all others cost nothing here.
    recorded: HashSet<Ticket>,
}

impl IntentRecorder {
    /// Starts the task that holds attempts; must be called inside a `LocalSet`. It ends with the marker.
    pub fn start(
        config: Rc<Config>,
        clock: Clock,
        marks: IntentLog,
        workers: Rc<Workers>,
        inputs: mpsc::Sender<Input>,
        limits: Limits,
    ) -> (IntentRecorder, tokio::task::JoinHandle<()>) {
        let (words, told) = mpsc::unbounded_channel();
        let (reply, done) = mpsc::unbounded_channel();
        let holder = RecorderTask {
            latency: IntentLatency::default(),
            gate: IntentGate::new(limits),
            log: marks,
            reply,
        };
        let task = tokio::task::spawn_local(run(holder, clock, told, done, workers, inputs));
        (IntentRecorder { config, messages: words, recorded: HashSet::new() }, task)
    }

    /// An attempt was decided. Some: it needs no intent, or has no identity to intent, and is to be sent now.
    ///
    /// A call without an identity is never asked about: delivered again it fails.
    pub fn attempt(&mut self, attempt: Attempt) -> Option<Attempt> {
        let class = self.config.classes.get(usize::from(attempt.class));
        let safe = class.is_none_or(|c| c.effect == Effect::Idempotent);
        let Some((identity, ticket)) = attempt.intent.filter(|_| !safe) else { return Some(attempt) };
        self.recorded.insert(ticket);
        // The task ends only with this end.
        let _ = self.messages.send(RecorderMessage::Attempt(identity, ticket, attempt));
        None
    }

    /// An attempt is taken back; it is to be taken back from the workers too, as it may have left meanwhile.
    pub fn abort(&mut self, request: RequestId, attempt: u16) {
        if !self.recorded.is_empty() {
            let _ = self.messages.send(RecorderMessage::Abort(request, attempt));
        }
    }

    /// A call is answered.
    pub fn call_answered(&mut self, ticket: Ticket) {
        if self.recorded.remove(&ticket) {
            let _ = self.messages.send(RecorderMessage::CallEnded(ticket));
        }
    }

    /// What is known of a worker: see [`IntentGate::set_worker_state`].
    pub fn worker_draining(&mut self, worker: WorkerId, leaving: Option<Micros>) {
        let _ = self.messages.send(RecorderMessage::Worker(worker, leaving));
    }
}

/// Waits that are told in one line of the log.
const TELL: usize = 32;

/// How long intents took to be on disk.
#[derive(Default)]
struct IntentLatency {
    since: HashMap<Ticket, Micros>,
    samples: Vec<Micros>,
}

impl IntentLatency {
    fn begin(&mut self, number: Ticket, now: Micros) {
        // One that is never answered is not measured.
        if self.since.len() < 100_000 {
            self.since.insert(number, now);
        }
    }

    fn end(&mut self, number: Ticket, marks: &IntentLog, now: Micros) {
        self.samples.extend(self.since.remove(&number).map(|since| now - since));
        if self.samples.len() >= TELL {
            self.tell(marks);
        }
    }

    fn tell(&mut self, marks: &IntentLog) {
        self.samples.sort_unstable();
        let Some(longest_us) = self.samples.last().copied() else { return };
        let at = |part: usize| self.samples[(self.samples.len() - 1) * part / 100];
        let (half_us, p99_us, marked) = (at(50), at(99), self.samples.len());
        let commits = marks.commits().map(|c| c.commits);
        tracing::info!(marked, half_us, p99_us, longest_us, commits, "intents on disk");
        self.samples.clear();
    }
}

/// The task's own.
struct RecorderTask {
    latency: IntentLatency,
    gate: IntentGate<Attempt>,
    log: IntentLog,
    reply: EventSender,
}

impl RecorderTask {
    fn on_message(
        &mut self,
        word: RecorderMessage,
        now: Micros,
        out: &mut Vec<(AttemptId, GateDecision<Attempt>)>,
    ) {
        match word {
            RecorderMessage::Attempt(identity, ticket, attempt) => {
                let id = (attempt.request, attempt.attempt);
                let (worker, due) = (attempt.worker, attempt.deadline);
                let step = self.gate.submit((ticket, id), worker, due, attempt, now);
                if matches!(step, GateDecision::Wait { record: true }) {
                    let mark = Intent { identity, number: ticket };
                    self.latency.begin(ticket, now);
                    if !self.log.record(mark, &self.reply) {
                        out.extend(self.gate.on_recorded(ticket, false, now));
                    }
                }
                out.push((id, step));
            }
            // One that has left is taken back at the workers.
            RecorderMessage::Abort(request, attempt) => drop(self.gate.abort((request, attempt))),
            RecorderMessage::CallEnded(ticket) => {
                let over = self.gate.call_ended(ticket).into_iter();
                out.extend(
                    over.map(|(id, attempt)| (id, GateDecision::Unsent(attempt, UnsentReason::CallEnded))),
                );
            }
            RecorderMessage::Worker(worker, leaving) => self.gate.set_worker_state(worker, leaving),
        }
    }
}

async fn run(
    mut holder: RecorderTask,
    clock: Clock,
    mut words: mpsc::UnboundedReceiver<RecorderMessage>,
    mut done: mpsc::UnboundedReceiver<LogEvent>,
    workers: Rc<Workers>,
    inputs: mpsc::Sender<Input>,
) {
    let mut alarm = Alarm::new(clock);
    let mut out = Vec::new();
    loop {
        let due = holder.gate.next_deadline();
        alarm.set(due.unwrap_or_else(|| clock.now() + 60_000_000));
        tokio::select! {
            // What the driver took back is heard before intents that came: nothing leaves against its word.
            biased;
            word = words.recv() => match word {
                None => return holder.latency.tell(&holder.log),
                Some(word) => holder.on_message(word, clock.now(), &mut out),
            },
            answer = done.recv() => {
                if let Some(LogEvent::Recorded(mark, on_disk)) = answer {
                    holder.latency.end(mark.number, &holder.log, clock.now());
                    out.extend(holder.gate.on_recorded(mark.number, on_disk, clock.now()));
                }
            }
            () = alarm.rings(), if due.is_some() => {
                let late = holder.gate.take_expired(clock.now()).into_iter();
                out.extend(late.map(|(id, attempt, why)| (id, GateDecision::Unsent(attempt, why))));
            }
        }
        let mut unsent = Vec::new();
        for (id, step) in out.drain(..) {
            match step {
                GateDecision::Send(what) => workers.attempt(what),
                GateDecision::Wait { .. } => {}
                GateDecision::Unsent(what, why) => unsent.push((id, what, why)),
            }
        }
        // Only now, as a driver that is behind is waited for here, and what is to leave would grow stale.
        for ((request, attempt), what, why) in unsent {
            tracing::warn!(correlation = &*what.correlation, attempt, ?why, "attempt not sent");
            let result = AttemptResult::without_answer(Outcome::Superseded);
            // A driver that is gone needs no inputs.
            let _ = inputs.send(Input::AttemptEnded { request, attempt, result }).await;
        }
    }
}
