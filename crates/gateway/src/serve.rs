//! Front ends started on threads of their own, watched, and drained.

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
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::thread::JoinHandle;
use tokio::sync::{mpsc, watch};

/// A gateway that runs.
pub struct Running {
    drain: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
    /// Of the front ends' intents; each ends after its front end.
    stores: Vec<JoinHandle<()>>,
    states: Vec<watch::Receiver<FrontEndState>>,
    /// Where the metrics page stands.
    pub metrics: Option<SocketAddr>,
}

/// Starts all front ends of a configuration. `metrics` is the recorder's handle where the process has one.
pub fn serve(config: &Config, metrics: Option<PrometheusHandle>) -> Result<Running, GatewayError> {
    serve_with(module, config, metrics, Clock::new(), Vec::new())
}

/// The same with another policy than the module, to measure against, and with each front end's link to the replicas, whose
/// times are on `clock`; without a link, one that is part of a fleet knows nothing of the cluster state.
pub fn serve_with(
    decider: PolicyFactory,
    config: &Config,
    metrics: Option<PrometheusHandle>,
    clock: Clock,
    links: Vec<Option<SessionHandle>>,
) -> Result<Running, GatewayError> {
    let (drain, drained) = watch::channel(false);
    let mut running =
        Running { drain, threads: Vec::new(), stores: Vec::new(), states: Vec::new(), metrics: None };
    let mut links = links.into_iter();
    for number in 0..config.front_ends {
        let config = shards::own(config.clone(), number);
        let (drained, mut link) = (drained.clone(), links.next().flatten());
        let others = link.as_mut().and_then(|l| l.inquiry.take());
        let marks = marks(&config, number)?.map(|(marks, store)| {
            running.stores.push(store);
            marks
        });
        let (state, seen) = watch::channel(FrontEndState::default());
        let thread = std::thread::Builder::new().name(format!("front-end-{number}"));
        let spawned = thread.spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                let seed = config.seed.wrapping_add(u64::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15));
                let (inputs, incoming) = mpsc::channel(driver::INPUT_QUEUE_CAPACITY);
                let config = Rc::new(config);
                let mut core = Core::with(decider, CoreSettings::from(&*config), seed, clock.now());
                core.set_shards(Shards::new(&config));
                if let Some(entrance) = PoolAdmission::new(&config, seed, clock.now()) {
                    core.set_pool_admission(entrance);
                }
                let gate = config.fleet.as_ref().map(|_| RetirementGate::new(config.clone()));
                let fleet = gate.map(|gate| {
                    let egress = EgressCheck::new(gate, move || clock.now());
                    core.join_fleet(egress.clone());
                    (egress, link.as_ref().map(|l| l.status.clone()))
                });
                let marking = marks.map(|marks| InquirySettings { intent_log: marks, peers: others });
                if marking.is_some() {
                    core.report_drains();
                }
                let witness = ShutdownMarker::begin(&config, number);
                let recover = config.fleet.as_ref().and_then(|f| f.recover);
                if let (Some(recover), Some(witness)) = (recover, &witness) {
                    let lost = witness.is_unclean();
                    core.set_recovery(FleetRecovery::new(&config, &recover, lost, seed, clock.now()));
                }
                let transport = AmqpTransport::start(&config, number, seed, clock, inputs, fleet, marking);
                let parts = FrontEndParts {
                    core,
                    transport,
                    inputs: incoming,
                    clock,
                    max_drain: config.drain_most,
                    drain: drained,
                    state,
                    session: link,
                };
                driver::run(parts).await;
                if let Some(witness) = witness {
                    witness.remove();
                }
            });
        });
        running.threads.push(spawned.map_err(GatewayError::Start)?);
        running.states.push(seen);
    }
    if let (Some(listen), Some(handle)) = (config.listen.first(), metrics) {
        let fail = |source| GatewayError::Listen { address: listen.address.clone(), source };
        let listener = std::net::TcpListener::bind(&listen.address).map_err(fail)?;
        listener.set_nonblocking(true).map_err(fail)?;
        running.metrics = listener.local_addr().ok();
        let mut drained = drained.clone();
        let thread = std::thread::Builder::new().name("metrics".into());
        let spawned = thread.spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            runtime.block_on(async move {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                tokio::select! {
                    () = metrics::serve(listener, handle) => {}
                    _ = drained.wait_for(|d| *d) => {}
                }
            });
        });
        running.threads.push(spawned.map_err(GatewayError::Start)?);
    }
    Ok(running)
}

/// Opens a front end's intents, where attempts are to be recorded. With replicas the run is notified by its session.
fn marks(config: &Config, number: u32) -> Result<Option<(IntentLog, JoinHandle<()>)>, GatewayError> {
    let Some(told) = &config.marks else { return Ok(None) };
    let fleet = config.fleet.as_ref();
    let name = fleet.map_or(format!("front-end-{number}"), |f| format!("{}/{number}", f.member));
    let place = LogLocation { folder: PathBuf::from(&told.folder), name, standalone: fleet.is_none() };
    let options = Options { replica: told.keep, most: told.most, ..Options::default() };
    let opened = stagehoist_intent_log::start(&place, options);
    opened.map(Some).map_err(|source| GatewayError::Marks { folder: told.folder.clone(), source })
}

impl Running {
    /// The present state of each front end.
    pub fn states(&self) -> Vec<FrontEndState> {
        self.states.iter().map(|s| *s.borrow()).collect()
    }

    /// Whether every front end consumes and knows a worker.
    pub fn is_ready(&self) -> bool {
        self.states().iter().all(|s| s.consuming && s.ready_workers > 0)
    }

    /// Whether a front end ended though it was not told to.
    pub fn is_broken(&self) -> bool {
        !*self.drain.borrow() && self.threads.iter().any(JoinHandle::is_finished)
    }

    /// Takes no more calls; what is held is answered.
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
                tracing::error!("the thread of a front end's marks failed");
            }
        }
        Ok(())
    }
}
