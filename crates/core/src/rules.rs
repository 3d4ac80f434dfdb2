//! All decisions of a front end; `interface.rs` holds the types that go in and out. After Clockwork (Gujarati
//! et al., OSDI 2020): predict a request's finish on each worker, send it to the earliest, or refuse it.
//! Reading order: observation, prediction, decision, guards (`send`, `load`, `settle`: the five rules).

use crate::interface::Outcome::{Cancelled, ConnectFailed, Error, Full, Miss, Moot, Reset, Timeout};
use crate::interface::*;
use crate::numbers::{blend, fade, mix, p99, rank};
use crate::state::{Attempt, Beliefs, Prediction, Run, Warm};
use crate::{ration::Ration, tries::Tries, worth::Price, worth::Shares};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::{cell::Cell, ops::Bound::Excluded, ops::Bound::Unbounded};

/// Runs kept for each function (the design's ten): of one worker alone few come.
const RUNS: usize = 10;
/// Requests of one function that may wait behind its lanes at a worker (the design's small allowance).
const ALLOWANCE: usize = 1;
/// A worker takes work until runs there would be stretched about so many times.
const STRETCH: f64 = 3.0;
/// Weight of a new sample in the running means.
const GAIN: f64 = 0.15;
/// Part of the result that probes may cost.
const PROBE_POINTS: f64 = 0.004;
/// Part of a limit (cold budget, keyed window, price of work) that is used; the rest is margin.
const MARGIN: f64 = 0.5;
/// Lean to the workers ranked first for a function, in load times.
const LEAN: f64 = 0.3;
/// Chance that a copy is gone which was not used for as long as it is kept at least.
const RISK: f64 = 0.3;
/// Part of a worker, or of a copy's lanes, that the fleet's demand for a function fills at each of its homes.
const HOME_FILL: f64 = 0.5;
/// An attempt is overdue after this many times its predicted span.
const OVERDUE: f64 = 3.0;
/// Kinds of held calls weighed again in each batch, and all of them so often within the shortest aim.
const SWEEP: (usize, Micros) = (2, 16);

#[derive(Default)]
struct Worker {
    row: RosterRow,
    ready: bool,
    cold_from: Option<Micros>,
    /// Slot of the told window, and the weight of what was sent in it or was out when it began.
    spent: (Micros, f64),
    /// When it was last told to be gone.
    left: Micros,
    flights: Vec<Attempt>,
    probed: Micros,
    /// Mean in-flight work of this front end here, fading over half the keep-alive, and when it was so.
    carried: (f64, Micros),
    tries: Tries,
    believed: Beliefs,
}

#[derive(Default)]
struct Function {
    class: u16,
    memory: f64,
    lanes: usize,
    load_told: Micros,
    load_seen: Option<f64>,
    base: Option<f64>,
    /// Run profile: the last runs on a standing copy, each over its worker's pace.
    runs: VecDeque<f64>,
    /// Calls seen here, fading over twice the keep-alive, and when it was so.
    calls: (f64, Micros),
    tries: Tries,
    order: Vec<usize>,
    demand: f64,
    /// As last weighed: how many of `order` were homes, and whether a further copy was wanted.
    homes: Cell<usize>,
    spread: Cell<bool>,
}

/// A place among the held: those whose aim can no longer be met come last, then by required start.
type Place = (bool, Micros, RequestId);
/// Held calls that would be chosen for alike: of one function and class, sent before or not.
type Kind = (FunctionId, u16, bool);

struct Pending {
    request: Request,
    base: f64,
    worth: f64,
    deadline: Micros,
    aim_at: Micros,
    /// By attempt number: the worker, when sent, and what is known of its execution.
    attempts: Vec<(WorkerId, Micros, Run)>,
    /// Held: its place in the queue; those whose aim can no longer be met come after the others.
    held: Option<(bool, Micros)>,
}

impl Pending {
    fn kind(&self) -> Kind {
        (self.request.function, self.request.class, !self.attempts.is_empty())
    }
}

#[derive(Default)]
pub struct FrontEnd {
    settings: Settings,
    seed: u64,
    workers: Vec<Worker>,
    index: BTreeMap<WorkerId, usize>,
    functions: BTreeMap<FunctionId, Function>,
    pending: BTreeMap<RequestId, Pending>,
    queue: BTreeSet<Place>,
    /// The queue by kind; kinds with a call that came or returned; workers of which something was heard.
    held: BTreeMap<Kind, BTreeSet<Place>>,
    fresh: BTreeSet<Kind>,
    touched: BTreeSet<usize>,
    /// Where the sweep over the kinds stands, and since when.
    swept: (Kind, Micros),
    /// Functions of held calls with a priority above nought, as last weighed.
    wanted: BTreeMap<FunctionId, (f64, RequestId)>,
    deadlines: BTreeSet<(Micros, RequestId)>,
    shares: Shares,
    price: Price,
    class_run: Vec<Option<f64>>,
    class_work: Vec<Option<f64>>,
    /// Class work served for this front end in a window by each unit of the established workers' capacity.
    usual: f64,
    usual_at: Micros,
    served: f64,
    established: f64,
    arrivals: VecDeque<Micros>,
    /// Orders to load and the calls that count for their ration.
    ration: Ration,
    timer_at: Option<Micros>,
    /// Seen load time over the usual, of late, at the store that all workers share.
    load_pace: Option<f64>,
    token: u32,
    shortest_aim: Micros,
    watched: bool,
    born: Micros,
    span: f64,
    /// Work seen here, fading as `calls` do; size of the fleet; so many front ends like this one make up its
    /// traffic: as told, at most what fills it; its workers' errors of late, in the mean.
    seen: (f64, Micros),
    fleet: f64,
    alike: f64,
    errors: f64,
    /// Share of calls to homes that found a copy there which this front end did not know of.
    hits: Option<f64>,
}

impl Function {
    fn loaded_in(&mut self, took: f64, pace: &mut Option<f64>) {
        let usual = self.load_seen.or((self.load_told > 0).then_some(self.load_told as f64)).unwrap_or(took);
        blend(pace, (took / usual.max(1.0)).clamp(0.25, 16.0), GAIN);
        blend(&mut self.load_seen, took / pace.unwrap_or(1.0), GAIN);
    }
}

/// Indices of the workers in the order of their ranks for a function.
fn ranked(function: FunctionId, workers: &[Worker]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..workers.len()).collect();
    order.sort_by_cached_key(|&i| mix(function, workers[i].row.worker as u64));
    order
}

impl FrontEnd {
    pub fn new(mut settings: Settings, seed: u64, now: Micros) -> FrontEnd {
        settings.tick = settings.tick.max(1000);
        let shortest_aim = settings.classes.iter().map(|c| c.aim).min().unwrap_or(0);
        let class_work = vec![None; settings.classes.len()];
        let class_run = class_work.clone();
        let blank = FrontEnd { class_run, class_work, usual_at: now, born: now, ..Default::default() };
        FrontEnd { settings, seed, shortest_aim, ..blank }
    }

    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.turn_slots(now);
        for event in events {
            match event {
                Event::Roster { form, rows } => self.take_roster(now, *form, rows, out),
                Event::Request(request) => self.take_request(now, request),
                Event::Ended(ended) => self.take_end(now, ended, out),
                Event::Gone { request } => self.forget(*request),
                Event::Timer { token } if *token == self.token => self.timer_at = None,
                Event::Loaded { worker, function, outcome, took, copies } => {
                    self.take_loaded(now, (*worker, *function), (*outcome, *took, *copies))
                }
                Event::Probed { worker, outcome, report, .. } => match (self.index.get(worker), outcome) {
                    (Some(&i), Outcome::Ok) => self.take_report(i, now, report),
                    (Some(&i), Outcome::ConnectFailed | Outcome::Reset) => self.strike(i, now, true, out),
                    _ => {}
                },
                Event::Began { request: id, .. } => {
                    self.pending.get(id).map(|p| self.deadlines.remove(&(p.deadline, *id)));
                }
                Event::Timer { .. } | Event::Peer { .. } => {}
            }
            if let Event::Ended(Ended { worker: w, .. })
            | Event::Probed { worker: w, .. }
            | Event::Loaded { worker: w, .. } = event
            {
                self.touched.extend(self.index.get(w));
            }
        }
        self.decide(now, out);
    }

    fn take_roster(&mut self, now: Micros, form: RosterForm, rows: &[RosterRow], out: &mut Vec<Action>) {
        if form == RosterForm::Failed {
            return self.watched = false;
        }
        if self.settings.ask_discovery && !std::mem::replace(&mut self.watched, true) {
            out.push(Action::Watch { on: true });
        }
        if form != RosterForm::Delta {
            let listed: BTreeSet<WorkerId> = rows.iter().map(|r| r.worker).collect();
            for w in self.workers.iter_mut().filter(|w| !listed.contains(&w.row.worker)) {
                (w.ready, w.row.lifecycle, w.left) = (false, Lifecycle::Gone, now);
            }
        }
        for row in rows {
            let i = self.index.get(&row.worker).copied().unwrap_or_else(|| self.place_of(row, now));
            let w = &mut self.workers[i];
            if row.started > w.row.started {
                w.cold_from = (row.started > 0).then_some(row.started);
                w.believed = Beliefs { pace: 1.0, pace_at: now, heard: now, ..Beliefs::default() };
            }
            w.ready = row.lifecycle == Lifecycle::Ready;
            (w.row, w.left) = (row.clone(), now);
            self.touched.insert(i);
        }
        let stale = self.functions.iter_mut().filter(|(_, f)| f.order.len() != self.workers.len());
        stale.for_each(|(&id, f)| f.order = ranked(id, &self.workers));
        self.fleet = self.workers.iter().filter(|w| w.ready).map(|w| w.row.capacity).sum();
    }

    /// A place for a new worker: that of one that is gone, so that lists which change for ever leave nothing
    /// behind, else a further one.
    fn place_of(&mut self, row: &RosterRow, now: Micros) -> usize {
        let keep = 8 * self.settings.keep.max(self.settings.retry_budget.window);
        let gone =
            |w: &Worker| w.row.lifecycle == Lifecycle::Gone && w.flights.is_empty() && now - w.left > keep;
        let i = self.workers.iter().position(gone).unwrap_or(self.workers.len());
        let row = RosterRow { started: -1, ..row.clone() };
        self.index.insert(row.worker, i);
        let new = Worker { row, probed: now, ..Default::default() };
        if i < self.workers.len() {
            self.index.remove(&std::mem::replace(&mut self.workers[i], new).row.worker);
            self.functions.values_mut().for_each(|f| f.order.clear());
        } else {
            self.workers.push(new);
        }
        i
    }

    /// Workers and functions kept.
    pub fn kept(&self) -> (usize, usize) {
        (self.workers.len(), self.functions.len())
    }

    fn take_request(&mut self, now: Micros, r: &Request) {
        let Some(class) = self.settings.classes.get(r.class as usize) else { return };
        self.arrivals.push_back(now);
        r.work.into_iter().for_each(|x| blend(&mut self.class_work[r.class as usize], x.max(1) as f64, GAIN));
        let f = self.functions.entry(r.function).or_default();
        f.calls = (f.calls.0 * fade(now - f.calls.1, 2 * self.settings.keep) + 1.0, now);
        (f.class, f.load_told) = (r.class, r.load);
        if f.order.len() != self.workers.len() {
            f.order = ranked(r.function, &self.workers);
        }
        (f.memory, f.lanes) = (r.memory_mb.max(0.0), r.lanes.clamp(1.0, 1e4) as usize);
        let deadline = now + r.budget.max(0) - (2 * self.settings.tick).min(r.budget.max(0) / 4);
        let aim_at =
            deadline.min(now + class.aim + (class.aim_stretch * r.work.unwrap_or(0) as f64) as Micros);
        let base = self.base_run(r);
        let worth = self.shares.worth(&self.settings, r, base, now);
        let came = if r.came > 0 { r.came.min(now) } else { now } - self.settings.tick;
        let (request, attempts) = (Request { came, ..r.clone() }, Vec::new());
        // Rule 5: of one whose caller nothing speaks for it is not known whether it counts.
        r.known.then(|| self.ration.took(came));
        let p = Pending { request, base, worth, deadline, aim_at, attempts, held: None };
        self.functions.entry(r.function).and_modify(|f| f.demand += base);
        let over = 2 * self.settings.keep.max(1);
        self.seen = (self.seen.0 * fade(now - self.seen.1, over) + base, now);
        self.span = (over as f64 * (1.0 - fade(now - self.born, over))).max(self.shortest_aim.max(1) as f64);
        let most = (self.fleet * self.span / self.seen.0.max(1.0)).max(1.0);
        self.alike = most.min(self.settings.front_ends.max(1) as f64);
        self.deadlines.insert((deadline, r.id));
        self.pending.insert(r.id, p);
        self.hold(r.id, now, (true, false));
    }

    fn hold(&mut self, id: RequestId, now: Micros, (fresh, late): (bool, bool)) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        let start = p.aim_at - p.base as Micros;
        // Worth much less for its work than calls refused of late: behind others. Covers a tenant's surge.
        let late = late || start < now;
        let (start, kind) = (if late { start - p.aim_at + p.deadline } else { start }, p.kind());
        let late = late || p.worth < MARGIN * self.price.now(now, self.shortest_aim);
        p.held = Some((late, start));
        self.queue.insert((late, start, id));
        self.held.entry(kind).or_default().insert((late, start, id));
        self.fresh.extend(fresh.then_some(kind));
    }

    fn unhold(&mut self, id: RequestId) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        let (Some((late, start)), kind) = (p.held.take(), p.kind()) else { return };
        self.queue.remove(&(late, start, id));
        let of_kind = self.held.entry(kind).or_default();
        of_kind.remove(&(late, start, id));
        if of_kind.is_empty() {
            self.held.remove(&kind);
        }
    }

    fn forget(&mut self, id: RequestId) {
        self.unhold(id);
        if let Some(p) = self.pending.remove(&id) {
            self.deadlines.remove(&(p.deadline, id));
            self.functions.entry(p.request.function).and_modify(|f| f.demand = (f.demand - p.base).max(0.0));
        }
    }

    fn take_end(&mut self, now: Micros, e: &Ended, out: &mut Vec<Action>) {
        let Some(&i) = self.index.get(&e.worker) else { return };
        let flights = &mut self.workers[i].flights;
        if let Some(at) = flights.iter().position(|a| (a.request, a.number) == (e.request, e.attempt)) {
            let attempt = flights.swap_remove(at);
            let (w, ok) = (&mut self.workers[i], e.outcome == Outcome::Ok);
            let from = w.cold_from.map(|t| if ok && attempt.sent <= t { w.row.started } else { t });
            w.cold_from = from.filter(|&t| t > 0 && now < t + self.settings.warm_up);
            let counts = ok && w.ready && w.cold_from.is_none() && w.row.capacity > 0.0;
            self.served += if counts { attempt.weight / self.established.max(w.row.capacity) } else { 0.0 };
            self.learn(i, now, e, &attempt, out);
        }
        let Some(p) = self.pending.get_mut(&e.request) else { return };
        if e.outcome == Outcome::Ok && !std::mem::replace(&mut p.request.known, true) {
            self.ration.took(p.request.came);
        }
        if e.concluded {
            return self.forget(e.request);
        }
        if let Some(slot) = p.attempts.get_mut(e.attempt as usize) {
            let never = matches!(e.outcome, Full | ConnectFailed | Moot | Miss);
            slot.2 = if never { Run::Never } else { Run::Perhaps };
        }
        if p.attempts.iter().all(|a| a.2 != Run::Out) && p.held.is_none() {
            let (function, only) = (p.request.function, self.settings.max_attempts == 1 && e.outcome == Miss);
            if self.may_resend(e.request, now) {
                return self.hold(e.request, now, (true, false));
            }
            // Of one attempt: lost, but the next calls find the copy. Could harm: loads for one-offs.
            if only && !self.ration.is_out((e.worker, function)) {
                self.load(i, function, now, out);
            }
            self.settle(e.request, out);
        }
    }

    fn learn(&mut self, i: usize, now: Micros, e: &Ended, a: &Attempt, out: &mut Vec<Action>) {
        let (keep, w) = (self.settings.keep, &mut self.workers[i]);
        let (alone, b) = (w.flights.is_empty(), &mut w.believed);
        b.broke += (e.outcome == Reset) as u32;
        let ended = e.outcome == ConnectFailed || alone && b.broke > 1;
        let expected = (a.predicted.base * a.predicted.factor).max(1.0);
        let ratio = (e.took.max(1) as f64 / expected).clamp(0.1, 20.0);
        if !matches!(e.outcome, Timeout | Cancelled | ConnectFailed | Reset) {
            b.heard = now;
        }
        let Some(f) = self.functions.get_mut(&a.function) else { return };
        if a.predicted.home && matches!(e.outcome, Outcome::Ok | Miss) {
            blend(&mut self.hits, (e.outcome == Outcome::Ok && e.note.copy <= 1) as u8 as f64, GAIN);
        }
        match e.outcome {
            Outcome::Ok => {
                (b.strikes, b.broke, b.errors) = (0, 0, b.errors * (1.0 - GAIN));
                b.loading_until = if a.predicted.warm || a.predicted.home { b.loading_until } else { now };
                let copies = b.warm.get(&a.function).map_or(1, |x| x.copies.max(1));
                b.warm.insert(a.function, Warm { ready: now, until: now + keep, used: now, copies });
                if e.note.copy == 2 {
                    let load = (e.took as f64 - a.predicted.base * b.pace * a.predicted.factor).max(1.0);
                    f.loaded_in(load, &mut self.load_pace);
                } else if e.note.copy <= 1 {
                    // Only runs on a standing copy feed the profile and the worker's pace.
                    b.pace = (b.pace + GAIN * (ratio - b.pace)).clamp(0.2, 20.0);
                    b.pace_at = now;
                    let sample = e.took as f64 / (b.pace * a.predicted.factor);
                    f.runs.truncate(RUNS - 1);
                    f.runs.push_front(sample);
                    blend(&mut f.base, sample, GAIN);
                    blend(&mut self.class_run[f.class as usize], sample, GAIN);
                }
                self.take_report(i, now, &e.report);
            }
            Miss => drop(b.warm.insert(a.function, Warm::gone(now, keep))),
            Full => b.full_until = now + (a.predicted.base * b.pace) as Micros / 2,
            Error if e.note.copy == 4 => drop(b.warm.remove(&a.function)),
            Error => self.strike(i, now, false, out),
            ConnectFailed | Reset => self.strike(i, now, ended, out),
            Timeout | Cancelled if !a.predicted.warm && !a.predicted.home => {
                // It was waiting for a load: that is the store's slowness, not the worker's.
                f.loaded_in(e.took as f64, &mut self.load_pace);
            }
            Timeout | Cancelled if ratio > b.pace => {
                (b.pace, b.pace_at) = (b.pace + GAIN * (ratio - b.pace), now);
            }
            _ => {}
        }
    }

    /// Counts a failure against a worker. No connection, or all that was out broken off, ejects, voids what
    /// was believed (slow start, as it comes back cold before the list tells) unless an answer shows that it
    /// lived; errors where frequent beyond all workers' mean. Covers dead, restarting, fast-failing workers.
    fn strike(&mut self, i: usize, now: Micros, broken: bool, out: &mut Vec<Action>) {
        let shortest = (self.settings.connect_timeout * 2).max(self.settings.tick * 100);
        let longest = (self.settings.keep / 2).max(shortest);
        let w = &mut self.workers[i];
        let b = &mut w.believed;
        b.errors += GAIN * (1.0 - b.errors);
        if broken {
            (b.warm, b.loads, w.cold_from) = (BTreeMap::new(), BTreeMap::new(), Some(now));
        }
        if (broken || b.errors > 2.0 * GAIN + self.errors) && b.ejected_until <= now {
            b.strikes = (b.strikes + 1).min(16);
            b.ejected_until = now + (shortest << (b.strikes - 1).min(5)).min(longest);
            let (worker, span) = (w.row.worker, (b.ejected_until - now) / 1000);
            out.push(Action::Log { text: format!("eject worker {worker} for {span} ms") });
        }
    }

    fn take_report(&mut self, i: usize, now: Micros, report: &Report) {
        let w = &mut self.workers[i];
        w.believed.heard = now;
        let Some(values) = report else { return };
        let own = w.flights.len() as f64;
        for (field, &value) in self.settings.report.iter().zip(values) {
            let total = match field {
                ReportField::InFlight => value as f64,
                ReportField::Queue if value >= 0.5 => value as f64 + w.row.capacity,
                ReportField::Busy => (value as f64).clamp(0.0, 1.0) * w.row.capacity,
                ReportField::Queue => return w.believed.others = None,
                ReportField::Other => continue,
            };
            blend(&mut w.believed.others, (total - own).max(0.0), GAIN);
            w.believed.others_at = now;
        }
    }

    fn take_loaded(&mut self, now: Micros, at: (WorkerId, FunctionId), got: (Outcome, Micros, u8)) {
        let (keep, (worker, function), (outcome, took, copies)) = (self.settings.keep, at, got);
        self.ration.ended(at, outcome == ConnectFailed, now);
        let Some(&i) = self.index.get(&worker) else { return };
        let b = &mut self.workers[i].believed;
        b.loads.remove(&function);
        if let Some(f) = self.functions.get_mut(&function).filter(|_| outcome == Outcome::Ok) {
            f.loaded_in(took as f64, &mut self.load_pace);
        }
        if copies > 0 {
            let until = now + keep;
            let used = b.warm.get(&function).map_or(0, |x| x.used);
            b.warm.insert(function, Warm { ready: now, until, used, copies: copies as u32 });
        } else if outcome != Outcome::Timeout && b.warm.get(&function).is_none_or(|x| x.ready <= now) {
            b.warm.insert(function, Warm::gone(now, keep));
        }
        b.full_until = if outcome == Full { now + self.shortest_aim / 8 } else { b.full_until };
    }

    /// Run time at pace 1 without contention: by told work, else the function's mean, its class's, a default.
    fn base_run(&self, r: &Request) -> f64 {
        let c = r.class as usize;
        let class = self.class_run[c].or_else(|| self.class_run.iter().flatten().copied().next());
        let class = class.unwrap_or(self.settings.classes[c].aim as f64 / 4.0);
        match (r.work, self.class_work[c]) {
            (Some(work), Some(mean)) => class * (work as f64 / mean).clamp(0.1, 10.0),
            _ => self.functions.get(&r.function).and_then(|f| f.base).unwrap_or(class),
        }
    }

    /// Load time: as seen, else told, else as long as the aim (generous), times the pace of the shared store.
    fn load_time(&self, function: FunctionId) -> f64 {
        let Some(f) = self.functions.get(&function) else { return 0.0 };
        let told = if f.load_told > 0 { f.load_told } else { self.settings.classes[f.class as usize].aim };
        f.load_seen.unwrap_or(told as f64) * self.load_pace.unwrap_or(1.0)
    }

    /// Others' requests at a worker: reported, else as if they sent what this one did of late, so that each
    /// spreads its calls as the fleet needs. The choice goes by all of the guess, the finish by little.
    fn others(&self, w: &Worker, now: Micros) -> (f64, f64) {
        if let Some(others) = w.believed.others.filter(|_| now - w.believed.others_at < self.shortest_aim) {
            return (others, others);
        }
        let guess = (self.alike - 1.0).max(0.0) * self.carried(w, now);
        (guess.min(w.row.capacity / 2.0), guess)
    }

    fn carried(&self, w: &Worker, now: Micros) -> f64 {
        w.carried.0 * fade(2 * (now - w.carried.1), self.settings.keep)
    }

    fn predict(&self, i: usize, p: &Pending, load: f64, home: f64, now: Micros) -> Prediction {
        let (w, r) = (&self.workers[i], &p.request);
        let function = self.functions.get(&r.function);
        let warm = w.believed.warm.get(&r.function).filter(|x| x.until > now);
        let mine = w.flights.iter().filter(|a| a.function == r.function);
        let count = mine.clone().count();
        let (size, (others, guess)) = (w.row.capacity.max(1.0), self.others(w, now));
        let held = w.flights.len() as f64 + 1.0 + others;
        let factor = (held / size).max(1.0);
        let slots = function.map_or(1, |f| f.lanes) * warm.map_or(1, |x| x.copies.max(1)) as usize;
        let wait = if warm.is_some() { 0 } else { (load * (1.0 - home.max(0.0))) as Micros };
        // Where a miss only answers, a home that may lack the copy is a doubt, no wait. Guards against front
        // ends that know little and refuse untried all that others have loaded; could harm by more misses.
        let doubt = if self.settings.on_miss == OnMiss::Miss && home > 0.0 { wait } else { 0 };
        let mut start = warm.map_or(now + wait - doubt, |x| x.ready.max(now));
        if count >= slots {
            let mut ends: Vec<Micros> = mine.map(|a| a.predicted.finish).collect();
            ends.sort_unstable();
            start = start.max(ends[count - slots]);
        }
        let mean = p.base * w.believed.pace * factor;
        let p99 = function.and_then(|f| p99(&f.runs, RUNS)).map(|x| x * w.believed.pace * factor);
        let finish = start + p99.unwrap_or(mean) as Micros;
        let abroad = (w.row.zone as u32 != self.settings.zone) as u8 as f64;
        let mut cost =
            (finish + doubt) as f64 + mean * ((held - others + guess) / size / factor - 1.0).max(0.0);
        cost += abroad * self.settings.price_cross_zone * self.settings.classes[r.class as usize].aim as f64;
        // Away from its homes a function leans to workers ranked first and to copies used of late.
        let lean = rank(r.function, w.row.worker as u64);
        let idle = warm.map_or(0.0, |x| (now - x.used) as f64 / self.settings.keep.max(1) as f64).min(1.0);
        cost += if home < 0.0 { load * (LEAN * lean + RISK * idle) } else { 0.0 };
        cost += rank(self.seed ^ r.id as u64, w.row.worker as u64) * 1000.0;
        let crowded = held > STRETCH * size || w.believed.full_until > now;
        let room = count < slots + ALLOWANCE && !crowded;
        let (warm, home) = (warm.is_some(), warm.is_none() && home > 0.0);
        Prediction { finish, cost, factor, base: p.base, warm, home, load: wait, room, index: i }
    }

    /// After an ejection one request at a time tries a worker until an answer clears it.
    fn healthy(&self, w: &Worker, now: Micros) -> bool {
        w.believed.ejected_until <= now && (w.believed.strikes == 0 || w.flights.is_empty())
    }

    /// Choice and admission: where a held request goes now, or until when it waits; by now: it is given up.
    fn place(&self, id: RequestId, (ready, doubt): (usize, bool), now: Micros) -> Result<Prediction, Micros> {
        let (p, function) = (&self.pending[&id], self.pending[&id].request.function);
        let (miss, load) = (self.settings.on_miss == OnMiss::Miss, self.load_time(function));
        let class = &self.settings.classes[p.request.class as usize];
        let (unsafe_call, late_worth) = (class.effect == Effect::Unsafe, class.late_worth);
        let (again, tried) = (!p.attempts.is_empty(), p.attempts.len() as u32);
        let (mut found, mut back): ([[Option<Prediction>; 2]; 2], _) = (Default::default(), None);
        let Some(f) = self.functions.get(&function) else { return Err(now) };
        // Further attempts stay a told share of first ones, so that trouble does not multiply load; a call of
        // a function that spent it waits. Could harm where one worker's trouble is most of its traffic.
        let spare = |t: &Tries| !again || t.allow(now, &self.settings.retry_budget);
        if !spare(&f.tries) {
            return Err(p.aim_at);
        }
        // Never nought, else a home would be none, and no answer from one could raise it again.
        let (mut need, chance) = (self.demand(f, now), self.hits.unwrap_or(0.5).max(f64::MIN_POSITIVE));
        // A last attempt is kept where an order may bring a copy, an only one while such an order is out:
        // else nobody would try a home and learn of a copy.
        let ordered = |&i: &usize| self.workers[i].believed.loads.contains_key(&function);
        let last = miss
            && tried + 1 >= self.settings.max_attempts
            && (again && self.ration.allows(now, &self.settings) || f.order.iter().any(ordered));
        f.homes.set(0);
        for (at, &i) in f.order.iter().enumerate() {
            let w = &self.workers[i];
            let known = w.believed.warm.get(&function);
            let warm = known.is_some_and(|x| x.until > now);
            // An unsafe call that may have run ends in failure: not where errors were seen of late.
            let well = self.healthy(w, now) && !(unsafe_call && w.believed.errors > GAIN / 2.0 + self.errors);
            if !w.ready || !(well || doubt) || !spare(&w.tries) {
                continue;
            }
            let home = need > 0.0;
            let absent = known.map_or(w.cold_from.is_some(), |x| x.copies == 0 && x.ready > now);
            need -= if miss && absent { 0.0 } else { self.home_size(f, w, now) };
            f.homes.set(if home { at + 1 } else { f.homes.get() });
            // Where a miss only answers: to a believed copy or a home, the next in rank if one lacks it; at
            // last to a copy. Else a load: one at a time, beyond the homes at the first with room.
            let barred = miss && (absent || last) || !home && (miss || found[0][1].is_some());
            if !warm && (barred || w.believed.loading_until > now) {
                continue;
            }
            // Not again where it was, unless a copy came to stand there since: the one that its own miss had
            // loaded. Guards against calls that wait out their time beside their copy; also covers a lane
            // freed after 'full'. Could harm where copies come and go faster than calls are tried.
            let since = |a: &Micros| warm && known.is_some_and(|x| x.ready > *a);
            let here = p.attempts.iter().filter(|a| a.0 == w.row.worker);
            let spent = |a: &(WorkerId, Micros, Run)| match a.2 {
                Run::Never => ready > p.attempts.len() && !since(&a.1),
                ended => ended == Run::Out || !warm || class.effect != Effect::Safe,
            };
            if here.clone().any(spent) || !self.in_group(p, w) {
                continue;
            }
            let stands = if !home { -1.0 } else { chance * !absent as u8 as f64 };
            let x = self.predict(i, p, load, stands, now);
            // A safe call may go back to a copy after an error, if none other can be in time. Covers one that
            // fails often and holds the only copy. Could harm where errors come of too much work.
            if here.clone().any(|a| a.2 == Run::Perhaps) {
                back = if x.room && x.finish <= p.aim_at { Some(x) } else { back };
                continue;
            }
            let slot = &mut found[(warm || home) as usize][(x.room && self.cold_room(i, p, now)) as usize];
            if slot.as_ref().is_none_or(|y| x.cost < y.cost) {
                *slot = Some(x);
            }
        }
        let [mut cold, [warm_full, warm_free]] = found;
        // While copies stand, another load only when the priority asks for it, lest loads crowd the store.
        f.spread.set(warm_full.is_none() && warm_free.is_none() || self.priority(function, now) > 0.0);
        if !f.spread.get() {
            cold = [None, None];
        }
        let [cold_full, cold_free] = cold;
        let least = |a, b| [a, b].into_iter().flatten().min_by(|a: &Prediction, b| a.cost.total_cmp(&b.cost));
        let (best, any) = (least(warm_free, cold_free), least(warm_full, cold_full));
        // Past the aim an answer earns its late worth, on lanes that nothing in time wants.
        let late = |x: &Prediction| late_worth > 0.0 && x.factor <= 1.0 && x.finish <= p.deadline;
        match (best, any) {
            (Some(x), _) if x.finish <= p.aim_at => Ok(x),
            (_, Some(x)) if x.finish <= p.aim_at => Err(p.aim_at),
            _ if back.is_some() => Ok(back.expect("looked at")),
            (Some(x), _) if late(&x) => Ok(x),
            (None, None) => Err(p.aim_at.max(now + 1)),
            _ => Err(p.deadline - p.base as Micros),
        }
    }

    /// The fleet's demand for a function, in calls at work at once; the call in hand does not count. The
    /// workers ranked first that hold it are its homes, where all front ends find copies without asking.
    /// Covers many front ends with little traffic each; could harm while popularity turns.
    fn demand(&self, f: &Function, now: Micros) -> f64 {
        let over = 2 * self.settings.keep.max(1);
        let seen = (f.calls.0 * fade(now - f.calls.1, over) - 1.0).max(0.0);
        let run = f.base.or(self.class_run[f.class as usize]).unwrap_or(self.shortest_aim as f64 / 4.0);
        (seen / self.span * run * self.alike).max(f64::MIN_POSITIVE)
    }

    fn home_size(&self, f: &Function, w: &Worker, now: Micros) -> f64 {
        (f.lanes as f64).min(w.row.capacity) * HOME_FILL * self.share(w, now)
    }

    /// What a worker that may be cold can do at least, as told; 1 when established.
    fn share(&self, w: &Worker, now: Micros) -> f64 {
        let (least, over) = (self.settings.start_share, self.settings.warm_up.max(1) as f64);
        w.cold_from.map_or(1.0, |t| least + (1.0 - least) * ((now - t) as f64 / over).clamp(0.0, 1.0))
    }

    /// Weighs the held calls whose answer can have changed, in the order of the queue: of kinds that a call
    /// came to, that a worker just heard of could take, and a few others in turn. Guards against a cost that
    /// grows with all that is held; could harm where a change goes unseen until the sweep comes by.
    fn decide(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.expire(now, out);
        let passed: Vec<_> = self.queue.iter().take_while(|x| !x.0 && x.1 < now).map(|x| x.2).collect();
        passed.into_iter().for_each(|id| self.pass(id, now, out));
        let ready = self.workers.iter().filter(|w| w.ready).count();
        // With most workers ejected the judgement is doubted rather than the workers.
        let doubt = self.workers.iter().filter(|w| w.ready && self.healthy(w, now)).count() * 2 < ready;
        let mut due = self.sweep(now);
        due.append(&mut self.fresh);
        let mut open: Vec<usize> = std::mem::take(&mut self.touched).into_iter().collect();
        open.retain(|&i| self.open(i, doubt, now));
        let mut tries: BTreeSet<(Place, Kind)> = BTreeSet::new();
        tries.extend(due.iter().filter_map(|&kind| Some((*self.held.get(&kind)?.first()?, kind))));
        if !open.is_empty() {
            let reached =
                self.held.iter().filter(|(kind, _)| open.iter().any(|&i| self.reaches(i, kind, now)));
            tries.extend(reached.filter_map(|(&kind, held)| Some((*held.first()?, kind))));
        }
        let mut blocked: BTreeMap<Kind, u32> = BTreeMap::new();
        while let Some((place, kind)) = tries.pop_first() {
            let reached = |&i: &usize| self.open(i, doubt, now) && self.reaches(i, &kind, now);
            if !due.contains(&kind) && !open.iter().any(reached) {
                continue;
            }
            let refused = self.try_place(place.2, (ready, doubt), now, out);
            let tried = blocked.entry(kind).or_default();
            *tried += refused as u32;
            if *tried < 2 {
                let of_kind = self.held.get(&kind);
                let next = of_kind.and_then(|x| x.range((Excluded(place), Unbounded)).next());
                tries.extend(next.map(|&next| (next, kind)));
            }
        }
        let over = self.queue.range((true, Micros::MIN, 0)..=(true, now, RequestId::MAX));
        let over: Vec<_> = over.map(|x| x.2).collect();
        over.into_iter().for_each(|id| _ = self.try_place(id, (ready, doubt), now, out));
        self.order_loads(now, out);
        self.probe(now, out);
        self.set_timer(now, out);
    }

    /// A call can't be in time: answered now if behind more than drains. Could harm where the pace rises.
    fn pass(&mut self, id: RequestId, now: Micros, out: &mut Vec<Action>) {
        let p = &self.pending[&id];
        let others = self.queue.iter().take(2).any(|q| !q.0 && q.2 != id);
        let behind = others || self.drain().is_some_and(|d| now as f64 + d > p.deadline as f64 - p.base);
        let late_worth = self.settings.classes[p.request.class as usize].late_worth;
        self.price.refused(p.worth, now, self.shortest_aim);
        if (behind || late_worth <= 0.0) && p.attempts.iter().all(|a| a.2 != Run::Out) {
            self.settle(id, out);
        } else {
            self.unhold(id);
            self.hold(id, now, (false, true));
        }
    }

    /// Sends a held call, settles it, or tells that it waits. One that no worker would finish in time makes
    /// way: else those about to be late keep back others of their kind until they are late too.
    fn try_place(&mut self, id: RequestId, at: (usize, bool), now: Micros, out: &mut Vec<Action>) -> bool {
        let Some(p) = self.pending.get(&id) else { return false };
        let (function, aim_at, base) = (p.request.function, p.aim_at, p.base as Micros);
        let late = p.held.is_some_and(|h| h.1 > aim_at - base);
        let placed = self.place(id, at, now);
        let short = match &placed {
            Ok(x) => x.warm && x.finish > aim_at,
            Err(until) => *until > now,
        };
        if self.settings.may_order {
            let priority = if short { self.priority(function, now) } else { 0.0 };
            if priority > 0.0 {
                self.wanted.insert(function, (priority, id));
            } else {
                self.wanted.remove(&function);
            }
        }
        match placed {
            Ok(x) => self.send(id, x, now, out),
            Err(until) if until <= now => self.settle(id, out),
            Err(until) if until > aim_at && !late => self.pass(id, now, out),
            Err(_) => return true,
        }
        false
    }

    fn sweep(&mut self, now: Micros) -> BTreeSet<Kind> {
        let (from, since) = self.swept;
        let part = (now - since) as f64 / (self.shortest_aim / SWEEP.1).max(1) as f64;
        let many = SWEEP.0 + (self.held.len() as f64 * part.clamp(0.0, 1.0)) as usize;
        let (after, before) = (self.held.range((Excluded(from), Unbounded)), self.held.range(..=from));
        let turn: Vec<Kind> = after.chain(before).take(many).map(|x| *x.0).collect();
        self.swept = (turn.last().copied().unwrap_or(from), now);
        turn.into_iter().collect()
    }

    fn open(&self, i: usize, doubt: bool, now: Micros) -> bool {
        let w = &self.workers[i];
        let held = w.flights.len() as f64 + 1.0 + self.others(w, now).0;
        let well = self.healthy(w, now) || doubt;
        w.ready && well && w.believed.full_until <= now && held <= STRETCH * w.row.capacity.max(1.0)
    }

    /// Whether calls of a kind could go to a worker that has room, as far as is seen without weighing them.
    fn reaches(&self, i: usize, kind: &Kind, now: Micros) -> bool {
        let (w, Some(f)) = (&self.workers[i], self.functions.get(&kind.0)) else { return false };
        let home = || f.order.iter().take(f.homes.get()).any(|&x| x == i);
        match w.believed.warm.get(&kind.0).filter(|x| x.until > now) {
            Some(warm) => {
                let slots = f.lanes * warm.copies.max(1) as usize + ALLOWANCE;
                w.flights.len() < slots || w.flights.iter().filter(|a| a.function == kind.0).count() < slots
            }
            None if w.believed.loading_until > now => false,
            None if self.settings.on_miss == OnMiss::Miss => home(),
            None => f.spread.get() || home(),
        }
    }

    fn expire(&mut self, now: Micros, out: &mut Vec<Action>) {
        let due: Vec<RequestId> = self.deadlines.iter().take_while(|d| d.0 <= now).map(|d| d.1).collect();
        due.into_iter().for_each(|id| self.settle(id, out));
        let (s, seen_window) = (&self.settings, self.settings.load_window.max(self.settings.keep).max(1));
        self.ration.forget(now, s);
        // In order of time: what is over lies in front.
        while self.arrivals.front().is_some_and(|&t| t <= now - seen_window) {
            self.arrivals.pop_front();
        }
        let (aim, order_timeout) = (self.shortest_aim, s.order_timeout + s.tick * 4);
        let (window, warm_up, keep) = (s.fall_window.max(1), s.warm_up, s.keep.max(1));
        let ready = self.workers.iter().filter(|w| w.ready);
        self.errors = ready.clone().map(|w| w.believed.errors).sum::<f64>() / ready.count().max(1) as f64;
        let (mut again, mut silent, calm) = (Vec::new(), Vec::new(), self.queue.is_empty());
        for (i, w) in self.workers.iter_mut().enumerate() {
            w.cold_from = w.cold_from.filter(|t| now < t + warm_up);
            let b = &mut w.believed;
            b.loads.retain(|_, t| now - *t <= order_timeout);
            let opened = |t: &Micros| (self.swept.1 + 1..=now).contains(t);
            let opens = [b.full_until, b.ejected_until, b.loading_until].iter().any(opened);
            self.touched.extend((opens || w.cold_from.is_some()).then_some(i));
            // What nothing confirms fades.
            if now - b.pace_at > keep / 8 {
                (b.pace_at, b.pace, b.errors) = (now, b.pace + 0.1 * (1.0 - b.pace), b.errors * 0.9);
            }
            // Two attempts far over their predicted span, no word since: silent (one may be heavy). None is
            // tried again while calls are held, as copies would take room from first attempts.
            let span = |a: &Attempt| ((OVERDUE * (a.predicted.finish - a.sent) as f64) as Micros).max(aim);
            let late = |a: &&Attempt| now > a.sent + span(a) && b.heard <= a.sent;
            if w.flights.iter().filter(late).count() > 1 {
                for a in w.flights.iter_mut().filter(|a| calm && !a.noticed) {
                    a.noticed = true;
                    again.push((a.request, a.number));
                }
                silent.push(i);
            }
        }
        silent.into_iter().for_each(|i| self.strike(i, now, true, out));
        again.into_iter().for_each(|(id, number)| self.try_again(id, number, now, out));
        let usable = |w: &&Worker| w.ready && w.cold_from.is_none() && w.believed.ejected_until <= now;
        self.established = self.workers.iter().filter(usable).map(|w| w.row.capacity).sum();
        if self.usual_at + window <= now {
            self.functions.retain(|_, f| now - f.calls.1 < 8 * keep);
            self.wanted.retain(|f, _| self.functions.contains_key(f));
            let span = now - std::mem::replace(&mut self.usual_at, now);
            self.workers.iter_mut().for_each(|w| w.believed.warm.retain(|_, x| x.until + keep > now));
            self.load_pace = self.load_pace.map(|x| x + 0.1 * (1.0 - x));
            let work = std::mem::take(&mut self.served) * window as f64 / span as f64;
            self.usual += if self.established > 0.0 { 0.3 * (work - self.usual) } else { 0.0 };
        }
    }

    /// Overdue at a silent worker: another copy where two may be out, else called off, which brings it back.
    fn try_again(&mut self, id: RequestId, number: u16, now: Micros, out: &mut Vec<Action>) {
        let Some(p) = self.pending.get(&id).filter(|p| p.held.is_none()) else { return };
        if self.settings.classes[p.request.class as usize].effect != Effect::Safe {
            return;
        }
        if self.settings.second_copies && self.may_resend(id, now) {
            self.hold(id, now, (true, false));
        } else if self.settings.may_cancel {
            out.push(Action::Cancel { request: id, attempt: number });
        }
    }

    /// The top functions by the design's priority, where above nought, get one more instance each.
    fn order_loads(&mut self, now: Micros, out: &mut Vec<Action>) {
        let able = || {
            self.ration.allows(now, &self.settings) && self.workers.iter().any(|w| self.takes_load(w, now))
        };
        if self.wanted.is_empty() || !able() {
            return;
        }
        let mut ranked: Vec<_> = self.wanted.iter().map(|(&f, &(priority, id))| (priority, f, id)).collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, function, id) in ranked.into_iter().take(self.workers.len()) {
            let load = self.load_time(function);
            let Some(p) = self.pending.get(&id).filter(|_| self.priority(function, now) > 0.0) else {
                self.wanted.remove(&function);
                continue;
            };
            let cold = |w: &Worker| {
                let stands = w.believed.warm.get(&function).is_some_and(|x| x.until > now);
                !stands && !self.ration.is_out((w.row.worker, function))
            };
            let may = |i: &usize| cold(&self.workers[*i]) && self.takes_load(&self.workers[*i], now);
            let found = (0..self.workers.len()).filter(may).map(|i| self.predict(i, p, load, -1.0, now));
            // Where calls may go first: a copy at a cold worker is no use to the call that it is ordered for.
            let found = found.map(|x| (!self.cold_room(x.index, p, now), x));
            let least = found.min_by(|a, b| a.0.cmp(&b.0).then(a.1.cost.total_cmp(&b.1.cost)));
            if let Some((_, x)) = least {
                self.load(x.index, function, now, out);
            }
        }
    }

    fn takes_load(&self, w: &Worker, now: Micros) -> bool {
        let b = &w.believed;
        w.ready && self.healthy(w, now) && b.loads.is_empty() && b.full_until <= now
    }

    fn priority(&self, function: FunctionId, now: Micros) -> f64 {
        let Some(f) = self.functions.get(&function) else { return 0.0 };
        let span = self.settings.classes[f.class as usize].aim as f64;
        // p = d - sum(a * capacity / l); as a = d / l over the sum of 1 / l, it is d times one less a share.
        let (mut served, mut inverse, mut need) = (0.0, 0.0, self.demand(f, now));
        let mean = self.class_run[f.class as usize].unwrap_or(span / 4.0);
        for w in f.order.iter().map(|&i| &self.workers[i]).filter(|w| w.ready) {
            let known = w.believed.warm.get(&function);
            let absent = known.map_or(w.cold_from.is_some(), |x| x.copies == 0 && x.ready > now);
            let well = w.believed.ejected_until <= now;
            let home = need > 0.0 && !absent && well;
            need -= well as u8 as f64 * self.home_size(f, w, now);
            let stands = well && known.is_some_and(|x| x.until > now);
            if home || stands || w.believed.loads.contains_key(&function) {
                let own: f64 = w.flights.iter().map(|a| a.predicted.base).sum();
                let load = ((own + self.others(w, now).1 * mean) * w.believed.pace).max(1.0);
                served += w.row.capacity.max(1.0) * span / load / load;
                inverse += 1.0 / load;
            }
        }
        f.demand * (1.0 - if inverse > 0.0 { served / inverse } else { 0.0 })
    }

    /// Probes the workers in turn, where reports come that way, within what probes may cost.
    fn probe(&mut self, now: Micros, out: &mut Vec<Action>) {
        let s = &self.settings;
        if !s.may_probe || s.report_via != ReportVia::Probe || self.arrivals.is_empty() {
            return;
        }
        let each = (PROBE_POINTS / s.price_probe.max(PROBE_POINTS)).min(1.0);
        let ready = self.workers.iter().filter(|w| w.ready).count();
        let gap = s.load_window.max(s.keep).max(1) as f64 / self.arrivals.len() as f64;
        let every = ((gap * ready as f64 / each) as Micros).max(self.shortest_aim / 3);
        for w in self.workers.iter_mut().filter(|w| w.ready && now - w.probed >= every) {
            w.probed = now;
            out.push(Action::Probe { worker: w.row.worker });
        }
    }

    fn set_timer(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut next = now + self.settings.keep.max(1_000_000);
        next = self.deadlines.first().map_or(next, |d| next.min(d.0));
        let late = self.queue.range((true, Micros::MIN, 0)..).next();
        next = self.queue.first().into_iter().chain(late).fold(next, |next, q| next.min(q.1));
        next = if self.held.is_empty() { next } else { next.min(now + self.shortest_aim / SWEEP.1) };
        let (busy, tick) = (self.workers.iter().any(|w| w.flights.len() > 1), self.settings.tick);
        next = if busy { next.min(now + tick * 50) } else { next }.max(now + tick);
        if self.timer_at.is_none_or(|at| next < at || at <= now) {
            self.token = self.token.wrapping_add(1);
            self.timer_at = Some(next);
            out.push(Action::Timer { after: next - now, token: self.token });
        }
    }

    /// Rule 2: another attempt only where none is out or may have run, as far as the class forbids it.
    fn may_resend(&self, id: RequestId, now: Micros) -> bool {
        let Some(p) = self.pending.get(&id) else { return false };
        let doubled = !self.settings.second_copies && p.attempts.iter().any(|a| a.2 == Run::Out);
        if doubled || p.attempts.len() as u32 >= self.settings.max_attempts || now >= p.deadline {
            return false;
        }
        match self.settings.classes[p.request.class as usize].effect {
            Effect::Safe => true,
            Effect::Unsafe => p.attempts.iter().all(|a| a.2 == Run::Never),
            Effect::Keyed { window, .. } => {
                let first = p.attempts.iter().filter(|a| a.2 != Run::Never).map(|a| a.1).min();
                first.is_none_or(|t| now < t + (window as f64 * MARGIN) as Micros)
            }
        }
    }

    /// Rule 2: a keyed request that may have run stays within the group that drops its repeats.
    fn in_group(&self, p: &Pending, w: &Worker) -> bool {
        let effect = self.settings.classes[p.request.class as usize].effect;
        let Effect::Keyed { group, .. } = effect else { return true };
        let same = |row: &RosterRow| match group {
            Group::All => true,
            Group::Zone => row.zone == w.row.zone,
            Group::Cell => row.cell == w.row.cell,
        };
        p.attempts
            .iter()
            .all(|a| a.2 == Run::Never || self.index.get(&a.0).is_some_and(|&i| same(&self.workers[i].row)))
    }

    fn may_refuse(&self, p: &Pending) -> bool {
        let effect = self.settings.classes[p.request.class as usize].effect;
        matches!(effect, Effect::Safe | Effect::Keyed { group: Group::All, .. })
            || p.attempts.iter().all(|a| a.2 == Run::Never)
    }

    /// Work of a class as a share of the mean.
    fn weight(&self, class: u16) -> f64 {
        let (sum, n) = self.class_run.iter().flatten().fold((0.0, 0.0), |(s, n), x| (s + x, n + 1.0));
        self.class_run[class as usize].map_or(1.0, |x| x * n / sum)
    }

    /// Rule 4: in each slot of the told window a cold worker gets the told share and multiple of what others
    /// serve (not: are sent, but where none is established) for this front end, so that the sum stays under
    /// what it can do. A part below one request is a chance, drawn for each slot. Could harm: used late.
    fn cold_room(&self, i: usize, p: &Pending, now: Micros) -> bool {
        let w = &self.workers[i];
        let (s, share) = (&self.settings, self.share(w, now));
        let came = self.arrivals.len() as f64 * self.alike / s.load_window.max(s.keep).max(1) as f64;
        let spread = came * s.fall_window as f64 / self.fleet.max(1.0) / s.front_ends.max(1) as f64;
        let usual = if self.usual > 0.0 { self.usual } else { spread };
        let budget = MARGIN * share * s.fall_multiple * usual * w.row.capacity;
        let (weight, seed) = (self.weight(p.request.class), self.seed ^ w.spent.0 as u64);
        w.cold_from.is_none() || w.spent.1 + weight <= budget + weight * rank(seed, w.row.worker as u64)
    }

    /// Begins the slots that are due. What is out may arrive in any until it has ended.
    fn turn_slots(&mut self, now: Micros) {
        let (seed, window) = (self.seed, self.settings.fall_window.max(1));
        for w in &mut self.workers {
            let at = (now + (rank(seed, w.row.worker as u64) * window as f64) as Micros) / window;
            w.spent = if w.spent.0 == at { w.spent } else { (at, w.flights.iter().map(|a| a.weight).sum()) };
        }
    }

    /// Sends a request. Nothing is sent to a worker that is not ready (rule 3), beyond a cold worker's budget
    /// (rule 4), for a request that is over (rule 1) or that may not have another attempt (rule 2).
    fn send(&mut self, id: RequestId, x: Prediction, now: Micros, out: &mut Vec<Action>) {
        let Some(p) = self.pending.get(&id) else { return };
        let w = &self.workers[x.index];
        if !w.ready || !self.may_resend(id, now) || !self.in_group(p, w) || !self.cold_room(x.index, p, now) {
            return;
        }
        let (carried, weight) = (self.carried(w, now), self.weight(p.request.class));
        let (keep, on_load) = (self.settings.keep, self.settings.on_miss == OnMiss::Load);
        let likely = self.hits.is_none_or(|x| x > RISK);
        self.unhold(id);
        let (p, w) = (self.pending.get_mut(&id).expect("looked up above"), &mut self.workers[x.index]);
        let (number, budget) = (p.attempts.len() as u16, &self.settings.retry_budget);
        self.functions.entry(p.request.function).and_modify(|f| f.tries.add(number > 0, now, budget));
        p.attempts.push((w.row.worker, now, Run::Out));
        w.carried = (carried + 2.0 * x.base / keep.max(1) as f64, now);
        w.tries.add(number > 0, now, budget);
        w.spent.1 += weight;
        if let Some(warm) = w.believed.warm.get_mut(&p.request.function).filter(|_| x.warm) {
            (warm.used, warm.until) = (now, warm.until.max(now + keep));
        } else if on_load {
            let ready = now + x.load;
            let warm = Warm { ready, until: ready + keep, used: now, copies: 1 };
            w.believed.warm.insert(p.request.function, warm);
            w.believed.loading_until = if x.home && likely { w.believed.loading_until } else { ready };
        }
        out.push(Action::Send { request: id, worker: w.row.worker, timeout: 0 });
        let (function, sent) = (p.request.function, now);
        w.flights.push(Attempt { request: id, number, function, weight, sent, predicted: x, noticed: false });
    }

    /// Orders a load: to ready workers only (rule 3), one at a time on each, inside the ration (rule 5).
    fn load(&mut self, i: usize, function: FunctionId, now: Micros, out: &mut Vec<Action>) {
        let (s, w, worker) = (&self.settings, &self.workers[i], self.workers[i].row.worker);
        if !s.may_order || !w.ready || !w.believed.loads.is_empty() || !self.ration.allows(now, s) {
            return;
        }
        let memory = s.memory_mb.get(w.row.kind as usize).copied().unwrap_or(f64::INFINITY);
        let size = |f: &FunctionId| self.functions.get(f).map_or(0.0, |f| f.memory);
        let held: f64 = w.believed.warm.iter().map(|(f, x)| size(f) * x.copies as f64).sum();
        if held + size(&function) > memory {
            let idle = w.believed.warm.iter().filter(|(f, _)| w.flights.iter().all(|a| a.function != **f));
            if let Some(f) = idle.min_by_key(|(f, x)| (x.used, **f)).map(|(f, _)| *f) {
                out.push(Action::Drop { worker, function: f });
                self.workers[i].believed.warm.remove(&f);
            }
        }
        self.workers[i].believed.loads.insert(function, now);
        self.ration.gave((worker, function), now, &self.settings);
        out.push(Action::Load { worker, function, copies: 1 });
    }

    /// Time in which what is held here will have drained, at the pace at which calls are served.
    fn drain(&self) -> Option<f64> {
        let pace = self.usual * self.fleet / self.settings.fall_window.max(1) as f64;
        (pace > 0.0).then(|| self.queue.len() as f64 / pace)
    }

    /// Advice with a refusal: the drain, spread, so that those refused together do not return together.
    fn retry_after(&self, id: RequestId) -> Micros {
        let most = self.settings.max_retry_after as f64 / 1.5;
        (self.drain().unwrap_or(most).min(most) * (0.5 + rank(self.seed, id as u64))) as Micros
    }

    /// Rule 1: the one final answer, a refusal where that may be said (rule 2), else a failure.
    fn settle(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(refuse) = self.pending.get(&id).map(|p| self.may_refuse(p)) else { return };
        let (request, retry_after) = (id, self.retry_after(id));
        out.push(if refuse { Action::Refuse { request, retry_after } } else { Action::Fail { request } });
        self.forget(id);
    }
}
