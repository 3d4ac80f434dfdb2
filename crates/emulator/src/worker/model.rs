//! What a worker holds and does: copies with permits, memory with the least recently used idle copy unloaded first, loads a few
//! at a time, a bounded queue, drain, and a capacity that rises after a start. Time and events go in, steps come out.

use std::collections::{BTreeMap, VecDeque};

/// Microseconds.
pub type Micros = i64;
/// A call at this worker.
pub type CallId = u64;

/// What a worker is.
#[derive(Clone, Debug)]
pub struct Spec {
    pub cores: f64,
    pub memory: u64,
    /// Calls that may wait, over all functions.
    pub queue_most: usize,
    /// Loads under way at a time.
    pub loads_most: usize,
    /// An idle copy is unloaded after this.
    pub idle_keep: Micros,
    /// Capacity rises evenly from `start_share` to all of it over this time after a start.
    pub warm_up: Micros,
    pub start_share: f64,
    /// Load a function when a call finds it missing; else the call is answered "not loaded".
    pub load_on_miss: bool,
    /// Start another copy when all permits of a function are taken.
    pub grow: bool,
    /// A cold worker sent more than this many times its present capacity for `fall_window` falls over. 0: never.
    pub fall_multiple: f64,
    pub fall_window: Micros,
}

impl Default for Spec {
    fn default() -> Spec {
        Spec {
            cores: 4.0,
            memory: 2_000_000_000,
            queue_most: 64,
            loads_most: 3,
            idle_keep: 10_000_000,
            warm_up: 0,
            start_share: 1.0,
            load_on_miss: true,
            grow: false,
            fall_multiple: 0.0,
            fall_window: 1_000_000,
        }
    }
}

/// What a function needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    pub memory: u64,
    pub lanes: usize,
    /// Time of a start after the fetch.
    pub start: Micros,
    /// Usual time of a run on a free core.
    pub run: Micros,
}

/// How a call found its function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    Warm,
    Began,
    Waited,
}

/// Why a call was not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    QueueFull,
    NoMemory,
    Draining,
    NotLoaded,
    LoadFailed,
}

/// What a worker does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Run a call for so long.
    Run {
        call: CallId,
        function: String,
        span: Micros,
        found: Found,
        crowd: u32,
    },
    Refuse {
        call: CallId,
        why: Refusal,
        crowd: u32,
    },
    /// Fetch a function from the store, then start it.
    Fetch {
        function: String,
    },
    /// All copies asked for stand, or it is clear that they won't.
    Answer {
        order: u64,
        copies: usize,
        full: bool,
    },
    /// Too much was sent while cold: the process dies.
    Fall,
}

#[derive(Debug, Default)]
struct Held {
    /// Permits taken, by copy.
    copies: Vec<usize>,
    loading: usize,
    waiting: VecDeque<(CallId, Found)>,
    used: Micros,
    orders: Vec<(u64, usize)>,
}

impl Held {
    fn busy(&self) -> usize {
        self.copies.iter().sum()
    }
}

/// A worker's process.
#[derive(Debug)]
pub struct Model {
    spec: Spec,
    started: Micros,
    held: BTreeMap<String, Held>,
    running: BTreeMap<CallId, String>,
    programs: BTreeMap<String, Program>,
    arrivals: VecDeque<Micros>,
    mean_run: f64,
    draining: bool,
    loads_waiting: VecDeque<String>,
    loads: usize,
}

impl Model {
    /// A process that started at `started`; one started long ago is warm.
    pub fn new(spec: Spec, started: Micros) -> Model {
        Model {
            spec,
            started,
            held: BTreeMap::new(),
            running: BTreeMap::new(),
            programs: BTreeMap::new(),
            arrivals: VecDeque::new(),
            mean_run: 0.0,
            draining: false,
            loads_waiting: VecDeque::new(),
            loads: 0,
        }
    }

    /// Part of the capacity that it has at a time.
    pub fn share(&self, now: Micros) -> f64 {
        let passed = (now - self.started) as f64 / self.spec.warm_up.max(1) as f64;
        (self.spec.start_share + (1.0 - self.spec.start_share) * passed).clamp(self.spec.start_share, 1.0)
    }

    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Calls in hand, waiting or running.
    pub fn in_hand(&self) -> usize {
        self.running.len() + self.queued()
    }

    /// Calls that wait.
    pub fn queued(&self) -> usize {
        self.held.values().map(|h| h.waiting.len()).sum()
    }

    /// Part of the cores that is in progress.
    pub fn busy(&self, now: Micros) -> f64 {
        (self.running.len() as f64 / (self.spec.cores * self.share(now))).min(1.0)
    }

    /// Memory of copies and loads, in bytes.
    pub fn memory(&self) -> u64 {
        let size = |name: &String| self.programs.get(name).map_or(0, |p| p.memory);
        self.held.iter().map(|(name, h)| size(name) * (h.copies.len() + h.loading) as u64).sum()
    }

    /// Copies that stand, by function.
    pub fn standing(&self) -> impl Iterator<Item = (&str, usize)> {
        self.held.iter().filter(|(_, h)| !h.copies.is_empty()).map(|(n, h)| (n.as_str(), h.copies.len()))
    }

    /// A call came.
    pub fn arrive(
        &mut self,
        call: CallId,
        function: &str,
        program: &Program,
        now: Micros,
        out: &mut Vec<Step>,
    ) {
        if self.falls(program, now) {
            return out.push(Step::Fall);
        }
        self.programs.entry(function.to_string()).or_insert_with(|| program.clone());
        let crowd = self.held.get(function).map_or(0, |h| h.busy() + h.waiting.len()).min(30) as u32;
        let refuse = |why| Step::Refuse { call, why, crowd };
        if self.draining {
            return out.push(refuse(Refusal::Draining));
        }
        if self.queued() >= self.spec.queue_most {
            return out.push(refuse(Refusal::QueueFull));
        }
        let held = self.held.entry(function.to_string()).or_default();
        held.used = now;
        let lanes = program.lanes;
        if let Some(copy) = held.copies.iter().position(|&taken| taken < lanes) {
            held.copies[copy] += 1;
            let span = self.span(program, now);
            self.running.insert(call, function.to_string());
            let found = Found::Warm;
            return out.push(Step::Run { call, function: function.to_string(), span, found, crowd });
        }
        let none = held.copies.is_empty() && held.loading == 0;
        if none && !self.spec.load_on_miss {
            return out.push(refuse(Refusal::NotLoaded));
        }
        let wants_copy = none || (self.spec.grow && held.loading == 0);
        let found = match (held.copies.is_empty(), held.loading) {
            (false, _) => Found::Warm,
            (true, 0) => Found::Began,
            (true, _) => Found::Waited,
        };
        held.waiting.push_back((call, found));
        if wants_copy && !self.begin_load(function, now, out) && none {
            if let Some(held) = self.held.get_mut(function) {
                held.waiting.retain(|w| w.0 != call);
            }
            out.push(refuse(Refusal::NoMemory));
        }
    }

    fn falls(&mut self, program: &Program, now: Micros) -> bool {
        let run = program.run as f64;
        self.mean_run = if self.mean_run == 0.0 { run } else { self.mean_run * 0.95 + run * 0.05 };
        let share = self.share(now);
        if self.spec.fall_multiple == 0.0 || share >= 1.0 {
            return false;
        }
        self.arrivals.push_back(now);
        let window = self.spec.fall_window;
        while self.arrivals.front().is_some_and(|t| now - t >= window) {
            self.arrivals.pop_front();
        }
        let capacity = self.spec.cores * share * window as f64 / self.mean_run.max(1.0);
        self.arrivals.len() as f64 > self.spec.fall_multiple * capacity + 3.0
    }

    /// Time of a run that begins now: stretched by what shares the cores.
    fn span(&self, program: &Program, now: Micros) -> Micros {
        let cores = (self.spec.cores * self.share(now)).max(0.1);
        let stretch = ((self.running.len() + 1) as f64 / cores).max(1.0);
        (program.run as f64 * stretch) as Micros
    }

    /// Begins or lines up a load; false where no room can be made.
    fn begin_load(&mut self, function: &str, now: Micros, out: &mut Vec<Step>) -> bool {
        let Some(size) = self.programs.get(function).map(|p| p.memory) else { return false };
        while self.memory() + size > self.spec.memory {
            let idle = |h: &Held| !h.copies.is_empty() && h.busy() == 0 && h.waiting.is_empty();
            let oldest = self.held.iter().filter(|(name, h)| idle(h) && name.as_str() != function);
            let Some(name) = oldest.min_by_key(|(_, h)| h.used).map(|(name, _)| name.clone()) else {
                return false;
            };
            self.held.entry(name).and_modify(|h| h.copies.clear());
        }
        let Some(held) = self.held.get_mut(function) else { return false };
        held.loading += 1;
        held.used = now;
        if self.loads < self.spec.loads_most {
            self.loads += 1;
            out.push(Step::Fetch { function: function.to_string() });
        } else {
            self.loads_waiting.push_back(function.to_string());
        }
        true
    }

    /// A load ended.
    pub fn loaded(&mut self, function: &str, ok: bool, now: Micros, out: &mut Vec<Step>) {
        self.loads = self.loads.saturating_sub(1);
        if let Some(held) = self.held.get_mut(function) {
            held.loading = held.loading.saturating_sub(1);
            held.used = now;
            if ok {
                held.copies.push(0);
            } else if held.copies.is_empty() && held.loading == 0 {
                for (call, _) in held.waiting.drain(..) {
                    out.push(Step::Refuse { call, why: Refusal::LoadFailed, crowd: 0 });
                }
            }
            let stand = held.copies.len();
            let settled = held.loading == 0;
            held.orders.retain(|&(order, wanted)| {
                let done = stand >= wanted || settled;
                if done {
                    out.push(Step::Answer { order, copies: stand, full: stand < wanted });
                }
                !done
            });
        }
        self.start_waiting(function, now, out);
        if let Some(next) = self.loads_waiting.pop_front() {
            self.loads += 1;
            out.push(Step::Fetch { function: next });
        }
    }

    fn start_waiting(&mut self, function: &str, now: Micros, out: &mut Vec<Step>) {
        let Some(program) = self.programs.get(function).cloned() else { return };
        loop {
            let span = self.span(&program, now);
            let Some(held) = self.held.get_mut(function) else { return };
            let Some(copy) = held.copies.iter().position(|&taken| taken < program.lanes) else { return };
            let Some((call, found)) = held.waiting.pop_front() else { return };
            held.copies[copy] += 1;
            held.used = now;
            let crowd = held.busy().min(30) as u32;
            self.running.insert(call, function.to_string());
            out.push(Step::Run { call, function: function.to_string(), span, found, crowd });
        }
    }

    /// A run ended.
    pub fn finished(&mut self, call: CallId, now: Micros, out: &mut Vec<Step>) {
        let Some(function) = self.running.remove(&call) else { return };
        if let Some(held) = self.held.get_mut(&function) {
            held.used = now;
            if let Some(copy) = held.copies.iter_mut().find(|taken| **taken > 0) {
                *copy -= 1;
            }
        }
        self.start_waiting(&function, now, out);
    }

    /// The caller of a call left. Waiting work is dropped; running work goes on.
    pub fn left(&mut self, call: CallId) {
        self.held.values_mut().for_each(|h| h.waiting.retain(|w| w.0 != call));
    }

    /// An order to hold at least so many copies.
    pub fn order(
        &mut self,
        order: u64,
        function: &str,
        program: &Program,
        copies: usize,
        now: Micros,
        out: &mut Vec<Step>,
    ) {
        self.programs.entry(function.to_string()).or_insert_with(|| program.clone());
        let held = self.held.entry(function.to_string()).or_default();
        held.used = now;
        let stand = held.copies.len();
        if stand >= copies || self.draining {
            return out.push(Step::Answer { order, copies: stand, full: stand < copies });
        }
        held.orders.push((order, copies));
        let missing = copies.saturating_sub(stand + held.loading);
        for _ in 0..missing {
            if !self.begin_load(function, now, out) {
                if let Some(held) = self.held.get_mut(function) {
                    if held.loading == 0 {
                        held.orders.retain(|o| o.0 != order);
                        out.push(Step::Answer { order, copies: stand, full: true });
                    }
                }
                return;
            }
        }
    }

    /// Unloads the idle copies of a function.
    pub fn unload(&mut self, function: &str) {
        if let Some(held) = self.held.get_mut(function) {
            held.copies.retain(|&taken| taken > 0);
        }
    }

    /// Unloads what was idle for too long.
    pub fn tick(&mut self, now: Micros) {
        let keep = self.spec.idle_keep;
        self.held.retain(|_, h| {
            if now - h.used >= keep && h.waiting.is_empty() {
                h.copies.retain(|&taken| taken > 0);
            }
            !h.copies.is_empty() || h.loading > 0 || !h.waiting.is_empty() || !h.orders.is_empty()
        });
    }
}
