//! A small seeded world for front ends to live in: callers whose traffic swells and ebbs, workers that load,
//! run, slow down, fall silent, fail, restart, drain and go, a store that all share, and a list that is late.

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
    fn one_in(&mut self, n: i64) -> bool {
        self.below(n) == 0
    }
}

struct Call {
    front: usize,
    function: FunctionId,
    streaming: bool,
    deadline: Micros,
    over: bool,
    /// By number: the worker, and whether it is still out.
    attempts: Vec<(WorkerId, bool)>,
}

pub struct World {
    pub now: Micros,
    /// What followed from actions, by kind.
    pub observed: BTreeMap<&'static str, usize>,
    settings: Settings,
    /// No surges come, and no worker is slow; more fall silent.
    quiet: bool,
    random: Random,
    fronts: usize,
    workers: BTreeMap<WorkerId, Worker>,
    calls: BTreeMap<RequestId, Call>,
    next: RequestId,
    /// Events on their way, by when they come, in order of their making.
    coming: BTreeMap<(Micros, u64), (usize, Event)>,
    made: u64,
}

impl World {
    pub fn new(settings: &Settings, seed: u64, fronts: usize, quiet: bool) -> World {
        let now = 5_000 * MS;
        let workers = (0..6).map(|w| (w, Worker::new(w, 0))).collect();
        let (observed, coming, calls) = Default::default();
        let (settings, random) = (settings.clone(), Random(seed | 1 << 40));
        let mut world = World {
            now,
            observed,
            settings,
            quiet,
            random,
            fronts,
            workers,
            calls,
            next: 0,
            coming,
            made: 0,
        };
        world.list(EndpointUpdate::Cached, 0);
        world
    }

    fn send(&mut self, front: usize, at: Micros, event: Event) {
        self.made += 1;
        self.coming.insert((at, self.made), (front, event));
    }

    /// The list as it is now comes to each front end some time later.
    fn list(&mut self, form: EndpointUpdate, lag: Micros) {
        let whole = form != EndpointUpdate::Delta;
        // A worker that is gone is listed once more at most.
        let listed = |w: &&Worker| w.changed || whole && w.row.lifecycle != Lifecycle::Gone;
        let rows = self.workers.values().filter(listed).map(|w| w.row.clone());
        let rows: Rc<[Endpoint]> = if form == EndpointUpdate::Failed { Rc::from([]) } else { rows.collect() };
        self.workers.values_mut().for_each(|w| w.changed = false);
        for front in 0..self.fronts {
            let at = self.now + lag + self.random.below(lag / 2);
            self.send(front, at, Event::Endpoints { update: form, endpoints: rows.clone() });
        }
    }

    pub fn step(&mut self) {
        self.now += MS + self.random.below(38 * MS);
        // Twelve phases: quiet, busy, and a surge of three times what the workers can do.
        let rate = [1, 2, 3, 8, 1, 2, 14, 2, 4, 8, 2, 1][(self.now / (2_500 * MS) % 12) as usize];
        let rate = if self.quiet { rate.min(2) } else { rate };
        for _ in 0..self.random.below(2 * rate + 1) / 2 {
            self.call();
        }
        if self.random.one_in(25) {
            self.inject_fault();
        }
        if self.random.one_in(12) {
            let form = match self.random.below(12) {
                0 => EndpointUpdate::Failed,
                1 => EndpointUpdate::Full,
                _ => EndpointUpdate::Delta,
            };
            let lag = self.random.below(300 * MS);
            self.list(form, lag);
        }
        let (now, keep) = (self.now, self.settings.idle_retention);
        self.workers.values_mut().for_each(|w| w.age(now, keep));
    }

    fn call(&mut self) {
        self.next += 1;
        let id = self.next;
        let r = &mut self.random;
        // A few functions draw most calls; one call in twenty is to a function of its own.
        let shared = r.below(24).min(r.below(24)) as FunctionId;
        let function = if r.one_in(20) { 1000 + FunctionId::from(id) } else { shared };
        let class = (function % self.settings.classes.len() as u64) as u16;
        let budget = [2500, 2500, 1500, 900, 300, 0][r.below(6).min(r.below(6)) as usize] * MS;
        let came = if r.one_in(4) { self.now - r.below(5 * MS) } else { 0 };
        let work = self.settings.weight_by_work.then(|| worker::run(function) + r.below(60 * MS));
        let (tenant, front) = (r.below(4) as u32, r.below(self.fronts as i64) as usize);
        let (repeat, known) = (r.one_in(30), !r.one_in(10));
        let gives_up = r.one_in(40).then(|| self.now + r.below(1200 * MS));
        let (memory_mb, lanes) = (worker::memory(function), 1.0 + (function % 3) as f64);
        let load = if function % 4 == 0 { 0 } else { worker::load(function) };
        let request = Request {
            id,
            class,
            tenant,
            function,
            budget,
            work,
            memory_mb,
            concurrency: lanes,
            load_time: load,
            is_repeat: repeat,
            accepted_at: came,
            client_verified: known,
        };
        let streaming = self.settings.classes[class as usize].streaming;
        let (deadline, attempts) = (self.now + budget, Vec::new());
        self.calls.insert(id, Call { front, function, streaming, deadline, over: false, attempts });
        self.send(front, self.now, Event::Request(request));
        if let Some(at) = gives_up {
            self.send(front, at, Event::ClientGone { request: id });
        }
    }

    /// A worker restarts, drains, goes, comes back, is new, falls silent, fails, or is slow.
    fn inject_fault(&mut self) {
        let at = self.random.below(self.workers.len() as i64) as usize;
        let until = self.now + 500 * MS + self.random.below(3000 * MS);
        let standing = self.workers.values().filter(|w| w.row.lifecycle == Lifecycle::Ready).count();
        let (what, new) = (self.random.below(13), self.workers.len() as WorkerId);
        let w = self.workers.values_mut().nth(at).expect("a worker of them");
        let [ready, gone] = [Lifecycle::Ready, Lifecycle::Gone].map(|x| w.row.lifecycle == x);
        match what {
            0 | 1 if !gone => w.restart(self.now),
            2 if ready && standing > 3 => w.turn(Lifecycle::Draining),
            3 | 11 if ready && standing > 3 => w.turn(Lifecycle::Gone),
            2 | 3 if !gone => w.restart(self.now),
            4 | 12 if standing < 7 => drop(self.workers.insert(new, Worker::new(new, self.now))),
            5 | 6 => w.condition = (Condition::Silent, until),
            7 => w.condition = (Condition::Failing, until),
            8 => w.condition = (Condition::Dead, until),
            _ if self.quiet => w.condition = (Condition::Silent, until),
            _ => w.condition = (Condition::Slow, until),
        }
        let front = self.random.below(self.fronts as i64) as usize;
        self.send(front, self.now, Event::Gossip { from: 1, bytes: vec![0xff; 16] });
    }

    /// The events that have come to a front end by now.
    pub fn due(&mut self, front: usize) -> Vec<Event> {
        let due = self.coming.range(..=(self.now, u64::MAX)).filter(|(_, (to, _))| *to == front);
        let keys: Vec<_> = due.map(|(key, _)| *key).collect();
        let due: Vec<_> = keys.iter().filter_map(|key| self.coming.remove(key)).collect();
        due.into_iter().filter_map(|(_, event)| self.arrive(event)).collect()
    }

    /// What the process around the module makes of an event as it comes; none where it is over.
    fn arrive(&mut self, mut event: Event) -> Option<Event> {
        match &mut event {
            Event::ClientGone { request } => self.calls.get_mut(request).filter(|c| !c.over)?.over = true,
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
                e.concluded = call.over || e.outcome == Outcome::Ok;
                call.over = e.concluded;
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
                self.calls.get_mut(&request).expect("a call that came").over = true;
            }
            Action::Cancel { request, attempt } => {
                let worker = self.calls[&request].attempts[attempt as usize].0;
                self.end((request, attempt, worker), Outcome::Cancelled, 0, (self.now, 2 * MS));
            }
            Action::SetTimer { after, token } => self.send(front, self.now + after, Event::Timer { token }),
            Action::HealthCheck { worker } => {
                let dead = self.workers[&worker].condition.0 == Condition::Dead;
                let outcome = if dead { Outcome::ConnectFailed } else { Outcome::Ok };
                let took = MS + self.random.below(3 * MS);
                let probed = Event::HealthChecked { worker, outcome, elapsed: took, report: None };
                self.send(front, self.now + took, probed);
            }
            Action::Load { worker, function, .. } => self.order(front, worker, function),
            Action::Unload { worker, function } => {
                self.workers.get_mut(&worker).expect("a worker of the list").copies.remove(&function);
            }
            _ => {}
        }
    }
}
