//! Callers over AMQP, workers over KServe v2 and a followed list, as one front end's [`Ways`].

use crate::amqp::link::{self, LinkState, ToLink};
use crate::amqp::Marking;
use crate::clock::Clock;
use crate::driver::Ways;
use crate::fleet::{first_word, Desk};
use crate::list::{self, ToList};
use crate::marked::Marker;
use crate::metrics_page::Gauges;
use crate::state::{Command, Core, News};
use crate::workers::Workers;
use stagehoist_cluster_state::Standing;
use stagehoist_config::Config;
use stagehoist_recovery::marked::Limits;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// The sockets of one front end and the tasks that own them.
pub struct AmqpWays {
    workers: Rc<Workers>,
    /// Where attempts are marked on disk; its task ends with it.
    marker: Option<Marker>,
    to_link: mpsc::UnboundedSender<ToLink>,
    to_list: mpsc::UnboundedSender<ToList>,
    /// Held for as long as the list of front ends is followed.
    _to_front_ends: mpsc::UnboundedSender<ToList>,
    link_seen: watch::Receiver<LinkState>,
    gauges: Gauges,
    _tasks: JoinSet<()>,
}

impl AmqpWays {
    /// Starts the tasks; must be called inside a `LocalSet`.
    pub fn start(
        config: &Rc<Config>,
        number: u32,
        seed: u64,
        clock: Clock,
        news: mpsc::Sender<News>,
        fleet: Option<(Desk, Option<watch::Receiver<Standing>>)>,
        marking: Option<Marking>,
    ) -> AmqpWays {
        let (to_link, from_driver) = mpsc::unbounded_channel();
        let (link_state, link_seen) = watch::channel(LinkState::default());
        let (to_list, asks) = mpsc::unbounded_channel();
        let desk = fleet.as_ref().map(|(desk, _)| desk.clone());
        let workers = Rc::new(Workers::new(config.clone(), clock, news.clone(), desk));
        let mut tasks = JoinSet::new();
        // Attempts wait for marks where messages are asked about, and only there: one without the other proves nothing.
        let marker = marking.as_ref().map(|marking| {
            let (marks, workers, news) = (marking.marks.clone(), workers.clone(), news.clone());
            let limits = Limits::default();
            let (marker, task) = Marker::start(config.clone(), clock, marks, workers, news, limits);
            tasks.spawn_local(async move { drop(task.await) });
            marker
        });
        let link = link::run(config.clone(), (seed, clock), marking, news.clone(), from_driver, link_state);
        let asking_most = config.fleet.as_ref().map_or(0, |f| f.asking_most);
        tasks.spawn_local(async move {
            if let Some((_, standing)) = fleet {
                first_word(standing, clock, asking_most).await;
            }
            link.await;
        });
        let (_to_front_ends, ends) = mpsc::unbounded_channel();
        tasks.spawn_local(list::front_ends::follow(config.clone(), seed, clock, news.clone(), ends));
        tasks.spawn_local(list::follow(config.clone(), seed, clock, news, asks));
        let gauges = Gauges::new(number);
        AmqpWays { workers, marker, to_link, to_list, _to_front_ends, link_seen, gauges, _tasks: tasks }
    }
}

impl Ways for AmqpWays {
    fn carry_out(&mut self, command: Command) {
        // Sends fail only once a link or follower ended, which it does after the driver or at the end of a drain.
        match command {
            Command::Answer { ticket, answer, took } => {
                self.gauges.answered(&answer, took);
                if let Some(marker) = self.marker.as_mut() {
                    marker.answered(ticket);
                }
                let _ = self.to_link.send(ToLink::Answer(ticket, answer));
            }
            Command::Attempt(attempt) => {
                let now = match self.marker.as_mut() {
                    Some(marker) => marker.attempt(attempt),
                    None => Some(attempt),
                };
                if let Some(attempt) = now {
                    self.workers.attempt(attempt);
                }
            }
            Command::Abort { request, attempt } => {
                if let Some(marker) = self.marker.as_mut() {
                    marker.abort(request, attempt);
                }
                self.workers.abort(request, attempt);
            }
            Command::Leaving { worker, since } => {
                if let Some(marker) = self.marker.as_mut() {
                    marker.worker(worker, since);
                }
            }
            Command::Probe { worker, address } => self.workers.probe(worker, address),
            Command::Load { worker, address, function, name, copies } => {
                self.workers.load((worker, address), (function, &name), copies)
            }
            Command::Unload { address, function, .. } => self.workers.unload(address, &function),
            Command::CloseIdle { worker } => self.workers.close_idle(worker),
            Command::Own(owned) => drop(self.to_link.send(ToLink::Own(owned))),
            Command::Watch(on) => drop(self.to_list.send(ToList::Watch(on))),
            Command::Fetch => drop(self.to_list.send(ToList::Fetch)),
        }
    }

    fn listed(&mut self) {
        let _ = self.to_link.send(ToLink::Listed);
    }

    fn tend(&mut self, core: &Core) {
        self.workers.sweep();
        let link = *self.link_seen.borrow_and_update();
        self.gauges.publish(core, &link);
    }

    fn drain(&mut self) -> stagehoist::Micros {
        // A link that ended has nothing left to drain.
        let _ = self.to_link.send(ToLink::Drain);
        0
    }

    fn is_drained(&mut self) -> bool {
        self.link_seen.borrow().drained
    }

    fn is_serving(&mut self) -> bool {
        self.link_seen.borrow().ready
    }

    fn awaits_list(&mut self) -> bool {
        self.link_seen.borrow().awaits_list
    }

    async fn changed(&mut self) {
        if self.link_seen.changed().await.is_err() {
            // The link ended; what it last showed stands.
            std::future::pending::<()>().await;
        }
    }
}
