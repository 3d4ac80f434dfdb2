//! Policies to measure against, on the same sockets and state as the module: the textbook's round robin and least in
//! flight, both with retries and without predictions, admission or refusals. They keep rules 1 to 3, no more.

use stagehoist::{
    Action, AttemptEnd, Effect, EndpointUpdate, Event, Lifecycle, Micros, Outcome, Request, RequestId,
    Settings, WorkerId,
};
use stagehoist_gateway::state::DecisionPolicy;
use std::collections::{BTreeSet, HashMap};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    InTurn,
    LeastInFlight,
}

struct Call {
    request: Request,
    deadline: Micros,
    attempts: u32,
    out: bool,
    may_have_run: bool,
}

/// A policy without foresight.
pub struct Textbook {
    choice: Choice,
    settings: Settings,
    ready: BTreeSet<WorkerId>,
    in_flight: HashMap<WorkerId, u32>,
    turn: usize,
    calls: HashMap<RequestId, Call>,
    deadlines: BTreeSet<(Micros, RequestId)>,
    waiting: BTreeSet<RequestId>,
    token: u32,
}

/// Workers in turn.
pub fn round_robin(settings: Settings, _seed: u64, _now: Micros) -> Box<dyn DecisionPolicy> {
    Box::new(Textbook::new(Choice::InTurn, settings))
}

/// The worker with the fewest of this front end's own calls.
pub fn least_in_flight(settings: Settings, _seed: u64, _now: Micros) -> Box<dyn DecisionPolicy> {
    Box::new(Textbook::new(Choice::LeastInFlight, settings))
}

impl Textbook {
    fn new(choice: Choice, settings: Settings) -> Textbook {
        Textbook {
            choice,
            settings,
            ready: BTreeSet::new(),
            in_flight: HashMap::new(),
            turn: 0,
            calls: HashMap::new(),
            deadlines: BTreeSet::new(),
            waiting: BTreeSet::new(),
            token: 0,
        }
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(call) = self.calls.remove(&id) {
            self.deadlines.remove(&(call.deadline, id));
            self.waiting.remove(&id);
        }
    }

    fn ended(&mut self, e: &AttemptEnd, out: &mut Vec<Action>) {
        let in_flight = self.in_flight.entry(e.worker).or_default();
        *in_flight = in_flight.saturating_sub(1);
        if e.concluded {
            return self.forget(e.request);
        }
        let Some(call) = self.calls.get_mut(&e.request) else { return };
        call.out = false;
        call.may_have_run |= !matches!(
            e.outcome,
            Outcome::Full | Outcome::Miss | Outcome::ConnectFailed | Outcome::Superseded
        );
        let safe = self.settings.classes[call.request.class as usize].effect == Effect::Idempotent;
        let again = call.attempts < self.settings.max_attempts && (safe || !call.may_have_run);
        if again {
            self.waiting.insert(e.request);
        } else {
            out.push(Action::Fail { request: e.request });
            self.forget(e.request);
        }
    }

    fn next_worker(&mut self) -> Option<WorkerId> {
        match self.choice {
            Choice::InTurn => {
                self.turn = (self.turn + 1) % self.ready.len().max(1);
                self.ready.iter().nth(self.turn).copied()
            }
            Choice::LeastInFlight => {
                let load = |w: &&WorkerId| self.in_flight.get(w).copied().unwrap_or(0);
                self.ready.iter().min_by_key(load).copied()
            }
        }
    }
}

impl DecisionPolicy for Textbook {
    fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        for event in events {
            match event {
                Event::Endpoints { update: form, endpoints: rows } if *form != EndpointUpdate::Failed => {
                    if *form != EndpointUpdate::Delta {
                        self.ready.clear();
                    }
                    for row in rows.iter() {
                        match row.lifecycle {
                            Lifecycle::Ready => self.ready.insert(row.worker),
                            _ => self.ready.remove(&row.worker),
                        };
                    }
                }
                Event::Request(r) => {
                    let deadline = now + r.budget;
                    let (attempts, out, may_have_run) = (0, false, false);
                    let call = Call { request: r.clone(), deadline, attempts, out, may_have_run };
                    self.calls.insert(r.id, call);
                    self.deadlines.insert((deadline, r.id));
                    self.waiting.insert(r.id);
                }
                Event::AttemptEnded(e) => self.ended(e, out),
                Event::ClientGone { request } => self.forget(*request),
                _ => {}
            }
        }
        while let Some(&(_, id)) = self.deadlines.first().filter(|d| d.0 <= now) {
            out.push(Action::Fail { request: id });
            self.forget(id);
        }
        while let Some(id) = self.waiting.first().copied() {
            let Some(worker) = self.next_worker() else { break };
            self.waiting.pop_first();
            let Some(call) = self.calls.get_mut(&id).filter(|c| !c.out) else { continue };
            (call.out, call.attempts) = (true, call.attempts + 1);
            *self.in_flight.entry(worker).or_default() += 1;
            out.push(Action::Send {
                request: id,
                worker,
                timeout: 0,
                start_by: Micros::MAX,
                connected_by: Micros::MAX,
            });
        }
        if let Some(&(at, _)) = self.deadlines.first() {
            self.token = self.token.wrapping_add(1);
            out.push(Action::SetTimer { after: (at - now).max(1), token: self.token });
        }
    }
}
