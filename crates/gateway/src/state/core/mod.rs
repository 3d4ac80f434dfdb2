//! Calls and attempts between the sockets and the decision module. It fulfils the contract of the decision module's
//! interface: one `AttemptEnded` for each `Send`, one `Loaded` for each `Load`, attempts aborted at their call's deadline,
//! timers fired in time. It makes no decisions.

mod answers;
mod calls;
mod counters;
mod endpoints;
mod execute;
mod fleet;
mod pools;
mod recovery;
mod waiting;

use super::{
    module, Arrival, AttemptResult, Command, CoreSettings, DecisionPolicy, Input, Names, PolicyFactory,
    Ticket,
};
use crate::fleet::{FleetMembership, FleetRecovery, PoolAdmission};
pub use counters::Counters;
use endpoints::WorkerDrains;
use stagehoist::{Action, Event, Micros, Outcome, RequestId, WorkerId};
use stagehoist_admission::permits::Permit;
use stagehoist_endpoints::{EndpointSet, MAX_WORKERS};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tracing::Span;
use waiting::WaitingCalls;

struct Call {
    ticket: Ticket,
    arrival: Arrival,
    class: u16,
    accepted_at: Micros,
    deadline: Micros,
    attempts: Vec<Option<AttemptInFlight>>,
    /// Outcome of the last attempt, from which the reason of a refusal or failure is derived.
    last_outcome: Option<Outcome>,
    answered: bool,
    /// Send time of the first ended attempt that may have run.
    ran_since: Option<Micros>,
    /// The permit of a call whose function is in a pool; held from when the decision module gets the call until its removal.
    permit: Option<Permit>,
    span: Span,
}

impl Call {
    /// Returns whether the call has no attempt in flight.
    fn is_idle(&self) -> bool {
        self.attempts.iter().all(Option::is_none)
    }

    /// Records an attempt's outcome, and since when the call may have run.
    fn record_outcome(&mut self, outcome: Outcome, sent_at: Micros) {
        self.last_outcome = Some(outcome);
        let never_ran =
            matches!(outcome, Outcome::ConnectFailed | Outcome::Miss | Outcome::Full | Outcome::Superseded);
        if !never_ran {
            self.ran_since = Some(self.ran_since.unwrap_or(sent_at).min(sent_at));
        }
    }
}

/// A load order without a result yet.
struct LoadOrder {
    sent_at: Micros,
    /// When the order counts as lost.
    expires_at: Micros,
}

struct AttemptInFlight {
    worker: WorkerId,
    sent_at: Micros,
    deadline: Micros,
}

/// The state of one front end.
pub struct Core {
    policy: Box<dyn DecisionPolicy>,
    settings: CoreSettings,
    names: Names,
    endpoints: EndpointSet,
    /// Until when the source of the endpoint list guarantees its validity.
    list_valid_until: Micros,
    calls: HashMap<RequestId, Call>,
    by_ticket: HashMap<Ticket, RequestId>,
    next_request: RequestId,
    timers: BTreeSet<(Micros, u32)>,
    /// When each attempt in flight is aborted.
    attempt_deadlines: BTreeSet<(Micros, RequestId, u16)>,
    /// Load orders without a result yet, and when they count as lost.
    load_orders: BTreeMap<(WorkerId, u64), LoadOrder>,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// Calls accepted in this batch, to log which of them the decision module queued.
    new_calls: Vec<RequestId>,
    /// Which workers are draining or gone; Some if attempts wait for intents.
    drains: Option<WorkerDrains>,
    /// None: not part of a fleet.
    fleet: Option<Box<FleetMembership>>,
    /// None: recovery phases are not configured.
    recovery: Option<Box<FleetRecovery>>,
    /// Calls waiting outside the decision module.
    waiting: WaitingCalls,
    /// None: no pools are configured.
    pool_admission: Option<Box<PoolAdmission>>,
    /// None: the fleet isn't divided into shards.
    shards: Option<Box<crate::shards::Shards>>,
    pub counters: Counters,
}

impl Core {
    /// Creates a front end that knows no workers yet.
    pub fn new(core_settings: CoreSettings, seed: u64, now: Micros) -> Core {
        Core::with(module, core_settings, seed, now)
    }

    /// Creates a front end as [`Core::new`] does, with the given decision policy.
    pub fn with(policy_factory: PolicyFactory, core_settings: CoreSettings, seed: u64, now: Micros) -> Core {
        let (kinds, zones) = (core_settings.kinds.clone(), core_settings.zones.clone());
        Core {
            policy: policy_factory(core_settings.settings.clone(), seed, now),
            names: Names::new(core_settings.name_limits),
            endpoints: EndpointSet::new(kinds, zones, core_settings.announcement_retention)
                .with_max_workers(core_settings.max_workers.unwrap_or(MAX_WORKERS)),
            settings: core_settings,
            list_valid_until: Micros::MAX,
            calls: HashMap::new(),
            by_ticket: HashMap::new(),
            next_request: 1,
            timers: BTreeSet::new(),
            attempt_deadlines: BTreeSet::new(),
            load_orders: BTreeMap::new(),
            events: Vec::new(),
            actions: Vec::new(),
            new_calls: Vec::new(),
            drains: None,
            fleet: None,
            recovery: None,
            waiting: WaitingCalls::default(),
            pool_admission: None,
            shards: None,
            counters: Counters::default(),
        }
    }

    /// Returns the number of accepted calls without an answer yet.
    pub fn unanswered(&self) -> usize {
        self.by_ticket.len() + self.waiting.len()
    }

    /// Returns the number of attempts in flight, including those of answered calls.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempt_deadlines.len()
    }

    /// Returns how long the endpoint list is still guaranteed to be valid; negative: how long ago the guarantee ended; None:
    /// the guarantee has no end.
    pub fn list_valid_for(&self, now: Micros) -> Option<Micros> {
        (self.list_valid_until < Micros::MAX).then(|| self.list_valid_until - now)
    }

    /// Returns the counters of requests and workers that an outdated endpoint list affected.
    pub fn confirmation_counters(&self) -> stagehoist::ConfirmationCounters {
        self.policy.confirmation_counters()
    }

    /// Returns the number of cached function names.
    pub fn names(&self) -> usize {
        self.names.len()
    }

    /// Returns the number of workers known to be ready.
    pub fn ready_workers(&self) -> usize {
        self.endpoints.ready_count()
    }

    /// Returns when [`Core::process`] must be called even without inputs.
    pub fn due(&self) -> Option<Micros> {
        if !self.events.is_empty() {
            // Executing the last batch's actions produced further events.
            return Some(Micros::MIN);
        }
        let timer = self.timers.first().map(|t| t.0);
        let attempt = self.attempt_deadlines.first().map(|a| a.0);
        let order = self.load_orders.values().map(|order| order.expires_at).min();
        let membership = self.fleet.as_ref().and_then(|p| p.due());
        let phase = self.recovery.as_ref().and_then(|s| s.due());
        let (permit, shards) = (self.pool_admission.as_ref().and_then(|e| e.due()), self.shards_due());
        [timer, attempt, order, membership, phase, self.waiting.due(), permit, shards]
            .into_iter()
            .flatten()
            .min()
    }

    /// Processes one batch: takes all inputs since the previous batch, lets the decision module decide, and appends the
    /// resulting commands.
    pub fn process(&mut self, now: Micros, inputs: &mut Vec<Input>, commands: &mut Vec<Command>) {
        for input in inputs.drain(..) {
            self.on_input(now, input, commands);
        }
        self.advance_recovery(now, commands);
        self.expire(now, commands);
        self.expire_attempts(now, commands);
        self.expire_load_orders(now);
        self.names.purge(now);
        self.fire_timers(now);
        self.admit_from_pools(now, commands);
        self.decide(now);
        self.emit_drains(now, commands);
        self.execute_actions(now, commands);
        self.confirm(now);
        self.log_queued();
    }

    /// Aborts the attempts whose deadline has passed.
    fn expire_attempts(&mut self, now: Micros, commands: &mut Vec<Command>) {
        while let Some(&(at, request, attempt)) = self.attempt_deadlines.first() {
            if at > now {
                return;
            }
            commands.push(Command::Abort { request, attempt });
            let result = AttemptResult::without_answer(Outcome::Timeout);
            self.on_attempt_ended(now, request, attempt, result, commands);
        }
    }

    fn fire_timers(&mut self, now: Micros) {
        while let Some(&(at, token)) = self.timers.first() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            self.events.push(Event::Timer { token });
        }
    }

    /// Passes all events since the last batch to the decision module, which decides once on them.
    fn decide(&mut self, now: Micros) {
        let start = std::time::Instant::now();
        self.policy.handle(now, &self.events, &mut self.actions);
        self.counters.module_ns += start.elapsed().as_nanos() as u64;
        self.counters.batches += 1;
        self.events.clear();
    }

    fn execute_actions(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.execute(now, action, commands);
        }
        self.actions = actions;
    }

    /// Logs the new calls that the decision module queued.
    fn log_queued(&mut self) {
        for request in std::mem::take(&mut self.new_calls) {
            let Some(call) = self.calls.get(&request).filter(|c| c.attempts.is_empty() && !c.answered) else {
                continue;
            };
            // The workers are counted only if the event is logged.
            let log = || tracing::debug!(ready_workers = self.endpoints.ready_count(), "call queued");
            call.span.in_scope(log);
        }
    }

    /// Handles a caller that left before its call was answered.
    fn on_client_gone(&mut self, now: Micros, ticket: Ticket, commands: &mut Vec<Command>) {
        self.counters.abandoned_calls += u64::from(self.waiting.remove(ticket));
        let Some(request) = self.by_ticket.remove(&ticket) else { return };
        self.counters.abandoned_calls += 1;
        if !self.is_waiting(request) {
            self.events.push(Event::ClientGone { request });
        }
        self.close_call(request);
        if self.settings.cancel_abandoned {
            self.cancel_attempts(now, request, commands);
        }
    }

    fn on_input(&mut self, now: Micros, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::Call(arrival) => self.on_call(now, arrival, commands),
            Input::ClientGone(ticket) => self.on_client_gone(now, ticket, commands),
            Input::AttemptEnded { request, attempt, result } => {
                self.on_attempt_ended(now, request, attempt, result, commands);
            }
            Input::HealthChecked { worker, sent, outcome, report, draining } => {
                self.on_announcement(now, worker, draining);
                self.events.push(Event::HealthChecked { worker, outcome, elapsed: now - sent, report });
            }
            Input::Loaded { worker, function, sent, outcome, copies } => {
                // An order that counted as lost is not reported again, nor as the result of the order that followed it.
                let key = (worker, function);
                if self.load_orders.get(&key).is_some_and(|order| order.sent_at <= sent) {
                    self.load_orders.remove(&key);
                    if copies > 0 {
                        self.has_copy(function, worker);
                    }
                    let elapsed = now - sent;
                    self.events.push(Event::Loaded { worker, function, outcome, elapsed, copies });
                }
            }
            Input::EndpointList(entries) => self.on_endpoint_list(entries, now),
            Input::EndpointUpdate { kind, endpoints } => {
                let update = self.endpoints.apply(kind, endpoints, now);
                self.apply_endpoint_change(update, now);
            }
            Input::ClusterStatus(status) => self.on_cluster_status(now, status, commands),
            Input::FrontEndList(list) => self.on_front_end_list(list, now, commands),
            Input::EndpointListValid { until, complete_at } => {
                self.list_valid_until = until;
                self.events.push(Event::EndpointListValid { until, complete_at });
            }
            Input::WorkerConnection { worker, open_since } => {
                self.events.push(Event::WorkerConnection { worker, open_since });
            }
            Input::EndpointListFailed => {
                let update = self.endpoints.on_list_failure();
                self.apply_endpoint_change(update, now);
            }
        }
    }
}
