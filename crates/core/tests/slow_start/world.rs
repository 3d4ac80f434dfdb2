//! A small seeded simulation around real front ends: callers, established workers that serve up to their capacity,
//! workers that start cold, and slow connections.

use crate::overload_checker::{Arrival, OverloadChecker};
use crate::scenario::{Draw, Late, Scenario, Traffic};
use crate::{MS, S};
use stagehoist::*;
use std::collections::BTreeMap;

/// Minimum time between the batches of a front end.
const TICK: Micros = 2 * MS;
/// When the cold workers start.
pub const START: Micros = 9 * S;

struct Front {
    front_end: FrontEnd,
    /// Incarnation; events for an earlier one are dropped.
    life: u32,
    /// Whether it has been notified of the start.
    on_inquiry_answer: bool,
    /// When its connection to each cold worker is established.
    connected: BTreeMap<WorkerId, Micros>,
    attempts: BTreeMap<RequestId, u16>,
}

struct Worker {
    row: Endpoint,
    /// When each slot is free.
    free: Vec<Micros>,
}

/// A send: its front end and incarnation, call, attempt, worker, and whether it was notified of the start.
type Flight = (usize, u32, RequestId, u16, WorkerId, bool);

pub struct World<'a> {
    s: &'a Scenario,
    now: Micros,
    draw: Draw,
    fronts: Vec<Front>,
    workers: Vec<Worker>,
    coming: BTreeMap<(Micros, usize), Vec<(u32, Event)>>,
    /// Attempts in transit, by arrival time and number.
    flying: BTreeMap<(Micros, u64), Flight>,
    made: u64,
    next: RequestId,
    /// Cumulative traffic of the front ends.
    parts: Vec<f64>,
    pub checker: OverloadChecker,
}

fn class_of(id: RequestId) -> u16 {
    u16::from(id.is_multiple_of(5))
}

impl<'a> World<'a> {
    pub fn new(s: &'a Scenario) -> World<'a> {
        let mut draw = Draw(s.seed);
        let all = s.established + s.cold;
        let row = |w: WorkerId| Endpoint {
            worker: w,
            lifecycle: if w < s.established || s.returning { Lifecycle::Ready } else { Lifecycle::Gone },
            capacity: s.capacity,
            ..Default::default()
        };
        let workers = (0..all).map(|w| Worker { row: row(w), free: vec![0; s.capacity as usize] }).collect();
        let mut sum = 0.0;
        let part = |_| {
            // With unequal traffic, one in ten front ends gets several times the mean.
            sum += if s.unequal && draw.below(10) == 0 { 8.0 } else { 0.5 + draw.part() };
            sum
        };
        let parts = (0..s.fronts).map(part).collect();
        let mut world = World {
            s,
            now: S,
            draw,
            fronts: Vec::new(),
            workers,
            coming: BTreeMap::new(),
            flying: BTreeMap::new(),
            made: 0,
            next: 0,
            parts,
            checker: OverloadChecker::new(s),
        };
        for k in 0..s.fronts {
            let front_end = world.start_front_end(k as u64);
            let (connected, attempts) = Default::default();
            world.fronts.push(Front { front_end, life: 0, on_inquiry_answer: false, connected, attempts });
            world.list(k, S);
        }
        world
    }

    fn start_front_end(&mut self, seed: u64) -> FrontEnd {
        FrontEnd::new(self.s.settings(), seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ self.s.seed, self.now)
    }

    fn tell(&mut self, k: usize, at: Micros, event: Event) {
        let at = (at + TICK - 1) / TICK * TICK;
        self.coming.entry((at, k)).or_default().push((self.fronts[k].life, event));
    }

    /// Schedules the current full endpoint list for a front end at a time.
    fn list(&mut self, k: usize, at: Micros) {
        let started = |w: &Worker| if self.s.tells_start { w.row.started } else { 0 };
        let rows = self.workers.iter().map(|w| Endpoint { started: started(w), ..w.row.clone() }).collect();
        self.tell(k, at, Event::Endpoints { update: EndpointUpdate::Full, endpoints: rows });
    }

    pub fn run(&mut self) {
        let mut owed = 0.0;
        let before = self.workers.iter().filter(|w| w.row.lifecycle == Lifecycle::Ready).count();
        let size = before as f64 * self.s.rate();
        while self.now < self.s.until {
            self.now += TICK;
            if self.now == START {
                self.start();
            }
            owed += size * self.s.load_at(self.now) * TICK as f64 / S as f64;
            while owed >= 1.0 {
                owed -= 1.0;
                self.call();
            }
            self.land();
            while let Some((&(at, k), _)) = self.coming.first_key_value().filter(|(key, _)| key.0 <= self.now)
            {
                let batch = self.coming.remove(&(at, k)).unwrap();
                self.batch(k, batch);
            }
        }
    }

    fn start(&mut self) {
        let now = self.now;
        for w in self.workers.iter_mut().skip(self.s.established as usize) {
            (w.row.lifecycle, w.row.started) = (Lifecycle::Ready, now);
        }
        for k in 0..self.s.fronts {
            if self.s.restarted && self.draw.below(10) < 7 {
                self.fronts[k].front_end = self.start_front_end(1000 + k as u64);
                let f = &mut self.fronts[k];
                (f.life, f.connected, f.attempts) = (f.life + 1, BTreeMap::new(), BTreeMap::new());
            }
            let lag = self.draw.below(self.s.lag.max(1));
            self.list(k, now + lag);
        }
    }

    fn call(&mut self) {
        self.next += 1;
        let id = self.next;
        let some = self.draw.part();
        let at = some * self.parts[self.s.fronts - 1];
        let mut k = self.parts.partition_point(|&p| p <= at).min(self.s.fronts - 1);
        if let Traffic::Turns(span) = self.s.traffic {
            // Each fifth of the front ends in turn has all the traffic.
            let turn = (self.now / span % 5) as usize;
            k = (k - k % 5 + turn) % self.s.fronts;
        }
        let request = Request {
            id,
            class: class_of(id),
            tenant: 0,
            function: 2 * (self.draw.below(20) as u64) + u64::from(class_of(id)),
            budget: 2500 * MS,
            work: None,
            memory_mb: 100.0,
            concurrency: 8.0,
            load_time: 300 * MS,
            is_repeat: false,
            accepted_at: 0,
            client_verified: true,
        };
        self.tell(k, self.now, Event::Request(request));
    }

    fn batch(&mut self, k: usize, batch: Vec<(u32, Event)>) {
        let life = self.fronts[k].life;
        let events: Vec<Event> = batch.into_iter().filter(|e| e.0 == life).map(|e| e.1).collect();
        if events.is_empty() {
            return;
        }
        let listed = events.iter().any(|e| matches!(e, Event::Endpoints { .. }));
        self.fronts[k].on_inquiry_answer |= listed && self.now >= START;
        let mut out = Vec::new();
        self.fronts[k].front_end.handle(self.now, &events, &mut out);
        for action in out {
            match action {
                Action::Send { request, worker, .. } => self.send(k, request, worker),
                Action::SetTimer { after, token } => self.tell(k, self.now + after, Event::Timer { token }),
                _ => {}
            }
        }
    }

    fn send(&mut self, k: usize, id: RequestId, worker: WorkerId) {
        let (now, cold) = (self.now, self.workers[worker as usize].row.started > 0);
        let late = match self.s.late {
            Late::Connections(most) if cold => most / 2 + self.draw.below(most / 2),
            _ => 0,
        };
        let f = &mut self.fronts[k];
        let at = (*f.connected.entry(worker).or_insert(now + late)).max(now);
        // During each stall nothing reaches cold workers; the delayed attempts then arrive together.
        let at = match self.s.late {
            Late::Stalls(every, span) if cold && at % every < span => at - at % every + span,
            _ => at,
        };
        let number = f.attempts.entry(id).or_default();
        self.made += 1;
        self.flying.insert((at + MS, self.made), (k, f.life, id, *number, worker, f.on_inquiry_answer));
        *number += 1;
    }

    /// Serves the attempts that have arrived at workers, or rejects them if they would wait too long.
    fn land(&mut self) {
        while let Some((&key, _)) = self.flying.first_key_value().filter(|(key, _)| key.0 <= self.now) {
            let (k, life, id, attempt, worker, notified) = self.flying.remove(&key).unwrap();
            let (at, w) = (key.0, &mut self.workers[worker as usize]);
            let (usual, mut share) = (self.s.run[class_of(id) as usize] as f64, 1.0);
            if w.row.started > 0 {
                share = self.s.share(at - w.row.started);
                self.checker.arrived(worker, Arrival { at, work: usual / self.s.mean_run(), notified });
            }
            let slot = w.free.iter_mut().min().expect("a slot");
            let from = (*slot).max(at);
            let mut ended = AttemptEnd {
                request: id,
                attempt,
                worker,
                concluded: true,
                outcome: Outcome::Ok,
                copy: CopyReport { state: 1, concurrency: 0 },
                elapsed: 0,
                report: None,
            };
            if from - at > self.s.waits {
                (ended.concluded, ended.outcome) = (false, Outcome::Full);
                ended.elapsed = 2 * MS;
            } else {
                *slot = from + (usual * (0.5 + self.draw.part()) / share) as Micros;
                ended.elapsed = *slot - at;
            }
            if self.fronts[k].life == life {
                self.tell(k, at + ended.elapsed, Event::AttemptEnded(ended));
            }
        }
    }
}
