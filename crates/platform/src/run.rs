//! One live front end from its start to its end: configuration, sockets, signals, and the gateway's driver loop.

use crate::bounds::Bounds;
use crate::clients::{Clients, Shared};
use crate::config::{ConfigError, PlatformSettings};
use crate::descriptors;
use crate::executors::{Executors, Limits, LoadCommand};
use crate::poll_times::{TaskKind, TimedTask};
use crate::reload;
use crate::replay::Replay;
use crate::session::Catalog;
use crate::start_times::StartTimes;
use crate::subscription::EventSubscription;
use crate::watch::watch_events;
use stagehoist::{EndpointUpdate, Micros};
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::driver::{self, FrontEndParts, FrontEndState, Transport};
use stagehoist_gateway::state::{Command, Core, Input};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinSet, LocalSet};

/// After SIGTERM new connections and requests come for so long.
const STILL_COMING: Micros = 750_000;
/// Deadlines longer than this are not waited for at a restart.
const MAX_DEADLINE: Micros = 3_000_000;
/// From SIGTERM to the last answer, beyond the longest deadline; SIGKILL comes 0.7 s beyond it. What lies between is kept for
/// closing the sockets in order, and for the process to end.
const DRAIN_BEYOND: Micros = 570_000;
/// Calls that come during the drain are abandoned so long before its end, so that they end as any call does.
const DRAIN_SPARE: Micros = 20_000;
/// How often a line on the state goes to the log, in times of tending.
const LOG_STATE_TICKS: u32 = 20;

/// Why a front end could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("GW_LISTEN: '{0}' is no address and port")]
    Listen(String),
    #[error("{what}: {error}")]
    Io { what: String, error: std::io::Error },
}

/// Names what failed.
fn io(what: String) -> impl FnOnce(std::io::Error) -> RunError {
    move |error| RunError::Io { what, error }
}

/// Runs until SIGTERM or SIGINT and all that was taken is answered.
pub fn run() -> Result<(), RunError> {
    let settings = PlatformSettings::read()?;
    let listen = match std::env::var("GW_LISTEN") {
        Ok(text) => text.parse().map_err(|_| RunError::Listen(text))?,
        Err(_) => settings.listen,
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io("runtime".into()))?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, listen))
}

async fn serve(settings: PlatformSettings, listen: SocketAddr) -> Result<(), RunError> {
    let on = |kind: SignalKind| signal(kind).map_err(io("signals".into()));
    let (mut term, mut int, hup) =
        (on(SignalKind::terminate())?, on(SignalKind::interrupt())?, on(SignalKind::hangup())?);
    let listener = TcpListener::bind(listen).await.map_err(io(format!("listen on {listen}")))?;
    let listen = listener.local_addr().map_err(io(format!("listen on {listen}")))?;
    let clock = Clock::new();
    let (inputs, incoming) = mpsc::channel(driver::INPUT_QUEUE_CAPACITY);
    let shared = Rc::new(Shared::new(clock, inputs.clone()));
    let bounds = Bounds::new(&settings.limits.at_most(descriptors::most()));
    let clients = Rc::new(Clients::new(shared.clone(), Catalog::from(&settings), bounds));
    let limits = Limits {
        streams: settings.streams,
        idle_close: settings.idle_close,
        connect_timeout: settings.settings.connect_timeout.max(50_000),
        order_timeout: settings.settings.load_delay,
        report: settings.report_fields.clone(),
        classes: settings.classes.iter().map(|c| c.name.clone()).collect(),
    };
    let executors = Rc::new(Executors::new(shared.clone(), clients.clone(), limits, bounds));
    shared.descriptors.add(&clients);
    shared.descriptors.add(&executors);
    // The events of the start come first in the line, so that the module has them before any call.
    let (events, last) = &settings.known;
    let _ = inputs.send(Input::EndpointUpdate { kind: EndpointUpdate::Full, endpoints: Vec::new() }).await;
    // As one: the line takes only so many before the driver runs, and the first turn has to have them all.
    let mut known = Replay::all(events);
    let starts = StartTimes::initial(&mut known.endpoints, clock.now());
    executors.apply(known.kind, &known.endpoints);
    let _ = inputs.send(Input::EndpointUpdate { kind: known.kind, endpoints: known.endpoints }).await;
    drop(inputs);
    let mut tasks = JoinSet::new();
    let (bus_address, bus_seen) = watch::channel(settings.bus);
    let subscription = EventSubscription::new(*last, clock.now());
    let following = watch_events(shared.clone(), executors.clone(), subscription, starts, bus_seen);
    tasks.spawn_local(TimedTask::new(TaskKind::Endpoints, shared.clone(), following));
    let listener = Rc::new(listener);
    let accepting = clients.clone().accept(listener.clone());
    let accepting = tasks.spawn_local(TimedTask::new(TaskKind::Clients, shared.clone(), accepting));
    tasks.spawn_local(shared.clone().check_stalls());
    let (drain, draining) = watch::channel(false);
    tasks.spawn_local(async move {
        loop {
            tokio::select! {
                _ = term.recv() => drop(drain.send_replace(true)),
                _ = int.recv() => drop(drain.send_replace(true)),
            }
        }
    });
    tasks.spawn_local(reload::at_signals(settings.without_list(), hup, bus_address));
    let core = Core::new(settings.core_settings(), settings.seed, clock.now());
    let drain_most = settings.longest_deadline().min(MAX_DEADLINE) + DRAIN_BEYOND;
    tracing::info!(name = settings.name, %listen, subscription = %settings.bus, workers = events.len(), "front end started");
    let transport = Platform {
        shared: shared.clone(),
        clients,
        executors,
        listener,
        accepting,
        drain_most,
        closes: None,
        ticks: 0,
        logged: Default::default(),
    };
    let (state, _) = watch::channel(FrontEndState::default());
    let parts = FrontEndParts {
        core,
        transport,
        inputs: incoming,
        clock,
        max_drain: drain_most,
        drain: draining,
        state,
        session: None,
    };
    TimedTask::new(TaskKind::Driver, shared, driver::run(parts)).await;
    tasks.shutdown().await;
    tracing::info!("front end ended");
    Ok(())
}

/// The platform's protocols as the driver's ways in and out.
struct Platform {
    shared: Rc<Shared>,
    clients: Rc<Clients>,
    executors: Rc<Executors>,
    listener: Rc<TcpListener>,
    accepting: AbortHandle,
    drain_most: Micros,
    /// While draining: when no more is taken.
    closes: Option<Micros>,
    ticks: u32,
    /// Counters as last logged.
    logged: (u64, u64),
}

impl Transport for Platform {
    fn execute(&mut self, command: Command) {
        match command {
            Command::Answer { ticket, answer, .. } => self.clients.answer(ticket, &answer),
            Command::Attempt(attempt) => self.executors.attempt(attempt),
            Command::Abort { request, attempt } => self.executors.abort(request, attempt),
            Command::HealthCheck { worker, .. } => self.executors.probe(worker),
            Command::Load { worker, function, name, copies, start_by, .. } => {
                self.executors.load(LoadCommand { worker, function, name: &name, copies, start_by });
            }
            Command::Unload { worker, function, .. } => self.executors.unload(worker, &function),
            Command::CloseIdle { worker } => self.executors.close_idle(worker),
            // The bus is always followed.
            Command::SubscribeEndpoints(_) | Command::FetchEndpoints | Command::ServeShards(_) => {}
            // No attempt waits for an intent here.
            Command::WorkerDraining { .. } => {}
        }
    }

    fn flush(&mut self) {
        // Answers end what clients wait for, so they go first.
        self.clients.flush_all();
        self.executors.flush_all();
        if self.closes.is_none() && !self.clients.is_serving() {
            // The first turn took the events of the start.
            self.clients.serve(true);
        }
    }

    fn on_tick(&mut self, core: &Core) {
        self.clients.on_tick();
        self.executors.on_tick();
        self.ticks += 1;
        if self.ticks.is_multiple_of(LOG_STATE_TICKS) {
            let (c, batches) = (&core.counters, core.counters.batches);
            let (calls, spent) = (c.taken - self.logged.0, c.module_ns - self.logged.1);
            self.logged = (c.taken, c.module_ns);
            let totals = self.shared.stalls.borrow().totals;
            let list_valid_ms = core.list_valid_for(self.shared.clock.now()).map(|left| left / 1000);
            let in_flight = self.executors.in_flight();
            let on_connections: usize = in_flight.iter().map(|e| e.1).sum();
            tracing::info!(
                taken = c.taken, served = c.served, refused = c.refused, failed = c.failed, gone = c.abandoned_calls,
                attempts = c.attempts, retries = c.retries, loads = c.loads, health_checks = c.health_checks, batches,
                unanswered = core.unanswered(), attempts_in_flight = core.attempts_in_flight(), on_connections, ready = core.ready_workers(), functions = core.names(),
                module_us_a_call = spent / 1000 / calls.max(1),
                client_connections = self.clients.connections(), executor_connections = self.executors.connections(),
                list_valid_ms, refused_list_old = c.refused_list_old, old_list = ?core.confirmation_counters(),
                lag_us = %self.shared.lag.borrow().summary(), refused_behind = self.shared.lag.borrow().refused,
                stalled_ms = totals.sum / 1000, longest_stall_ms = totals.longest / 1000,
                client = ?self.clients.counters.get(), executor = ?self.executors.counters.get(),
                "state"
            );
            tracing::debug!(?in_flight, "executors");
        }
    }

    fn drain(&mut self) -> Micros {
        let (now, late) = self.shared.earliest_time();
        self.clients.serve(false);
        self.clients.ends_by(now - late + self.drain_most - DRAIN_SPARE);
        self.closes = Some(now + STILL_COMING);
        late
    }

    fn is_drained(&mut self) -> bool {
        if self.closes.is_none_or(|at| self.shared.clock.now() < at) {
            return false;
        }
        // Connections are accepted and read to the end: what comes now is refused, not lost.
        self.clients.stop_taking();
        self.clients.unfinished() == (0, 0)
    }

    fn answers_remaining(&self) -> bool {
        true
    }

    async fn finish(&mut self) {
        self.accepting.abort();
        self.clients.finish(&self.listener).await;
    }

    fn reads_before_timeouts(&self) -> bool {
        true
    }

    fn is_serving(&mut self) -> bool {
        self.clients.is_serving()
    }

    async fn changed(&mut self) {
        let now = self.shared.clock.now();
        let closes = self.closes.filter(|at| *at > now).unwrap_or(now + MAX_DEADLINE);
        tokio::select! {
            () = tokio::time::sleep_until(self.shared.clock.instant(closes)) => {}
            () = self.clients.written() => {}
        }
    }
}
