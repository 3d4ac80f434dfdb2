//! A small seeded simulation around real front ends: callers, established workers that serve up to their capacity,
//! workers that start cold, and slow connections.

use crate::overload_checker::{Arrival, OverloadChecker};
use crate::scenario::{Delay, Draw, Scenario, Traffic};
use crate::{MS, S};
use stagehoist::*;
use std::collections::BTreeMap;

/// Minimum time between the batches of a front end.
const TICK: Micros = 2 * MS;
/// When the cold workers start.
pub const START: Micros = 9 * S;

struct FrontEndState {
    front_end: FrontEnd,
    /// Incarnation; events for an earlier one are dropped.
    incarnation: u32,
    /// Whether it has been notified of the start.
    knows_start: bool,
    /// When its connection to each cold worker is established.
    connected: BTreeMap<WorkerId, Micros>,
    attempts: BTreeMap<RequestId, u16>,
}

struct Worker {
    endpoint: Endpoint,
    /// When each slot is free.
    free_at: Vec<Micros>,
}

/// A send: its front end and incarnation, call, attempt, worker, and whether it was notified of the start.
type AttemptInTransit = (usize, u32, RequestId, u16, WorkerId, bool);

pub struct World<'a> {
    s: &'a Scenario,
    now: Micros,
    draw: Draw,
    front_ends: Vec<FrontEndState>,
    workers: Vec<Worker>,
    scheduled: BTreeMap<(Micros, usize), Vec<(u32, Event)>>,
    /// Attempts in transit, by arrival time and number.
    in_transit: BTreeMap<(Micros, u64), AttemptInTransit>,
    sent_count: u64,
    next: RequestId,
    /// Cumulative traffic of the front ends.
    cumulative_traffic: Vec<f64>,
    pub checker: OverloadChecker,
}

fn class_of(id: RequestId) -> u16 {
    u16::from(id.is_multiple_of(5))
}

impl<'a> World<'a> {
    pub fn new(s: &'a Scenario) -> World<'a> {
        let mut draw = Draw(s.seed);
        let all = s.established + s.cold;
        let endpoint = |w: WorkerId| Endpoint {
            worker: w,
            lifecycle: if w < s.established || s.returning { Lifecycle::Ready } else { Lifecycle::Gone },
            capacity: s.capacity,
            ..Default::default()
        };
        let workers = (0..all)
            .map(|w| Worker { endpoint: endpoint(w), free_at: vec![0; s.capacity as usize] })
            .collect();
        let mut sum = 0.0;
        let fraction = |_| {
            // With unequal traffic, one in ten front ends gets several times the mean.
            sum += if s.unequal && draw.below(10) == 0 { 8.0 } else { 0.5 + draw.fraction() };
            sum
        };
        let cumulative_traffic = (0..s.front_ends).map(fraction).collect();
        let mut world = World {
            s,
            now: S,
            draw,
            front_ends: Vec::new(),
            workers,
            scheduled: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            sent_count: 0,
            next: 0,
            cumulative_traffic,
            checker: OverloadChecker::new(s),
        };
        for k in 0..s.front_ends {
            let front_end = world.start_front_end(k as u64);
            let (connected, attempts) = Default::default();
            world.front_ends.push(FrontEndState {
                front_end,
                incarnation: 0,
                knows_start: false,
                connected,
                attempts,
            });
            world.schedule_list(k, S);
        }
        world
    }

    fn start_front_end(&mut self, seed: u64) -> FrontEnd {
        FrontEnd::new(self.s.settings(), seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ self.s.seed, self.now)
    }

    fn schedule(&mut self, k: usize, at: Micros, event: Event) {
        let at = (at + TICK - 1) / TICK * TICK;
        self.scheduled.entry((at, k)).or_default().push((self.front_ends[k].incarnation, event));
    }

    /// Schedules the current full endpoint list for a front end at a time.
    fn schedule_list(&mut self, k: usize, at: Micros) {
        let started = |w: &Worker| if self.s.lists_start { w.endpoint.started } else { 0 };
        let entries =
            self.workers.iter().map(|w| Endpoint { started: started(w), ..w.endpoint.clone() }).collect();
        self.schedule(k, at, Event::Endpoints { update: EndpointUpdate::Full, endpoints: entries });
    }

    pub fn run(&mut self) {
        let mut due_calls = 0.0;
        let before = self.workers.iter().filter(|w| w.endpoint.lifecycle == Lifecycle::Ready).count();
        let size = before as f64 * self.s.rate();
        while self.now < self.s.until {
            self.now += TICK;
            if self.now == START {
                self.start();
            }
            due_calls += size * self.s.load_at(self.now) * TICK as f64 / S as f64;
            while due_calls >= 1.0 {
                due_calls -= 1.0;
                self.send_call();
            }
            self.serve_arrivals();
            while let Some((&(at, k), _)) =
                self.scheduled.first_key_value().filter(|(key, _)| key.0 <= self.now)
            {
                let handle_batch = self.scheduled.remove(&(at, k)).unwrap();
                self.handle_batch(k, handle_batch);
            }
        }
    }

    fn start(&mut self) {
        let now = self.now;
        for w in self.workers.iter_mut().skip(self.s.established as usize) {
            (w.endpoint.lifecycle, w.endpoint.started) = (Lifecycle::Ready, now);
        }
        for k in 0..self.s.front_ends {
            if self.s.restarted && self.draw.below(10) < 7 {
                self.front_ends[k].front_end = self.start_front_end(1000 + k as u64);
                let f = &mut self.front_ends[k];
                (f.incarnation, f.connected, f.attempts) =
                    (f.incarnation + 1, BTreeMap::new(), BTreeMap::new());
            }
            let lag = self.draw.below(self.s.lag.max(1));
            self.schedule_list(k, now + lag);
        }
    }

    fn send_call(&mut self) {
        self.next += 1;
        let id = self.next;
        let drawn = self.draw.fraction();
        let at = drawn * self.cumulative_traffic[self.s.front_ends - 1];
        let mut k = self.cumulative_traffic.partition_point(|&p| p <= at).min(self.s.front_ends - 1);
        if let Traffic::Turns(span) = self.s.traffic {
            // Each fifth of the front ends in turn has all the traffic.
            let turn = (self.now / span % 5) as usize;
            k = (k - k % 5 + turn) % self.s.front_ends;
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
        self.schedule(k, self.now, Event::Request(request));
    }

    fn handle_batch(&mut self, k: usize, handle_batch: Vec<(u32, Event)>) {
        let incarnation = self.front_ends[k].incarnation;
        let events: Vec<Event> =
            handle_batch.into_iter().filter(|e| e.0 == incarnation).map(|e| e.1).collect();
        if events.is_empty() {
            return;
        }
        let listed = events.iter().any(|e| matches!(e, Event::Endpoints { .. }));
        self.front_ends[k].knows_start |= listed && self.now >= START;
        let mut out = Vec::new();
        self.front_ends[k].front_end.handle(self.now, &events, &mut out);
        for action in out {
            match action {
                Action::Send { request, worker, .. } => self.send(k, request, worker),
                Action::SetTimer { after, token } => {
                    self.schedule(k, self.now + after, Event::Timer { token })
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, k: usize, id: RequestId, worker: WorkerId) {
        let (now, cold) = (self.now, self.workers[worker as usize].endpoint.started > 0);
        let delay = match self.s.delay {
            Delay::Connections(max_delay) if cold => max_delay / 2 + self.draw.below(max_delay / 2),
            _ => 0,
        };
        let f = &mut self.front_ends[k];
        let at = (*f.connected.entry(worker).or_insert(now + delay)).max(now);
        // During each stall nothing reaches cold workers; the delayed attempts then arrive together.
        let at = match self.s.delay {
            Delay::Stalls(every, span) if cold && at % every < span => at - at % every + span,
            _ => at,
        };
        let number = f.attempts.entry(id).or_default();
        self.sent_count += 1;
        self.in_transit
            .insert((at + MS, self.sent_count), (k, f.incarnation, id, *number, worker, f.knows_start));
        *number += 1;
    }

    /// Serves the attempts that have arrived at workers, or rejects them if they would wait too long.
    fn serve_arrivals(&mut self) {
        while let Some((&key, _)) = self.in_transit.first_key_value().filter(|(key, _)| key.0 <= self.now) {
            let (k, incarnation, id, attempt, worker, notified) = self.in_transit.remove(&key).unwrap();
            let (at, w) = (key.0, &mut self.workers[worker as usize]);
            let (usual, mut share) = (self.s.run[class_of(id) as usize] as f64, 1.0);
            if w.endpoint.started > 0 {
                share = self.s.share(at - w.endpoint.started);
                self.checker.arrived(worker, Arrival { at, work: usual / self.s.mean_run(), notified });
            }
            let slot = w.free_at.iter_mut().min().expect("a slot");
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
                connected_at: Micros::MAX,
            };
            if from - at > self.s.max_wait {
                (ended.concluded, ended.outcome) = (false, Outcome::Full);
                ended.elapsed = 2 * MS;
            } else {
                *slot = from + (usual * (0.5 + self.draw.fraction()) / share) as Micros;
                ended.elapsed = *slot - at;
            }
            if self.front_ends[k].incarnation == incarnation {
                self.schedule(k, at + ended.elapsed, Event::AttemptEnded(ended));
            }
        }
    }
}
