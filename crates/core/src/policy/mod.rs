//! The decision module: makes every routing decision of one front end. It follows Clockwork (Gujarati et al., OSDI
//! 2020): it predicts when a request would finish on each worker, sends it to the worker with the earliest
//! finish, or rejects it.
//!
//! | module | decides or holds |
//! | --- | --- |
//! | [`intake`](self) | `intake`: deadline, expected work and value of a new request |
//! | estimates | `endpoints`, `reports`, `completion`, `learning`: update the state of workers and functions from observations |
//! | prediction | `prediction`: when a request would finish at a worker |
//! | choice | `placement`, `worker_search`: choose a worker or the time to wait until; `preferred_workers`: the preferred workers of a function |
//! | sequence | `dispatch`: which queued requests are considered in a batch; `queue`: their order; `send`: the sending |
//! | rejection | `shedding`: requests that can't be in time, and the one final answer (rule 1) |
//! | retries | `retries`: whether another attempt may be sent (rule 2), hedged requests |
//! | new workers | `slow_start`: how much work a warming worker may get (rule 4) |
//! | loads | `loading`: which functions are loaded on which workers; `load_budget`: the limit on load orders (rule 5) |
//! | all workers | `fleet`: sums over all workers and their scheduled refreshes, so that no decision iterates over the whole fleet; `ranking`: the workers that a function may be sent to |
//! | faults | `outliers`: ejection of workers, health checks |
//! | old lists | `list_validity`: how old the endpoint list is; `confirmation`: which workers may get new work while the endpoint list is old (rule 3); `worker_checks`: their health checks |
//! | replaced workers | `process_identity`: whether the process at a worker's address is known to be that worker (rule 2) |
//!
//! Only `send` sends a request, only `load` orders a load, and only `conclude` answers a request that was not served.
//! The five rules are checked in these three functions.

mod attempt_counter;
mod call;
mod completion;
mod confirmation;
mod dispatch;
mod endpoints;
mod estimates;
mod fleet;
mod function;
mod intake;
mod learning;
mod list_validity;
mod load_budget;
mod loading;
mod maintenance;
mod math;
mod outliers;
mod placement;
mod prediction;
mod preferred_workers;
mod priority;
mod process_identity;
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
use math::DecayingSum;
use priority::{TenantQuotas, WorkPrice};
use queue::Sweep;
use ranking::RankableWorker;
use served_work::ServedWork;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use worker::Worker;

/// Fraction of a limit that is used; the rest is a safety margin. Applies to the load of a warming worker, the window
/// of an idempotency key and the price of work.
const SAFETY_MARGIN: f64 = 0.5;
/// Smallest clock granularity that is assumed.
const MIN_TICK: Micros = 1000;

/// A function that a queued request waits for.
#[derive(Clone, Copy)]
struct WantedLoad {
    priority: f64,
    request: RequestId,
}

/// Sizes of a front end's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Workers, including those that are gone.
    pub workers: usize,
    /// Functions.
    pub functions: usize,
}

/// The decision state of one front end. Its actions depend only on its settings, its seed and the events that it
/// receives, so the same input produces the same actions.
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
    /// For each of `workers`, what rankings need to know of it.
    rankable_workers: Vec<RankableWorker>,
    functions: BTreeMap<FunctionId, Function>,
    /// By function: indices of the workers with a known copy or load order. Workers whose copy or order has expired stay
    /// listed until the next cleanup.
    holders: BTreeMap<FunctionId, BTreeSet<usize>>,
    /// Incremented whenever workers are added or removed; rankings of an earlier version are out of date.
    ranking_version: u64,
    subscription: Subscription,
    list_validity: ListValidity,

    pending: BTreeMap<RequestId, PendingCall>,
    queue: BTreeSet<QueuePosition>,
    /// The queued requests by group.
    queued_by_group: BTreeMap<CallGroup, BTreeSet<QueuePosition>>,
    /// Groups that a request joined or rejoined since the last batch.
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
    /// Functions of queued requests whose load priority was above 0 when last computed.
    wanted_loads: BTreeMap<FunctionId, WantedLoad>,

    /// Mean run time of a class's requests.
    class_mean_run: Vec<Option<f64>>,
    /// Mean declared work of a class's requests.
    class_mean_work: Vec<Option<f64>>,
    /// Arrival times of requests, in ascending order.
    arrivals: VecDeque<Micros>,
    served_work: ServedWork,
    /// Work that arrived recently.
    recent_work: DecayingSum,
    /// Time over which `recent_work` and the functions' recent calls were counted.
    observed_span: f64,
    /// Capacity of all ready workers.
    fleet_capacity: f64,
    /// Estimated number of front ends with the same traffic as this one: the configured number, capped at the number
    /// whose traffic would fill the fleet.
    similar_front_ends: f64,
    /// Mean of the workers' recent error rates.
    mean_error_rate: f64,
    /// Moving average of observed load times relative to the usual ones, at the store that all workers share.
    store_slowdown: Option<f64>,
    /// Fraction of the requests sent to preferred workers that found a copy which this front end did not know of.
    preferred_hit_rate: Option<f64>,
}

impl FrontEnd {
    /// Creates a front end without observations. `seed` makes the random draws of front ends differ.
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

    /// Processes a batch of events in order and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        for event in events {
            self.on_event(event, now, actions);
        }
        self.decide(now, actions);
    }

    /// Returns the sizes of the tables.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes { workers: self.workers.len(), functions: self.functions.len() }
    }

    fn on_event(&mut self, event: &Event, now: Micros, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints { update, endpoints } => self.on_endpoints(*update, endpoints, now, actions),
            Event::EndpointListValid { until, complete_at } => {
                self.on_list_valid(*until, *complete_at);
            }
            Event::WorkerConnection { worker, open_since } => self.on_worker_connection(*worker, *open_since),
            Event::Request(request) => self.on_request(request, now),
            Event::AttemptEnded(end) => {
                self.on_attempt_ended(end, now, actions);
                self.reconsider_worker(end.worker);
            }
            Event::ClientGone { request } => self.remove_request(*request),
            Event::Timer { token } => self.on_timer(*token),
            Event::Loaded { worker, function, outcome, elapsed, copies } => {
                let load = loading::LoadResult {
                    order: load_budget::LoadOrder { worker: *worker, function: *function },
                    outcome: *outcome,
                    elapsed: *elapsed,
                    copies: u32::from(*copies),
                };
                self.on_loaded(&load, now);
                self.reconsider_worker(*worker);
            }
            Event::HealthChecked { worker, outcome, elapsed, report } => {
                self.on_health_checked(*worker, *outcome, report, now, actions);
                self.on_check_ended(*worker, *outcome, now - elapsed, now, actions);
                self.reconsider_worker(*worker);
            }
            Event::Started { request, .. } => self.on_started(*request),
            Event::Gossip { .. } => {}
        }
    }

    /// Marks a worker so that the next batch considers it.
    fn reconsider_worker(&mut self, worker: WorkerId) {
        self.changed_workers.extend(self.worker_index.get(&worker));
    }
}
