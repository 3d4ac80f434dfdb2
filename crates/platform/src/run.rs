//! Runs one live front end from start to exit: configuration, sockets, signals, and the gateway's driver loop.

use crate::bounds::Bounds;
use crate::clients::{Clients, Shared};
use crate::config::{ConfigError, PlatformSettings};
use crate::descriptors;
use crate::executors::{Executors, Limits, LoadCommand};
use crate::listener::Listener;
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
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinSet, LocalSet};

/// For this long after SIGTERM, new connections and requests are still accepted.
const ACCEPT_AFTER_SIGTERM: Micros = 750_000;
/// Maximum deadline that a drain waits for; a restart does not wait for longer ones.
const MAX_DEADLINE: Micros = 3_000_000;
/// The last answer is written at the latest this long after the longest deadline, counted from SIGTERM. SIGKILL follows
/// 0.7 s after the longest deadline; the time in between is for closing the sockets in order and for the process to
/// exit.
const DRAIN_MARGIN: Micros = 570_000;
/// Calls that arrive during the drain are abandoned this long before the drain ends, so that they end through the
/// usual path.
const CALL_DRAIN_MARGIN: Micros = 20_000;
/// Interval between log lines with the front end's state, in ticks.
const LOG_STATE_TICKS: u32 = 20;

/// Why a front end could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("GW_LISTEN: '{0}' is not an IP address with a port")]
    Listen(String),
    #[error("{what}: {error}")]
    Io { what: String, error: std::io::Error },
}

/// Returns a converter from I/O errors to [`RunError::Io`]; `what` names the operation that failed.
fn io(what: String) -> impl FnOnce(std::io::Error) -> RunError {
    move |error| RunError::Io { what, error }
}

/// Runs until SIGTERM or SIGINT arrives and all accepted calls are answered.
pub fn run() -> Result<(), RunError> {
    let settings = PlatformSettings::read()?;
    let listen = match std::env::var("GW_LISTEN") {
        Ok(text) => text.parse().map_err(|_| RunError::Listen(text))?,
        Err(_) => settings.listen,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(io("can't start the async runtime".into()))?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, listen))
}

async fn serve(mut settings: PlatformSettings, listen: SocketAddr) -> Result<(), RunError> {
    let handle = |kind: SignalKind| signal(kind).map_err(io("can't install a signal handler".into()));
    let (mut term, mut int, hup) =
        (handle(SignalKind::terminate())?, handle(SignalKind::interrupt())?, handle(SignalKind::hangup())?);
    let clock = Clock::new();
    let listener = Listener::bind(listen, clock).map_err(io(format!("can't listen on {listen}")))?;
    let listen = listener.local_addr().map_err(io(format!("can't listen on {listen}")))?;
    let (inputs, incoming) = mpsc::channel(driver::INPUT_QUEUE_CAPACITY);
    let shared = Rc::new(Shared::new(clock, inputs.clone()));
    let bounds = Bounds::new(&settings.limits.at_most(descriptors::open_file_limit()));
    let clients = Rc::new(Clients::new(shared.clone(), Catalog::from(&settings), bounds));
    let limits = Limits {
        streams: settings.streams,
        may_probe: settings.settings.may_health_check,
        idle_close: settings.idle_close,
        connect_timeout: settings.settings.connect_timeout.max(50_000),
        load_timeout: settings.settings.load_delay,
        report_fields: settings.report_fields.clone(),
        classes: settings.classes.iter().map(|c| c.name.clone()).collect(),
    };
    let executors = Rc::new(Executors::new(shared.clone(), clients.clone(), limits, bounds));
    shared.descriptors.add(&clients);
    shared.descriptors.add(&executors);
    // The initial endpoint events are queued before any call, so that the module processes them first.
    let (events, last) = std::mem::take(&mut settings.known);
    let initial_events = events.len();
    let _ = inputs.send(Input::EndpointUpdate { kind: EndpointUpdate::Full, endpoints: Vec::new() }).await;
    // The initial events are merged into one, because the first batch must contain all of them and the queue holds a
    // limited number of inputs before the driver runs.
    let mut known = Replay::all(events);
    let starts = StartTimes::initial(&mut known.endpoints, clock.now());
    executors.apply(known.kind, &known.endpoints);
    let _ = inputs.send(Input::EndpointUpdate { kind: known.kind, endpoints: known.endpoints }).await;
    drop(inputs);
    let mut tasks = JoinSet::new();
    let (bus_address, bus_updates) = watch::channel(settings.bus);
    let subscription = EventSubscription::new(last, clock.now());
    let watching = watch_events(shared.clone(), executors.clone(), subscription, starts, bus_updates);
    tasks.spawn_local(TimedTask::new(TaskKind::Endpoints, shared.clone(), watching));
    let listener = Rc::new(listener);
    let accepting = clients.clone().accept(listener.clone());
    let accepting = tasks.spawn_local(TimedTask::new(TaskKind::Clients, shared.clone(), accepting));
    tasks.spawn_local(shared.clone().check_stalls());
    tasks.spawn_local(shared.clone().run_read_turns());
    let (drain, draining) = watch::channel(false);
    tasks.spawn_local(async move {
        loop {
            tokio::select! {
                _ = term.recv() => drop(drain.send_replace(true)),
                _ = int.recv() => drop(drain.send_replace(true)),
            }
        }
    });
    tasks.spawn_local(reload::reload_at_signals(settings.clone(), hup, bus_address));
    let core = Core::new(settings.core_settings(), settings.seed, clock.now());
    let drain_limit = settings.longest_deadline().min(MAX_DEADLINE) + DRAIN_MARGIN;
    tracing::info!(name = settings.name, %listen, subscription = %settings.bus, initial_events, "front end started");
    let transport = Platform {
        shared: shared.clone(),
        clients,
        executors,
        listener,
        accepting,
        drain_limit,
        closes_at: None,
        ticks: 0,
        logged: Default::default(),
    };
    let (state, _) = watch::channel(FrontEndState::default());
    let parts = FrontEndParts {
        core,
        transport,
        inputs: incoming,
        clock,
        max_drain: drain_limit,
        drain: draining,
        state,
        session: None,
    };
    TimedTask::new(TaskKind::Driver, shared, driver::run(parts)).await;
    tasks.shutdown().await;
    tracing::info!("front end ended");
    Ok(())
}

/// Connects the driver to clients, executors and the event bus over the platform's protocols.
struct Platform {
    shared: Rc<Shared>,
    clients: Rc<Clients>,
    executors: Rc<Executors>,
    listener: Rc<Listener>,
    accepting: AbortHandle,
    drain_limit: Micros,
    /// While draining: when the front end stops accepting requests.
    closes_at: Option<Micros>,
    ticks: u32,
    /// The numbers of accepted calls and of nanoseconds spent in the module at the last log line.
    logged: (u64, u64),
}

impl Transport for Platform {
    fn execute(&mut self, command: Command) {
        match command {
            Command::Answer { ticket, answer, .. } => self.clients.answer(ticket, &answer),
            Command::Attempt(attempt) => self.executors.start_attempt(attempt),
            Command::Abort { request, attempt } => self.executors.abort(request, attempt),
            Command::HealthCheck { worker, .. } => self.executors.check_health(worker),
            Command::Load { worker, function, name, copies, start_by, .. } => {
                self.executors.load(LoadCommand { worker, function, name: &name, copies, start_by });
            }
            Command::Unload { worker, function, .. } => self.executors.unload(worker, &function),
            Command::CloseIdle { worker } => self.executors.close_idle(worker),
            // The subscription to the event bus is always active.
            Command::SubscribeEndpoints(_) | Command::FetchEndpoints | Command::ServeShards(_) => {}
            // Attempts do not wait for an intent on this front end.
            Command::WorkerDraining { .. } => {}
        }
    }

    fn flush(&mut self) {
        // Answers are flushed first because clients are waiting for them.
        self.clients.flush_all();
        self.executors.flush_all();
        if self.closes_at.is_none() && !self.clients.is_serving() {
            // The initial endpoint events were processed in the first batch.
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
            tracing::debug!(?in_flight, "attempts in flight on executors");
        }
    }

    fn drain(&mut self) -> Micros {
        let (now, late) = self.shared.earliest_time();
        self.clients.serve(false);
        self.clients.set_exit_deadline(now - late + self.drain_limit - CALL_DRAIN_MARGIN);
        self.closes_at = Some(now + ACCEPT_AFTER_SIGTERM);
        late
    }

    fn is_drained(&mut self) -> bool {
        if self.closes_at.is_none_or(|at| self.shared.clock.now() < at) {
            return false;
        }
        // New requests are rejected from now on. Connections are still accepted and read until the process exits, so that
        // these requests are answered and not lost.
        self.clients.stop_accepting();
        self.clients.unfinished() == (0, 0)
    }

    fn answers_remaining(&self) -> bool {
        true
    }

    async fn finish(&mut self) {
        self.accepting.abort();
        self.clients.finish(&self.listener).await;
        self.executors.finish();
    }

    fn reads_before_timeouts(&self) -> bool {
        true
    }

    fn is_serving(&mut self) -> bool {
        self.clients.is_serving()
    }

    async fn changed(&mut self) {
        let now = self.shared.clock.now();
        let closes_at = self.closes_at.filter(|at| *at > now).unwrap_or(now + MAX_DEADLINE);
        tokio::select! {
            () = tokio::time::sleep_until(self.shared.clock.instant(closes_at)) => {}
            () = self.clients.written() => {}
        }
    }
}
