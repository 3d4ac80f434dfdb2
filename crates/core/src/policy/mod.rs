//! The decision module: all decisions about the way of a call at one front end. After Clockwork (Gujarati et al.,
//! OSDI 2020): predict a request's finish on each worker, send it to the earliest, or reject it.
//!
//! | module | decides or holds |
//! | --- | --- |
//! | [`intake`](self) | `intake`: what a new request is expected to need |
//! | beliefs | `endpoints`, `reports`, `completion`, `learning`: what observations tell of workers and functions |
//! | prediction | `prediction`: when a request would finish at a worker |
//! | choice | `placement`, `worker_search`: which worker, or until when to wait; `homes`: preferred workers of a function |
//! | sequence | `dispatch`: which queued requests are considered in a batch; `queue`: their order; `send` |
//! | rejection | `shedding`: requests that can't be in time, and the one final answer (rule 1) |
//! | repetition | `retries`: whether another attempt may be sent (rule 2), hedged requests |
//! | new workers | `slow_start`: what a warming worker may get (rule 4) |
//! | loads | `loading`: which functions are loaded where; `load_budget`: their limit (rule 5) |
//! | all workers | `fleet`: sums over them and what is due, so that no decision goes over all of them; `ranking`: which of them a function may go to |
//! | faults | `outliers`: ejection of workers, health checks |
//! | old lists | `list_validity`: how old the endpoint list is; `confirmation`: which workers may get new work while the endpoint list is old (rule 3); `worker_checks`: their health checks |
//!
//! A request is sent in `send` alone, a function is loaded in `load` alone, and a request is answered without having
//! been served in `settle` alone: the five rules are checked there.

mod attempt_counter;
mod beliefs;
mod call;
mod completion;
mod confirmation;
mod dispatch;
mod endpoints;
mod fleet;
mod function;
mod homes;
mod intake;
mod learning;
mod list_validity;
mod load_budget;
mod loading;
mod maintenance;
mod numbers;
mod outliers;
mod placement;
mod prediction;
mod priority;
mod queue;
mod ranking;
mod reports;
mod retries;
mod send;
mod served_work;
mod shedding;
mod slow_start;
mod timers;
mod worker;
mod worker_checks;
mod worker_search;

use crate::interface::*;
use call::{CallGroup, Deadline, PendingCall, QueuePosition};
use endpoints::Subscription;
use fleet::Fleet;
use function::Function;
pub use list_validity::ConfirmationCounters;
use list_validity::ListValidity;
use load_budget::LoadBudget;
use numbers::DecayingSum;
use priority::{TenantQuotas, WorkPrice};
use queue::Sweep;
use served_work::ServedWork;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use worker::Worker;

/// Fraction of a limit (load of a warming worker, window of an idempotency key, price of work) that is used; the
/// rest is margin.
const SAFETY_MARGIN: f64 = 0.5;
/// Shortest granularity of the clock that is assumed.
const MIN_TICK: Micros = 1000;

/// A function that a queued request waits for.
#[derive(Clone, Copy)]
struct WantedLoad {
    priority: f64,
    request: RequestId,
}

/// Sizes of the tables that a front end holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Workers, those that are gone included.
    pub workers: usize,
    /// Functions.
    pub functions: usize,
}

/// The decisions of one front end. It acts on its settings and on what it observes; the same events and seed give the
/// same actions.
#[derive(Default)]
pub struct FrontEnd {
    settings: Settings,
    seed: u64,
    started_at: Micros,
    /// The shortest latency objective of all classes.
    shortest_objective: Micros,

    workers: Vec<Worker>,
    fleet: Fleet,
    worker_index: BTreeMap<WorkerId, usize>,
    functions: BTreeMap<FunctionId, Function>,
    /// By function: workers, by index, of which a copy or a load order is known, or was.
    holders: BTreeMap<FunctionId, BTreeSet<usize>>,
    /// Changes whenever workers are added or removed: ranks of an earlier one are out of date.
    ranking_version: u64,
    subscription: Subscription,
    list_validity: ListValidity,

    pending: BTreeMap<RequestId, PendingCall>,
    queue: BTreeSet<QueuePosition>,
    /// The queue by group.
    queued_by_group: BTreeMap<CallGroup, BTreeSet<QueuePosition>>,
    /// Groups to which a request came or returned since the last batch.
    changed_groups: BTreeSet<CallGroup>,
    /// Workers, by index, whose state may have changed since the last batch.
    changed_workers: BTreeSet<usize>,
    sweep: Sweep,
    deadlines: BTreeSet<Deadline>,
    timer_at: Option<Micros>,
    timer_token: u32,

    tenant_quotas: TenantQuotas,
    work_price: WorkPrice,
    load_budget: LoadBudget,
    /// Functions of queued requests with a load priority above 0, as last weighed.
    wanted_loads: BTreeMap<FunctionId, WantedLoad>,

    /// Mean run time of a class's requests.
    class_mean_run: Vec<Option<f64>>,
    /// Mean declared work of a class's requests.
    class_mean_work: Vec<Option<f64>>,
    /// When requests arrived, in order of time.
    arrivals: VecDeque<Micros>,
    served_work: ServedWork,
    /// Work that arrived recently.
    recent_work: DecayingSum,
    /// Time over which `recent_work` and the functions' recent calls were counted.
    observed_span: f64,
    /// Capacity of all ready workers.
    fleet_capacity: f64,
    /// So many front ends with this one's traffic make up the fleet's: as configured, at most what fills the fleet.
    similar_front_ends: f64,
    /// Mean of the workers' recent error rates.
    mean_error_rate: f64,
    /// Observed load time relative to the usual, recently, at the store that all workers share.
    store_slowdown: Option<f64>,
    /// Fraction of the requests to homes that found a copy there which this front end did not know of.
    home_hit_rate: Option<f64>,
}

impl FrontEnd {
    /// A front end that has observed nothing yet. `seed` makes front ends differ in what is drawn.
    pub fn new(mut settings: Settings, seed: u64, now: Micros) -> FrontEnd {
        settings.tick = settings.tick.max(MIN_TICK);
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        FrontEnd {
            seed,
            started_at: now,
            shortest_objective: objectives.min().unwrap_or(0),
            class_mean_run: vec![None; settings.classes.len()],
            class_mean_work: vec![None; settings.classes.len()],
            served_work: ServedWork::new(now),
            settings,
            ..Default::default()
        }
    }

    /// Takes a batch of events, in their order, and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        for event in events {
            self.on_event(event, now, actions);
        }
        self.decide(now, actions);
    }

    /// Sizes of the tables that are held.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes { workers: self.workers.len(), functions: self.functions.len() }
    }

    fn on_event(&mut self, event: &Event, now: Micros, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints { update, endpoints } => self.on_endpoints(*update, endpoints, now, actions),
            Event::EndpointListValid { until } => self.list_validity.until = *until,
            Event::WorkerConnection { worker, is_open } => self.on_worker_connection(*worker, *is_open, now),
            Event::Request(request) => self.on_request(request, now),
            Event::AttemptEnded(end) => {
                self.on_attempt_ended(end, now, actions);
                self.note_changed(end.worker);
            }
            Event::ClientGone { request } => self.forget(*request),
            Event::Timer { token } => self.on_timer(*token),
            Event::Loaded { worker, function, outcome, elapsed, copies } => {
                let load = loading::LoadEnd {
                    order: load_budget::LoadOrder { worker: *worker, function: *function },
                    outcome: *outcome,
                    elapsed: *elapsed,
                    copies: u32::from(*copies),
                };
                self.on_loaded(&load, now);
                self.note_changed(*worker);
            }
            Event::HealthChecked { worker, outcome, elapsed, report } => {
                self.on_health_checked(*worker, *outcome, report, now, actions);
                self.on_check_ended(*worker, *outcome, now - elapsed, now, actions);
                self.note_changed(*worker);
            }
            Event::Started { request, .. } => self.on_started(*request),
            Event::Gossip { .. } => {}
        }
    }

    /// Has the next decisions consider a worker.
    fn note_changed(&mut self, worker: WorkerId) {
        self.changed_workers.extend(self.worker_index.get(&worker));
    }
}
