//! Recording of intents: an attempt of a call that is not idempotent waits, between the decision and the socket, until
//! its call's intent is on disk. A local task holds the waiting attempts. The driver does not wait for this task, and
//! attempts of idempotent calls bypass it.
//!
//! An attempt that is not sent ends as [`Outcome::Superseded`]: it is known not to have run, and does not count against its
//! worker.

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

/// A message from the driver to the recorder's task.
enum RecorderMessage {
    Attempt(Identity, Ticket, Box<Attempt>),
    Abort(RequestId, u16),
    CallEnded(Ticket),
    Worker(WorkerId, Option<Micros>),
}

/// The driver's handle of the recorder's task.
pub struct IntentRecorder {
    config: Rc<Config>,
    messages: mpsc::UnboundedSender<RecorderMessage>,
    /// Unanswered calls with an attempt passed to the task; no other calls are tracked.
    recorded: HashSet<Ticket>,
}

impl IntentRecorder {
    /// Starts the task that holds attempts; must be called inside a `LocalSet`. The task ends when the recorder is dropped.
    pub fn start(
        config: Rc<Config>,
        clock: Clock,
        intent_log: IntentLog,
        workers: Rc<Workers>,
        inputs: mpsc::Sender<Input>,
        limits: Limits,
    ) -> (IntentRecorder, tokio::task::JoinHandle<()>) {
        let (sender, messages) = mpsc::unbounded_channel();
        let (reply, events) = mpsc::unbounded_channel();
        let recorder_task = RecorderTask {
            latency: IntentLatency::default(),
            gate: IntentGate::new(limits),
            log: intent_log,
            reply,
        };
        let task = tokio::task::spawn_local(run(recorder_task, clock, messages, events, workers, inputs));
        (IntentRecorder { config, messages: sender, recorded: HashSet::new() }, task)
    }

    /// Handles an attempt that the decision module chose. Returns it if it must be sent now, because it needs no intent
    /// or has no identity to record one for.
    ///
    /// Inquiries never ask about a call without an identity: it fails when it is redelivered.
    pub fn attempt(&mut self, attempt: Attempt) -> Option<Attempt> {
        let class = self.config.classes.get(usize::from(attempt.class));
        let idempotent = class.is_none_or(|c| c.effect == Effect::Idempotent);
        let Some((identity, ticket)) = attempt.intent.filter(|_| !idempotent) else { return Some(attempt) };
        self.recorded.insert(ticket);
        // Sending can't fail, as the task ends only after this handle.
        let _ = self.messages.send(RecorderMessage::Attempt(identity, ticket, Box::new(attempt)));
        None
    }

    /// Cancels a waiting attempt. The caller must also abort it at the workers, because it may have been sent meanwhile.
    pub fn abort(&mut self, request: RequestId, attempt: u16) {
        if !self.recorded.is_empty() {
            let _ = self.messages.send(RecorderMessage::Abort(request, attempt));
        }
    }

    /// Ends the tracking of a call, because it was answered.
    pub fn call_answered(&mut self, ticket: Ticket) {
        if self.recorded.remove(&ticket) {
            let _ = self.messages.send(RecorderMessage::CallEnded(ticket));
        }
    }

    /// Reports the drain state of a worker: see [`IntentGate::set_worker_state`].
    pub fn worker_draining(&mut self, worker: WorkerId, leaving: Option<Micros>) {
        let _ = self.messages.send(RecorderMessage::Worker(worker, leaving));
    }
}

/// Number of latency samples summarized in one log line.
const SAMPLES_PER_LOG: usize = 32;

/// Times from requesting an intent until it is on disk.
#[derive(Default)]
struct IntentLatency {
    since: HashMap<Ticket, Micros>,
    samples: Vec<Micros>,
}

impl IntentLatency {
    fn begin(&mut self, ticket: Ticket, now: Micros) {
        // Bounded, because entries of intents that are never confirmed remain.
        if self.since.len() < 100_000 {
            self.since.insert(ticket, now);
        }
    }

    fn end(&mut self, ticket: Ticket, intent_log: &IntentLog, now: Micros) {
        self.samples.extend(self.since.remove(&ticket).map(|since| now - since));
        if self.samples.len() >= SAMPLES_PER_LOG {
            self.log_samples(intent_log);
        }
    }

    fn log_samples(&mut self, intent_log: &IntentLog) {
        self.samples.sort_unstable();
        let Some(longest_us) = self.samples.last().copied() else { return };
        let percentile = |part: usize| self.samples[(self.samples.len() - 1) * part / 100];
        let (half_us, p99_us, marked) = (percentile(50), percentile(99), self.samples.len());
        let commits = intent_log.commits().map(|c| c.commits);
        tracing::info!(marked, half_us, p99_us, longest_us, commits, "latency of recording intents on disk");
        self.samples.clear();
    }
}

/// The state of the recorder's task.
struct RecorderTask {
    latency: IntentLatency,
    gate: IntentGate<Attempt>,
    log: IntentLog,
    reply: EventSender,
}

impl RecorderTask {
    fn on_message(
        &mut self,
        message: RecorderMessage,
        now: Micros,
        out: &mut Vec<(AttemptId, GateDecision<Attempt>)>,
    ) {
        match message {
            RecorderMessage::Attempt(identity, ticket, attempt) => {
                let id = (attempt.request, attempt.attempt);
                let (worker, deadline) = (attempt.worker, attempt.deadline);
                let decision = self.gate.submit((ticket, id), worker, deadline, *attempt, now);
                if matches!(decision, GateDecision::Wait { record: true }) {
                    let intent = Intent { identity, number: ticket };
                    self.latency.begin(ticket, now);
                    if !self.log.record(intent, &self.reply) {
                        out.extend(self.gate.on_recorded(ticket, false, now));
                    }
                }
                out.push((id, decision));
            }
            // An attempt that was already sent is aborted at the workers.
            RecorderMessage::Abort(request, attempt) => drop(self.gate.abort((request, attempt))),
            RecorderMessage::CallEnded(ticket) => {
                let unsent = self.gate.call_ended(ticket).into_iter();
                out.extend(
                    unsent.map(|(id, attempt)| (id, GateDecision::Unsent(attempt, UnsentReason::CallEnded))),
                );
            }
            RecorderMessage::Worker(worker, leaving) => self.gate.set_worker_state(worker, leaving),
        }
    }
}

async fn run(
    mut recorder_task: RecorderTask,
    clock: Clock,
    mut messages: mpsc::UnboundedReceiver<RecorderMessage>,
    mut events: mpsc::UnboundedReceiver<LogEvent>,
    workers: Rc<Workers>,
    inputs: mpsc::Sender<Input>,
) {
    let mut alarm = Alarm::new(clock);
    let mut out = Vec::new();
    loop {
        let due = recorder_task.gate.next_deadline();
        alarm.set(due.unwrap_or_else(|| clock.now() + 60_000_000));
        tokio::select! {
            // Aborts of the driver are processed before recorded intents, so that no aborted attempt is sent.
            biased;
            message = messages.recv() => match message {
                None => return recorder_task.latency.log_samples(&recorder_task.log),
                Some(message) => recorder_task.on_message(message, clock.now(), &mut out),
            },
            event = events.recv() => {
                if let Some(LogEvent::Recorded(intent, on_disk)) = event {
                    recorder_task.latency.end(intent.number, &recorder_task.log, clock.now());
                    out.extend(recorder_task.gate.on_recorded(intent.number, on_disk, clock.now()));
                }
            }
            () = alarm.wait(), if due.is_some() => {
                let late = recorder_task.gate.take_expired(clock.now()).into_iter();
                out.extend(late.map(|(id, attempt, why)| (id, GateDecision::Unsent(attempt, why))));
            }
        }
        let mut unsent = Vec::new();
        for (id, decision) in out.drain(..) {
            match decision {
                GateDecision::Send(attempt) => workers.attempt(attempt),
                GateDecision::Wait { .. } => {}
                GateDecision::Unsent(what, why) => unsent.push((id, what, why)),
            }
        }
        // Reported after all sends, because this waits if the driver's queue is full, and attempts to send must not wait
        // with it.
        for ((request, attempt), what, why) in unsent {
            tracing::warn!(correlation = &*what.correlation, attempt, ?why, "attempt not sent to its worker");
            let result = AttemptResult::without_answer(Outcome::Superseded);
            // Sending fails only if the driver has ended.
            let _ = inputs.send(Input::AttemptEnded { request, attempt, result }).await;
        }
    }
}
