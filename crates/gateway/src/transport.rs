//! The [`Transport`] of one front end with callers over AMQP, workers over KServe v2 and a watched endpoint list.

use crate::amqp::link::{self, LinkCommand, LinkState};
use crate::amqp::InquirySettings;
use crate::clock::Clock;
use crate::discovery::{self, DiscoveryCommand};
use crate::driver::Transport;
use crate::fleet::{await_first_status, EgressCheck};
use crate::intent_recorder::IntentRecorder;
use crate::metrics::Gauges;
use crate::state::{Command, Core, Input};
use crate::workers::Workers;
use stagehoist_cluster_state::ClusterStatus;
use stagehoist_config::Config;
use stagehoist_recovery::intent_gate::Limits;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// The sockets of one front end and the tasks that own them.
pub struct AmqpTransport {
    workers: Rc<Workers>,
    /// Some if attempts are recorded on disk; its task ends when it is dropped.
    recorder: Option<IntentRecorder>,
    to_link: mpsc::UnboundedSender<LinkCommand>,
    to_list: mpsc::UnboundedSender<DiscoveryCommand>,
    /// Held for as long as the list of front ends is watched.
    _to_front_ends: mpsc::UnboundedSender<DiscoveryCommand>,
    link_state: watch::Receiver<LinkState>,
    gauges: Gauges,
    _tasks: JoinSet<()>,
}

impl AmqpTransport {
    /// Starts the tasks; must be called inside a `LocalSet`.
    pub fn start(
        config: &Rc<Config>,
        number: u32,
        seed: u64,
        clock: Clock,
        inputs: mpsc::Sender<Input>,
        fleet: Option<(EgressCheck, Option<watch::Receiver<ClusterStatus>>)>,
        inquiries: Option<InquirySettings>,
    ) -> AmqpTransport {
        let (to_link, from_driver) = mpsc::unbounded_channel();
        let (link_state, link_state_receiver) = watch::channel(LinkState::default());
        let (to_list, list_commands) = mpsc::unbounded_channel();
        let egress = fleet.as_ref().map(|(egress, _)| egress.clone());
        let workers = Rc::new(Workers::new(config.clone(), clock, inputs.clone(), egress));
        let mut tasks = JoinSet::new();
        // Attempts wait for intents if and only if a front end can answer inquiries about redelivered messages: neither
        // proves anything without the other.
        let intent_recorder = inquiries.as_ref().map(|inquiries| {
            let (intent_log, workers, inputs) =
                (inquiries.intent_log.clone(), workers.clone(), inputs.clone());
            let limits = Limits::default();
            let (recorder, task) =
                IntentRecorder::start(config.clone(), clock, intent_log, workers, inputs, limits);
            tasks.spawn_local(async move { drop(task.await) });
            recorder
        });
        let link =
            link::run(config.clone(), (seed, clock), inquiries, inputs.clone(), from_driver, link_state);
        let max_status_wait = config.fleet.as_ref().map_or(0, |f| f.max_startup_wait);
        tasks.spawn_local(async move {
            if let Some((_, status)) = fleet {
                await_first_status(status, clock, max_status_wait).await;
            }
            link.await;
        });
        let (_to_front_ends, front_end_list_commands) = mpsc::unbounded_channel();
        tasks.spawn_local(discovery::front_ends::watch(
            config.clone(),
            seed,
            clock,
            inputs.clone(),
            front_end_list_commands,
        ));
        tasks.spawn_local(discovery::watch(config.clone(), seed, clock, inputs, list_commands));
        let gauges = Gauges::new(number);
        AmqpTransport {
            workers,
            recorder: intent_recorder,
            to_link,
            to_list,
            _to_front_ends,
            link_state: link_state_receiver,
            gauges,
            _tasks: tasks,
        }
    }
}

impl Transport for AmqpTransport {
    fn execute(&mut self, command: Command) {
        // Sends fail only once the link or the list watcher has ended, which happens after the driver or at the end of a
        // drain.
        match command {
            Command::Answer { ticket, answer, elapsed: answer_time } => {
                self.gauges.record_answer(&answer, answer_time);
                if let Some(recorder) = self.recorder.as_mut() {
                    recorder.call_answered(ticket);
                }
                let _ = self.to_link.send(LinkCommand::Answer(ticket, answer));
            }
            Command::Attempt(attempt) => {
                let ready = match self.recorder.as_mut() {
                    Some(recorder) => recorder.attempt(attempt),
                    None => Some(attempt),
                };
                if let Some(attempt) = ready {
                    self.workers.attempt(attempt);
                }
            }
            Command::Abort { request, attempt } => {
                if let Some(recorder) = self.recorder.as_mut() {
                    recorder.abort(request, attempt);
                }
                self.workers.abort(request, attempt);
            }
            Command::WorkerDraining { worker, since } => {
                if let Some(recorder) = self.recorder.as_mut() {
                    recorder.worker_draining(worker, since);
                }
            }
            Command::HealthCheck { worker, address } => self.workers.health_check(worker, address),
            Command::Load { worker, address, function, name, copies, .. } => {
                self.workers.load((worker, address), (function, &name), copies)
            }
            Command::Unload { address, function, .. } => self.workers.unload(address, &function),
            Command::CloseIdle { worker } => self.workers.close_idle(worker),
            Command::ServeShards(owned) => drop(self.to_link.send(LinkCommand::ServeShards(owned))),
            Command::SubscribeEndpoints(on) => drop(self.to_list.send(DiscoveryCommand::Subscribe(on))),
            Command::FetchEndpoints => drop(self.to_list.send(DiscoveryCommand::Fetch)),
        }
    }

    fn on_endpoints_ready(&mut self) {
        let _ = self.to_link.send(LinkCommand::EndpointsReady);
    }

    fn on_tick(&mut self, core: &Core) {
        self.workers.sweep();
        let link = *self.link_state.borrow_and_update();
        self.gauges.publish(core, &link);
    }

    fn drain(&mut self) -> stagehoist::Micros {
        // Sending fails only if the link has ended; then there is nothing left to drain.
        let _ = self.to_link.send(LinkCommand::Drain);
        0
    }

    fn is_drained(&mut self) -> bool {
        self.link_state.borrow().drained
    }

    fn is_serving(&mut self) -> bool {
        self.link_state.borrow().ready
    }

    fn awaits_endpoints(&mut self) -> bool {
        self.link_state.borrow().awaits_endpoints
    }

    async fn changed(&mut self) {
        if self.link_state.changed().await.is_err() {
            // The link ended, so its state does not change any more.
            std::future::pending::<()>().await;
        }
    }
}
