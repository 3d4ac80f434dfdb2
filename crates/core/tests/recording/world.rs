//! A small seeded simulation of the environment of front ends: callers with varying traffic, workers that load functions,
//! run calls, slow down, stop responding, fail, restart, drain and depart, a shared store, and a delayed endpoint list.

use crate::MS;
use stagehoist::*;
use std::collections::BTreeMap;
use std::rc::Rc;

#[path = "outcomes.rs"]
mod outcomes;
#[path = "worker.rs"]
mod worker;

use worker::{Condition, Worker};

pub struct Random(u64);

impl Random {
    fn below(&mut self, n: i64) -> i64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % n.max(1) as u64) as i64
    }
    fn is_one_in(&mut self, n: i64) -> bool {
        self.below(n) == 0
    }
}

struct Call {
    front: usize,
    function: FunctionId,
    streaming: bool,
    deadline: Micros,
    is_concluded: bool,
    /// By attempt number: the worker, and whether the attempt is still in flight.
    attempts: Vec<(WorkerId, bool)>,
}

pub struct World {
    pub now: Micros,
    /// Number of observations about actions, by kind.
    pub observed: BTreeMap<&'static str, usize>,
    settings: Settings,
    /// There are no surges and no slow workers; more workers stop responding.
    quiet: bool,
    random: Random,
    front_end_count: usize,
    workers: BTreeMap<WorkerId, Worker>,
    calls: BTreeMap<RequestId, Call>,
    next: RequestId,
    /// Events in flight, by arrival time and then by creation order.
    in_flight: BTreeMap<(Micros, u64), (usize, Event)>,
    sequence: u64,
}

impl World {
    pub fn new(settings: &Settings, seed: u64, front_end_count: usize, quiet: bool) -> World {
        let now = 5_000 * MS;
        let workers = (0..6).map(|w| (w, Worker::new(w, 0))).collect();
        let (observed, in_flight, calls) = Default::default();
        let (settings, random) = (settings.clone(), Random(seed | 1 << 40));
        let mut world = World {
            now,
            observed,
            settings,
            quiet,
            random,
            front_end_count,
            workers,
            calls,
            next: 0,
            in_flight,
            sequence: 0,
        };
        world.list(EndpointUpdate::Cached, 0);
        world
    }

    fn send(&mut self, front: usize, at: Micros, event: Event) {
        self.sequence += 1;
        self.in_flight.insert((at, self.sequence), (front, event));
    }

    /// Sends the current list to each front end, with a delay.
    fn list(&mut self, update_kind: EndpointUpdate, base_delay: Micros) {
        let is_full = update_kind != EndpointUpdate::Delta;
        // A gone worker is listed at most once more.
        let listed = |w: &&Worker| w.changed || is_full && w.row.lifecycle != Lifecycle::Gone;
        let rows = self.workers.values().filter(listed).map(|w| w.row.clone());
        let rows: Rc<[Endpoint]> =
            if update_kind == EndpointUpdate::Failed { Rc::from([]) } else { rows.collect() };
        self.workers.values_mut().for_each(|w| w.changed = false);
        for front in 0..self.front_end_count {
            let at = self.now + base_delay + self.random.below(base_delay / 2);
            self.send(front, at, Event::Endpoints { update: update_kind, endpoints: rows.clone() });
        }
    }

    pub fn step(&mut self) {
        self.now += MS + self.random.below(38 * MS);
        // Twelve phases: quiet, busy, and a surge of three times the workers' capacity.
        let rate = [1, 2, 3, 8, 1, 2, 14, 2, 4, 8, 2, 1][(self.now / (2_500 * MS) % 12) as usize];
        let rate = if self.quiet { rate.min(2) } else { rate };
        for _ in 0..self.random.below(2 * rate + 1) / 2 {
            self.call();
        }
        if self.random.is_one_in(25) {
            self.inject_fault();
        }
        if self.random.is_one_in(12) {
            let update_kind = match self.random.below(12) {
                0 => EndpointUpdate::Failed,
                1 => EndpointUpdate::Full,
                _ => EndpointUpdate::Delta,
            };
            let base_delay = self.random.below(300 * MS);
            self.list(update_kind, base_delay);
        }
        let (now, retention) = (self.now, self.settings.idle_retention);
        self.workers.values_mut().for_each(|w| w.expire(now, retention));
    }

    fn call(&mut self) {
        self.next += 1;
        let id = self.next;
        let r = &mut self.random;
        // A few functions get most calls; one call in twenty goes to a function of its own.
        let shared = r.below(24).min(r.below(24)) as FunctionId;
        let function = if r.is_one_in(20) { 1000 + FunctionId::from(id) } else { shared };
        let class = (function % self.settings.classes.len() as u64) as u16;
        let budget = [2500, 2500, 1500, 900, 300, 0][r.below(6).min(r.below(6)) as usize] * MS;
        let accepted_time = if r.is_one_in(4) { self.now - r.below(5 * MS) } else { 0 };
        let work = self.settings.weight_by_work.then(|| worker::run(function) + r.below(60 * MS));
        let (tenant, front) = (r.below(4) as u32, r.below(self.front_end_count as i64) as usize);
        let (repeat, is_verified) = (r.is_one_in(30), !r.is_one_in(10));
        let cancelled_at = r.is_one_in(40).then(|| self.now + r.below(1200 * MS));
        let (memory_mb, parallel_calls) = (worker::memory(function), 1.0 + (function % 3) as f64);
        let load = if function % 4 == 0 { 0 } else { worker::load(function) };
        let request = Request {
            id,
            class,
            tenant,
            function,
            budget,
            work,
            memory_mb,
            concurrency: parallel_calls,
            load_time: load,
            is_repeat: repeat,
            accepted_at: accepted_time,
            client_verified: is_verified,
        };
        let streaming = self.settings.classes[class as usize].streaming;
        let (deadline, attempts) = (self.now + budget, Vec::new());
        self.calls.insert(id, Call { front, function, streaming, deadline, is_concluded: false, attempts });
        self.send(front, self.now, Event::Request(request));
        if let Some(at) = cancelled_at {
            self.send(front, at, Event::ClientGone { request: id });
        }
    }

    /// Changes one worker: it restarts, drains, departs, returns, is added, stops responding, fails, or is slow.
    fn inject_fault(&mut self) {
        let at = self.random.below(self.workers.len() as i64) as usize;
        let until = self.now + 500 * MS + self.random.below(3000 * MS);
        let ready_count = self.workers.values().filter(|w| w.row.lifecycle == Lifecycle::Ready).count();
        let (fault, new) = (self.random.below(13), self.workers.len() as WorkerId);
        let w = self.workers.values_mut().nth(at).expect("the index is below the number of workers");
        let [ready, gone] = [Lifecycle::Ready, Lifecycle::Gone].map(|x| w.row.lifecycle == x);
        match fault {
            0 | 1 if !gone => w.restart(self.now),
            2 if ready && ready_count > 3 => w.set_lifecycle(Lifecycle::Draining),
            3 | 11 if ready && ready_count > 3 => w.set_lifecycle(Lifecycle::Gone),
            2 | 3 if !gone => w.restart(self.now),
            4 | 12 if ready_count < 7 => drop(self.workers.insert(new, Worker::new(new, self.now))),
            5 | 6 => w.condition = (Condition::Silent, until),
            7 => w.condition = (Condition::Failing, until),
            8 => w.condition = (Condition::Dead, until),
            _ if self.quiet => w.condition = (Condition::Silent, until),
            _ => w.condition = (Condition::Slow, until),
        }
        let front = self.random.below(self.front_end_count as i64) as usize;
        self.send(front, self.now, Event::Gossip { from: 1, bytes: vec![0xff; 16] });
    }

    /// Removes and returns the events that have arrived at a front end by now.
    pub fn take_due(&mut self, front: usize) -> Vec<Event> {
        let due_events = self.in_flight.range(..=(self.now, u64::MAX)).filter(|(_, (to, _))| *to == front);
        let keys: Vec<_> = due_events.map(|(key, _)| *key).collect();
        let due_events: Vec<_> = keys.iter().filter_map(|key| self.in_flight.remove(key)).collect();
        due_events.into_iter().filter_map(|(_, event)| self.arrive(event)).collect()
    }

    /// Completes an arriving event as the process around the module does; None if its call or attempt has already ended.
    fn arrive(&mut self, mut event: Event) -> Option<Event> {
        match &mut event {
            Event::ClientGone { request } => {
                self.calls.get_mut(request).filter(|c| !c.is_concluded)?.is_concluded = true
            }
            Event::AttemptEnded(e) => {
                let w = self.workers.get_mut(&e.worker)?;
                let ran = w.running.iter().position(|x| *x == (e.request, e.attempt));
                match ran {
                    Some(at) => drop(w.running.swap_remove(at)),
                    None if e.outcome == Outcome::Ok => (e.outcome, e.copy.state) = (Outcome::Reset, 0),
                    None => {}
                }
                e.report = w.report(&self.settings);
                let call = self.calls.get_mut(&e.request)?;
                let slot = call.attempts.get_mut(e.attempt as usize).filter(|a| a.1)?;
                slot.1 = false;
                e.concluded = call.is_concluded || e.outcome == Outcome::Ok;
                call.is_concluded = e.concluded;
            }
            Event::HealthChecked { worker, report, outcome: Outcome::Ok, .. } => {
                *report = self.workers.get(worker).and_then(|w| w.report(&self.settings));
            }
            _ => {}
        }
        Some(event)
    }

    pub fn act(&mut self, front: usize, action: &Action) {
        match *action {
            Action::Send { request, worker, .. } => self.attempt(front, request, worker),
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.calls.get_mut(&request).expect("the request arrived before").is_concluded = true;
            }
            Action::Cancel { request, attempt } => {
                let worker = self.calls[&request].attempts[attempt as usize].0;
                self.end((request, attempt, worker), Outcome::Cancelled, 0, (self.now, 2 * MS));
            }
            Action::SetTimer { after, token } => self.send(front, self.now + after, Event::Timer { token }),
            Action::HealthCheck { worker } => {
                let dead = self.workers[&worker].condition.0 == Condition::Dead;
                let outcome = if dead { Outcome::ConnectFailed } else { Outcome::Ok };
                let elapsed_time = MS + self.random.below(3 * MS);
                let health_checked =
                    Event::HealthChecked { worker, outcome, elapsed: elapsed_time, report: None };
                self.send(front, self.now + elapsed_time, health_checked);
            }
            Action::Load { worker, function, .. } => self.order_load(front, worker, function),
            Action::Unload { worker, function } => {
                self.workers.get_mut(&worker).expect("the worker is in the list").copies.remove(&function);
            }
            _ => {}
        }
    }
}
