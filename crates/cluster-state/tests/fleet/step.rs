//! The model's possible actions and their effects.

use super::{Action, Fleet, Guard, Message, Replica, World, FUNCTION};
use stagehoist_cluster_state::{Command, Grant, Leader, Micros, Report, Retirement};

impl Fleet {
    pub fn choices(&self, world: &World, actions: &mut Vec<Action>) {
        if world.time < self.ticks {
            actions.push(Action::Tick);
        }
        for (run, process) in world.runs.iter().enumerate() {
            if world.reports_sent < self.max_reports {
                actions.extend((0..world.replicas.len()).map(|replica| Action::SendReport { run, replica }));
            }
            let last = world.committed().is_present(&process.member);
            if last && world.restarts < self.restarts {
                actions.push(Action::Restart { run });
            }
        }
        actions.extend(world.network.iter().map(|message| Action::Deliver(*message)));
        if world.tombstone().is_none() {
            actions.push(Action::Retire);
        }
        actions.extend([Action::CatchUp, Action::Commit]);
        if world.replicas.len() <= self.elections {
            let lags = if self.disabled_guard == Some(Guard::CaughtUp) { 0..3 } else { 0..1 };
            actions.extend(lags.map(|lag| Action::Elect { lag }));
        }
    }

    pub fn step(&self, world: &mut World, action: Action) {
        let newest = world.history.len() - 1;
        let leader = world.replicas.len() - 1;
        let caught_up = world.replicas[leader].applied == newest;
        match action {
            Action::Tick => {
                world.time += 1;
                let time = world.time;
                let leader = world.leader();
                // A majority responds to the present leader up to the current time.
                leader.acked = leader.rate * time;
            }
            Action::SendReport { run, replica } => {
                let now = world.runs[run].now(world);
                let process = &mut world.runs[run];
                let (number, confirmed) = (process.holder.begin_report(now), process.holder.version());
                world.reports_sent += 1;
                let report = Message::Report { run, replica, number, confirmed, deliveries: 0 };
                world.network.insert(report);
            }
            Action::Deliver(message) => self.deliver(world, message),
            Action::Retire if caught_up => {
                let retirement = Retirement {
                    function: FUNCTION.into(),
                    generation: 1,
                    successor: None,
                    reason: String::new(),
                    mode: self.mode,
                    requested_ms: 0,
                };
                self.commit(world, Command::Retire(retirement));
            }
            Action::Restart { run } if caught_up => {
                world.restarts += 1;
                let (name, rate) = (world.runs[run].member.name.clone(), world.runs[run].rate);
                self.join(world, &name, rate);
            }
            Action::Elect { lag } => self.elect(world, lag),
            Action::Commit if caught_up && !world.pending.is_empty() => {
                let command = world.pending.remove(0);
                self.commit(world, command);
            }
            Action::CatchUp => world.leader().applied = newest,
            _ => {}
        }
    }

    /// Commits the due commands, or queues them as pending.
    pub fn due(&self, world: &mut World) {
        let (time, newest) = (world.time, world.history.len() - 1);
        let state = world.history[newest].clone();
        let leader = world.leader();
        if leader.applied == newest {
            let due = leader.leader_state.due_commands(&state, leader.rate * time);
            if self.late_commits {
                world.pending.extend(due);
            } else {
                due.into_iter().for_each(|command| drop(self.commit(world, command)));
            }
        }
    }

    /// Elects another replica as leader; the old leader is not notified.
    fn elect(&self, world: &mut World, lag: usize) {
        let rate = world.next_rate;
        let now = rate * world.time;
        let terms = self.terms();
        let began =
            if self.disabled_guard == Some(Guard::TakeoverWait) { now - terms.takeover_wait() } else { now };
        let applied = (world.history.len() - 1).saturating_sub(lag);
        let leader_state = Leader::new(terms, began);
        world.replicas.push(Replica { rate, acked: now, leader_state, applied });
    }

    fn deliver(&self, world: &mut World, message: Message) {
        match message {
            Message::Report { run, replica, number, confirmed, deliveries } => {
                world.network.remove(&message);
                let deliveries = deliveries + 1;
                if deliveries < self.max_deliveries {
                    world.network.insert(Message::Report { run, replica, number, confirmed, deliveries });
                }
                let member = world.runs[run].member.clone();
                let time = world.time;
                let Replica { rate, acked, leader_state, applied, .. } = &mut world.replicas[replica];
                let now = *rate * time;
                let acked = if self.disabled_guard == Some(Guard::Quorum) { now } else { *acked };
                let report = Report { number, confirmed, ..Report::default() };
                let state = &world.history[*applied];
                let Some(grant) = leader_state.report(state, &member, &report, now, acked) else { return };
                let applied = *applied;
                world.network.insert(Message::Grant { run, number, version: grant.version });
                world.network.insert(Message::View { run, applied });
            }
            Message::Grant { run, number, version } => {
                let holder = &mut world.runs[run].holder;
                let version =
                    if self.disabled_guard == Some(Guard::LocalVersion) { holder.version() } else { version };
                let lease = self.terms().lease;
                holder.on_grant(Grant { number, version, lease, permits: Vec::new() });
            }
            Message::View { run, applied } => {
                let view = world.history[applied].view.clone();
                world.runs[run].holder.on_view(view);
            }
        }
    }
}

impl World {
    /// Drops messages that can no longer have an effect, which reduces the number of states but not the executions.
    pub fn drop_ineffective_messages(&mut self) {
        let (runs, history, time) = (&self.runs, &self.history, self.time);
        self.network.retain(|message| match message {
            Message::Report { .. } => true,
            Message::Grant { run, number, version } => {
                let (run, lease) = (&runs[*run], Micros::MAX / 4_000_000);
                let grant = Grant { number: *number, version: *version, lease, permits: Vec::new() };
                let mut holder = run.holder.clone();
                holder.on_grant(grant) && holder.status().permits_until > 1000 + run.rate * time
            }
            Message::View { run, applied } => history[*applied].view.version > runs[*run].holder.version(),
        });
    }
}
