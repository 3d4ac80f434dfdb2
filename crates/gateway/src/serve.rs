//! Starts, monitors and drains front ends, each on its own thread.

use crate::amqp::InquirySettings;
use crate::clock::Clock;
use crate::driver::{self, FrontEndParts, FrontEndState};
use crate::error::GatewayError;
use crate::fleet::{
    EgressCheck, FleetRecovery, PoolAdmission, RetirementGate, SessionHandle, ShutdownMarker,
};
use crate::metrics;
use crate::shards::{self, Shards};
use crate::state::{module, Core, CoreSettings, PolicyFactory};
use crate::transport::AmqpTransport;
use metrics_exporter_prometheus::PrometheusHandle;
use stagehoist_config::Config;
use stagehoist_intent_log::{IntentLog, LogLocation, Options};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::thread::JoinHandle;
use tokio::sync::{mpsc, watch};

/// Difference between the seeds of consecutive front ends.
const SEED_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// A running gateway.
pub struct Running {
    drain: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
    /// The threads of the front ends' intent logs; each ends after its front end.
    stores: Vec<JoinHandle<()>>,
    states: Vec<watch::Receiver<FrontEndState>>,
    /// The address of the metrics endpoint.
    pub metrics: Option<SocketAddr>,
}

/// Starts all front ends of a configuration. `metrics` is the handle of the process's metrics recorder, if it has one.
pub fn serve(config: &Config, metrics: Option<PrometheusHandle>) -> Result<Running, GatewayError> {
    serve_with(module, config, metrics, Clock::new(), Vec::new())
}

/// Starts all front ends as [`serve`] does, with the given decision policy and one session with the replicas per front end,
/// whose times are on `clock`. A front end of a fleet without a session does not learn the cluster state.
pub fn serve_with(
    policy: PolicyFactory,
    config: &Config,
    metrics: Option<PrometheusHandle>,
    clock: Clock,
    sessions: Vec<Option<SessionHandle>>,
) -> Result<Running, GatewayError> {
    let (drain, drained) = watch::channel(false);
    let mut running =
        Running { drain, threads: Vec::new(), stores: Vec::new(), states: Vec::new(), metrics: None };
    let mut sessions = sessions.into_iter();
    for number in 0..config.front_ends {
        let config = shards::front_end_config(config.clone(), number);
        let mut session = sessions.next().flatten();
        let peers = session.as_mut().and_then(|session| session.inquiry.take());
        let log = open_intent_log(&config, number)?.map(|(log, store)| {
            running.stores.push(store);
            log
        });
        let inquiries = log.map(|intent_log| InquirySettings { intent_log, peers });
        let (state, state_receiver) = watch::channel(FrontEndState::default());
        let drain = drained.clone();
        let start = FrontEndStart { policy, config, number, clock, session, inquiries, drain, state };
        let name = format!("front-end-{number}");
        running.threads.push(spawn_runtime(name, move || start.run())?);
        running.states.push(state_receiver);
    }
    if let (Some(listen), Some(handle)) = (config.listen.first(), metrics) {
        let (address, thread) = serve_metrics(&listen.address, handle, drained)?;
        running.metrics = address;
        running.threads.push(thread);
    }
    Ok(running)
}

/// Runs a future on a new runtime, on a new thread with this name.
fn spawn_runtime<F: Future<Output = ()>>(
    name: String,
    make: impl FnOnce() -> F + Send + 'static,
) -> Result<JoinHandle<()>, GatewayError> {
    let thread = std::thread::Builder::new().name(name);
    let spawned = thread.spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        tokio::task::LocalSet::new().block_on(&runtime, make());
    });
    spawned.map_err(GatewayError::Start)
}

/// The arguments of a front end's thread.
struct FrontEndStart {
    policy: PolicyFactory,
    config: Config,
    number: u32,
    clock: Clock,
    session: Option<SessionHandle>,
    /// Some if attempts are recorded.
    inquiries: Option<InquirySettings>,
    drain: watch::Receiver<bool>,
    state: watch::Sender<FrontEndState>,
}

impl FrontEndStart {
    /// Runs the front end until it has drained.
    async fn run(self) {
        let FrontEndStart { policy, config, number, clock, session, inquiries, drain, state } = self;
        let seed = config.seed.wrapping_add(u64::from(number).wrapping_mul(SEED_STEP));
        let (sender, inputs) = mpsc::channel(driver::INPUT_QUEUE_CAPACITY);
        let config = Rc::new(config);
        let mut core = Core::with(policy, CoreSettings::from(&*config), seed, clock.now());
        core.set_shards(Shards::new(&config));
        if let Some(pool_admission) = PoolAdmission::new(&config, seed, clock.now()) {
            core.set_pool_admission(pool_admission);
        }
        let gate = config.fleet.as_ref().map(|_| RetirementGate::new(config.clone()));
        let fleet = gate.map(|gate| {
            let egress = EgressCheck::new(gate, move || clock.now());
            core.join_fleet(egress.clone());
            (egress, session.as_ref().map(|session| session.status.clone()))
        });
        if inquiries.is_some() {
            core.report_drains();
        }
        let marker = ShutdownMarker::begin(&config, number);
        let recover = config.fleet.as_ref().and_then(|fleet| fleet.recover);
        if let (Some(recover), Some(marker)) = (recover, &marker) {
            let is_unclean = marker.is_unclean();
            core.set_recovery(FleetRecovery::new(&config, &recover, is_unclean, seed, clock.now()));
        }
        let transport = AmqpTransport::start(&config, number, seed, clock, sender, fleet, inquiries);
        let max_drain = config.drain_timeout;
        driver::run(FrontEndParts { core, transport, inputs, clock, max_drain, drain, state, session }).await;
        if let Some(marker) = marker {
            marker.remove();
        }
    }
}

/// Serves the metrics until draining begins. Returns the listening address and the thread.
fn serve_metrics(
    address: &str,
    handle: PrometheusHandle,
    mut drained: watch::Receiver<bool>,
) -> Result<(Option<SocketAddr>, JoinHandle<()>), GatewayError> {
    let fail = |source| GatewayError::Listen { address: address.to_string(), source };
    let listener = std::net::TcpListener::bind(address).map_err(fail)?;
    listener.set_nonblocking(true).map_err(fail)?;
    let bound = listener.local_addr().ok();
    let serve = move || async move {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        tokio::select! {
            () = metrics::serve(listener, handle) => {}
            _ = drained.wait_for(|drained| *drained) => {}
        }
    };
    Ok((bound, spawn_runtime("metrics".into(), serve)?))
}

/// Opens a front end's intent log if attempts are to be recorded. In a fleet the incarnation comes from the session with the
/// replicas.
fn open_intent_log(
    config: &Config,
    number: u32,
) -> Result<Option<(IntentLog, JoinHandle<()>)>, GatewayError> {
    let Some(marks) = &config.marks else { return Ok(None) };
    let fleet = config.fleet.as_ref();
    let name = fleet.map_or(format!("front-end-{number}"), |f| format!("{}/{number}", f.member));
    let location = LogLocation { folder: PathBuf::from(&marks.folder), name, standalone: fleet.is_none() };
    let options = Options { retention: marks.keep, max_intents: marks.most, ..Options::default() };
    let opened = stagehoist_intent_log::start(&location, options);
    opened.map(Some).map_err(|source| GatewayError::Marks { folder: marks.folder.clone(), source })
}

impl Running {
    /// Returns the current state of each front end.
    pub fn states(&self) -> Vec<FrontEndState> {
        self.states.iter().map(|s| *s.borrow()).collect()
    }

    /// Returns whether every front end consumes calls and knows a ready worker.
    pub fn is_ready(&self) -> bool {
        self.states().iter().all(|s| s.consuming && s.ready_workers > 0)
    }

    /// Returns whether a thread ended although no drain was ordered.
    pub fn has_unexpected_exit(&self) -> bool {
        !*self.drain.borrow() && self.threads.iter().any(JoinHandle::is_finished)
    }

    /// Begins the drain: no more calls are accepted, and held calls are answered.
    pub fn drain(&self) {
        self.drain.send_replace(true);
    }

    /// Waits for all threads to end.
    pub fn join(self) -> Result<(), GatewayError> {
        for (number, thread) in self.threads.into_iter().enumerate() {
            thread.join().map_err(|_| GatewayError::FrontEnd(number as u32))?;
        }
        for store in self.stores {
            if store.join().is_err() {
                tracing::error!("the thread of a front end's intent log panicked");
            }
        }
        Ok(())
    }
}
