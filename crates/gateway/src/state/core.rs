//! Calls and attempts between sockets and the module. It keeps what the module's interface promises: one `Ended` for
//! each `Send`, one `Loaded` for each `Load`, attempts cut at their call's deadline, timers in time. It decides nothing.

use super::{
    module, Answer, Arrival, Attempt, AttemptResult, Command, Decide, Decider, Figures, Names, News, Ticket,
};
use stagehoist::{Action, Ended, Event, Micros, Outcome, Request, RequestId, RosterForm, WorkerId};
use stagehoist_membership::{Members, Update};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use tracing::Span;

/// What a front end has done, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Refused before the module saw them: unknown function, or more calls than may be held.
    pub turned_away: u64,
    pub gone: u64,
    pub attempts: u64,
    /// Of these, those after the first for their call.
    pub further_attempts: u64,
    pub loads: u64,
    pub unloads: u64,
    pub probes: u64,
    pub batches: u64,
    /// Time spent in the module, in nanoseconds.
    pub module_ns: u64,
}

struct Call {
    ticket: Ticket,
    arrival: Arrival,
    class: u16,
    taken: Micros,
    deadline: Micros,
    attempts: Vec<Option<Flight>>,
    /// How the last attempt ended, for the reason told with a refusal or failure.
    last: Option<Outcome>,
    answered: bool,
    span: Span,
}

struct Flight {
    worker: WorkerId,
    sent: Micros,
    due: Micros,
}

/// One front end's state.
pub struct Core {
    decides: Box<dyn Decide>,
    figures: Figures,
    names: Names,
    members: Members,
    calls: HashMap<RequestId, Call>,
    by_ticket: HashMap<Ticket, RequestId>,
    next_request: RequestId,
    timers: BTreeSet<(Micros, u32)>,
    /// When each attempt that is out is cut.
    cuts: BTreeSet<(Micros, RequestId, u16)>,
    /// Loads ordered and not answered yet, and when they count as lost.
    orders: BTreeMap<(WorkerId, u64), (Micros, Micros)>,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// Calls taken in this turn, to tell which of them the module holds.
    fresh: Vec<RequestId>,
    pub counters: Counters,
}

impl Core {
    /// A front end without workers, as it is before the first list came.
    pub fn new(figures: Figures, seed: u64, now: Micros) -> Core {
        Core::with(module, figures, seed, now)
    }

    /// The same, with decisions told.
    pub fn with(decider: Decider, figures: Figures, seed: u64, now: Micros) -> Core {
        let (kinds, zones) = (figures.kinds.clone(), figures.zones.clone());
        Core {
            decides: decider(figures.settings.clone(), seed, now),
            names: Names::new(figures.names.0, figures.names.1),
            members: Members::new(kinds, zones, figures.announcement_keep),
            figures,
            calls: HashMap::new(),
            by_ticket: HashMap::new(),
            next_request: 1,
            timers: BTreeSet::new(),
            cuts: BTreeSet::new(),
            orders: BTreeMap::new(),
            events: Vec::new(),
            actions: Vec::new(),
            fresh: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Calls taken and not answered yet.
    pub fn unanswered(&self) -> usize {
        self.by_ticket.len()
    }

    /// Attempts that are out, those of answered calls too.
    pub fn out(&self) -> usize {
        self.cuts.len()
    }

    /// Functions whose names are kept.
    pub fn names(&self) -> usize {
        self.names.len()
    }

    /// Workers that are ready as far as is known.
    pub fn ready_workers(&self) -> usize {
        self.members.ready()
    }

    /// When [`Core::turn`] is due though nothing came.
    pub fn due(&self) -> Option<Micros> {
        if !self.events.is_empty() {
            // Something ended while the last batch's choices were carried out.
            return Some(Micros::MIN);
        }
        let timer = self.timers.first().map(|t| t.0);
        let cut = self.cuts.first().map(|c| c.0);
        let order = self.orders.values().map(|o| o.1).min();
        [timer, cut, order].into_iter().flatten().min()
    }

    /// One batch: all news since the last, the module's choices, and what they mean for sockets.
    pub fn turn(&mut self, now: Micros, news: &mut Vec<News>, out: &mut Vec<Command>) {
        for item in news.drain(..) {
            self.take(now, item, out);
        }
        while let Some(&(at, request, attempt)) = self.cuts.first() {
            if at > now {
                break;
            }
            out.push(Command::Abort { request, attempt });
            self.end_attempt(now, request, attempt, AttemptResult::bare(Outcome::Timeout), out);
        }
        self.lose_orders(now);
        self.names.purge(now);
        while let Some(&(at, token)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.events.push(Event::Timer { token });
        }
        let start = std::time::Instant::now();
        self.decides.handle(now, &self.events, &mut self.actions);
        self.counters.module_ns += start.elapsed().as_nanos() as u64;
        self.counters.batches += 1;
        self.events.clear();
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.act(now, action, out);
        }
        self.actions = actions;
        for request in std::mem::take(&mut self.fresh) {
            let Some(call) = self.calls.get(&request).filter(|c| c.attempts.is_empty() && !c.answered) else {
                continue;
            };
            let ready = self.members.ready();
            call.span.in_scope(|| tracing::debug!(ready_workers = ready, "held"));
        }
    }

    fn take(&mut self, now: Micros, news: News, out: &mut Vec<Command>) {
        match news {
            News::Call(arrival) => self.take_call(now, arrival, out),
            News::Gone(ticket) => {
                if let Some(request) = self.by_ticket.remove(&ticket) {
                    self.counters.gone += 1;
                    self.events.push(Event::Gone { request });
                    self.close_call(request);
                    if self.figures.stop_when_gone {
                        self.stop_all(now, request, out);
                    }
                }
            }
            News::Attempt { request, attempt, result } => {
                self.end_attempt(now, request, attempt, result, out);
            }
            News::Probed { worker, sent, outcome, report, draining } => {
                self.announce(now, worker, draining);
                self.events.push(Event::Probed { worker, outcome, took: now - sent, report });
            }
            News::Loaded { worker, function, sent, outcome, copies } => {
                // What counted as lost is not told twice.
                if self.orders.remove(&(worker, function)).is_some() {
                    self.events.push(Event::Loaded { worker, function, outcome, took: now - sent, copies });
                }
            }
            News::List(entries) => {
                let update = self.members.listed(entries, now);
                self.tell(update);
            }
            News::Roster { form, told } => {
                let update = self.members.told(form, told, now);
                self.tell(update);
            }
            News::ListFailed => {
                let update = self.members.failed();
                self.tell(update);
            }
        }
    }

    fn tell(&mut self, update: Update) {
        if update.form != RosterForm::Failed {
            tracing::debug!(rows = update.rows.len(), form = ?update.form, "workers");
        }
        self.events.push(Event::Roster { form: update.form, rows: Rc::from(update.rows) });
    }

    fn announce(&mut self, now: Micros, worker: WorkerId, draining: Option<bool>) {
        if let Some(update) = draining.and_then(|d| self.members.announced(worker, d, now)) {
            tracing::info!(worker = self.members.name(worker), ?draining, "worker announced");
            self.tell(update);
        }
    }

    fn take_call(&mut self, now: Micros, arrival: Arrival, out: &mut Vec<Command>) {
        let ticket = arrival.ticket;
        let known = arrival.figures.filter(|f| self.names.called(f.id, &arrival.function, now));
        let reason = if self.calls.len() as u64 >= self.figures.held_most {
            Some("too-many-held")
        } else if known.is_none() {
            Some("unknown-function")
        } else {
            None
        };
        if let Some(reason) = reason {
            self.counters.turned_away += 1;
            // Coming back later helps against a crowd, not against a name that nobody knows.
            let retry_after = if reason == "too-many-held" { self.figures.retry_after_most } else { 0 };
            let answer = Answer::Refused { reason, retry_after };
            tracing::info!(
                correlation = &*arrival.correlation,
                function = &*arrival.function,
                reason,
                "turned away"
            );
            return out.push(Command::Answer { ticket, answer, took: 0 });
        }
        let Some(f) = known else { return };
        // What the call waited between its socket and this turn is gone from its time.
        let taken = if arrival.read > 0 { arrival.read.min(now) } else { now };
        let budget = (arrival.budget - (now - taken)).max(0);
        let request = Request {
            id: self.next_request,
            class: f.class,
            tenant: arrival.tenant,
            function: f.id,
            budget,
            work: f.work,
            memory_mb: f.memory_mb,
            lanes: f.lanes,
            load: f.load,
            repeat: arrival.repeat,
            came: taken,
            known: arrival.known,
        };
        let id = request.id;
        self.fresh.push(id);
        // Numbers of calls still open are passed over when the count begins anew after 2^32 calls.
        loop {
            self.next_request = self.next_request.wrapping_add(1);
            if !self.calls.contains_key(&self.next_request) {
                break;
            }
        }
        let span = tracing::debug_span!(
            "call",
            correlation = &*arrival.correlation,
            request = id,
            function = &*arrival.function,
            budget_ms = budget / 1000,
            work_ms = f.work.map(|w| w / 1000)
        );
        span.in_scope(|| tracing::debug!(repeat = arrival.repeat, "taken"));
        self.counters.taken += 1;
        self.events.push(Event::Request(request));
        self.by_ticket.insert(ticket, id);
        let deadline = now + budget;
        let (attempts, last, answered) = (Vec::new(), None, false);
        let call = Call { ticket, arrival, class: f.class, taken, deadline, attempts, last, answered, span };
        self.calls.insert(id, call);
    }

    /// Marks a call as answered; it stays while attempts are out, as each owes the module its end.
    fn close_call(&mut self, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        call.answered = true;
        self.by_ticket.remove(&call.ticket);
        call.arrival.body = bytes::Bytes::new();
        if call.attempts.iter().all(Option::is_none) {
            self.calls.remove(&request);
        }
    }

    /// Stops one attempt, if it is out; its end is told as cancelled.
    fn stop(&mut self, now: Micros, request: RequestId, attempt: u16, out: &mut Vec<Command>) {
        let call = self.calls.get(&request);
        if call.is_some_and(|c| c.attempts.get(attempt as usize).is_some_and(Option::is_some)) {
            out.push(Command::Abort { request, attempt });
            self.end_attempt(now, request, attempt, AttemptResult::bare(Outcome::Cancelled), out);
        }
    }

    /// Stops the attempts of a call whose caller left: no one waits for them.
    fn stop_all(&mut self, now: Micros, request: RequestId, out: &mut Vec<Command>) {
        let many = self.calls.get(&request).map_or(0, |c| c.attempts.len());
        (0..many as u16).for_each(|attempt| self.stop(now, request, attempt, out));
    }

    fn end_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        result: AttemptResult,
        out: &mut Vec<Command>,
    ) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        let Some(flight) = call.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        self.cuts.remove(&(flight.due, request, attempt));
        // Not what the answer waited for this process.
        let ended = if result.read > 0 { result.read.clamp(flight.sent, now) } else { now };
        let took = ended - flight.sent;
        let name = self.members.name(flight.worker).unwrap_or("?");
        let outcome = result.outcome;
        call.span.in_scope(|| {
            tracing::debug!(
                attempt,
                worker = name,
                ?outcome,
                took_us = took,
                copy = result.note.copy,
                "attempt ended"
            );
        });
        call.last = Some(outcome);
        let serves = outcome == Outcome::Ok && !call.answered;
        if serves {
            call.span.in_scope(|| {
                tracing::debug!(outcome = "served", took_us = now - call.taken, "answered");
            });
            self.counters.served += 1;
            let answer = Answer::Served { body: result.body, content_type: result.content_type };
            out.push(Command::Answer { ticket: call.ticket, answer, took: now - call.taken });
        }
        let concluded = call.answered || serves;
        let ended = Ended {
            request,
            attempt,
            worker: flight.worker,
            concluded,
            outcome,
            note: result.note,
            took,
            report: result.report,
        };
        if concluded {
            self.close_call(request);
        }
        // What a worker says of itself comes before what its answer means, so that nothing new goes there.
        self.announce(now, flight.worker, result.draining);
        self.events.push(Event::Ended(ended));
    }

    fn lose_orders(&mut self, now: Micros) {
        if !self.orders.values().any(|o| o.1 <= now) {
            return;
        }
        let lost: Vec<_> = self.orders.iter().filter(|(_, o)| o.1 <= now).map(|(k, o)| (*k, o.0)).collect();
        for ((worker, function), sent) in lost {
            self.orders.remove(&(worker, function));
            let (outcome, took, copies) = (Outcome::Timeout, now - sent, 0);
            self.events.push(Event::Loaded { worker, function, outcome, took, copies });
        }
    }

    fn address(&self, worker: WorkerId) -> Rc<str> {
        self.members.address(worker).unwrap_or("").into()
    }

    fn act(&mut self, now: Micros, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send { request, worker, timeout } => self.send(now, request, worker, timeout, out),
            Action::Refuse { request, retry_after } => {
                let reason = self.reason(request, now);
                let retry_after = retry_after.min(self.figures.retry_after_most);
                self.answer(request, Answer::Refused { reason, retry_after }, now, out);
            }
            Action::Fail { request } => {
                let reason = self.reason(request, now);
                self.answer(request, Answer::Failed { reason }, now, out);
            }
            Action::Cancel { request, attempt } => self.stop(now, request, attempt, out),
            Action::Timer { after, token } => {
                self.timers.insert((now + after.max(1), token));
            }
            Action::Probe { worker } => {
                self.counters.probes += 1;
                out.push(Command::Probe { worker, address: self.address(worker) });
            }
            Action::CloseIdle { worker } => out.push(Command::CloseIdle { worker }),
            Action::Load { worker, function, copies } => {
                let Some(name) = self.names.name(function) else {
                    // No call of it for so long that its name is gone: as if nothing had been heard.
                    let (outcome, took, copies) = (Outcome::Timeout, 0, 0);
                    return self.events.push(Event::Loaded { worker, function, outcome, took, copies });
                };
                self.counters.loads += 1;
                tracing::debug!(worker = self.members.name(worker), function = &*name, copies, "load");
                self.orders.insert((worker, function), (now, now + self.figures.load_timeout));
                let address = self.address(worker);
                out.push(Command::Load { worker, address, function, name, copies });
            }
            Action::Drop { worker, function } => {
                let Some(function) = self.names.name(function) else { return };
                self.counters.unloads += 1;
                out.push(Command::Unload { worker, address: self.address(worker), function });
            }
            Action::Watch { on } => out.push(Command::Watch(on)),
            Action::Fetch => out.push(Command::Fetch),
            // Front ends share nothing, so that there is no one to tell; the settings say so to the module.
            Action::Tell { .. } => {}
            Action::Log { text } => {
                // The module knows workers by their numbers, people by their names.
                let number = text.split("worker ").nth(1).and_then(|t| t.split(' ').next()?.parse().ok());
                let worker = number.and_then(|n| self.members.name(n));
                tracing::info!(text, worker, "module");
            }
        }
    }

    fn send(
        &mut self,
        now: Micros,
        request: RequestId,
        worker: WorkerId,
        timeout: Micros,
        out: &mut Vec<Command>,
    ) {
        let address = self.address(worker);
        let Some(call) = self.calls.get_mut(&request) else { return };
        let attempt = call.attempts.len() as u16;
        let over =
            call.answered || now >= call.deadline || u32::from(attempt) >= self.figures.settings.max_attempts;
        if over || address.is_empty() {
            // The interface's `Moot`: not sent, and said so in the next batch.
            call.attempts.push(None);
            let outcome = if over { Outcome::Moot } else { Outcome::ConnectFailed };
            self.events.push(Event::Ended(Ended {
                request,
                attempt,
                worker,
                concluded: call.answered,
                outcome,
                note: Default::default(),
                took: 0,
                report: None,
            }));
            return;
        }
        let due = if timeout > 0 { call.deadline.min(now + timeout) } else { call.deadline };
        call.attempts.push(Some(Flight { worker, sent: now, due }));
        self.cuts.insert((due, request, attempt));
        self.counters.attempts += 1;
        self.counters.further_attempts += u64::from(attempt > 0);
        let name = self.members.name(worker).unwrap_or("?");
        call.span.in_scope(|| tracing::debug!(attempt, worker = name, held_us = now - call.taken, "attempt"));
        out.push(Command::Attempt(Attempt {
            request,
            attempt,
            worker,
            address,
            class: call.class,
            function: call.arrival.function.clone(),
            due,
            body: call.arrival.body.clone(),
            content_type: call.arrival.content_type.clone(),
            correlation: call.arrival.correlation.clone(),
            mark: call.arrival.identity.map(|identity| (identity, call.ticket)),
        }));
    }

    /// Why a call is turned away or failed, as far as it shows from outside the module; for people, not for choices.
    fn reason(&self, request: RequestId, now: Micros) -> &'static str {
        let Some(call) = self.calls.get(&request) else { return "over" };
        if call.attempts.iter().any(Option::is_some) {
            return "no-answer-in-time";
        }
        match call.last {
            Some(Outcome::Error) => "worker-error",
            Some(Outcome::Reset) => "connection-broke",
            Some(Outcome::Timeout | Outcome::Cancelled) => "no-answer-in-time",
            Some(Outcome::Full) => "workers-full",
            Some(Outcome::ConnectFailed) => "workers-unreachable",
            Some(Outcome::Miss) => "not-loaded-in-time",
            _ if self.members.ready() == 0 => "no-workers",
            _ if now >= call.deadline - (call.deadline - call.taken) / 4 => "held-until-too-late",
            _ => "can-not-finish-in-time",
        }
    }

    fn answer(&mut self, request: RequestId, answer: Answer, now: Micros, out: &mut Vec<Command>) {
        let Some(call) = self.calls.get(&request) else { return };
        if call.answered {
            return;
        }
        let (word, reason) = match &answer {
            Answer::Refused { reason, .. } => ("refused", *reason),
            Answer::Failed { reason } => ("failed", *reason),
            Answer::Served { .. } => ("served", ""),
        };
        match answer {
            Answer::Failed { .. } => self.counters.failed += 1,
            _ => self.counters.refused += 1,
        }
        call.span.in_scope(|| {
            tracing::debug!(outcome = word, reason, took_us = now - call.taken, "answered");
        });
        out.push(Command::Answer { ticket: call.ticket, answer, took: now - call.taken });
        self.close_call(request);
    }
}
