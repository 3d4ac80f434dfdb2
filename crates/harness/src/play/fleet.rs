//! Troubles of processes, of the links between them, and of what they share.

use super::loss::Watch;
use super::{ScenarioRunner, Undo, START_TIMEOUT};
use crate::day::{Calls, Pick, ScenarioFault, StoreFault};
use crate::stack::HarnessError;
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// How long a trouble of the leader waits for one to lead, and how often it looks.
const LEADER_WAIT: Duration = Duration::from_secs(5);
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Calls that a killed front end held when it died are the broker's again; older ones had their time, in microseconds.
const HELD: i64 = 2_500_000;

impl ScenarioRunner<'_> {
    pub(super) fn begin_fleet(&mut self, trouble: &ScenarioFault) -> Result<(), HarnessError> {
        match trouble {
            ScenarioFault::Link { front_end, fault, span } => {
                let ticket = self.stack.between.fault(front_end.number(), *fault);
                self.later(*span, Undo::Heal(ticket));
            }
            ScenarioFault::LeaderKill { .. } | ScenarioFault::LeaderStop { .. } => {
                self.leader(trouble, Instant::now() + LEADER_WAIT)?;
            }
            ScenarioFault::Retire { functions, successor } => {
                for function in functions.iter().take(1) {
                    self.retirements.asked(function, self.stack.recorder.now());
                    self.stack.retire(function, successor.as_deref())?;
                }
            }
            ScenarioFault::Everything { span } => self.power_loss(*span),
            ScenarioFault::Store { front_end, how } => self.store(front_end.number(), *how)?,
            ScenarioFault::Surge { tenant, times, only, span } => {
                let number = self.surges.iter().map(|s| s.0 + 1).max().unwrap_or(0);
                let only = only.map(Pick::number);
                self.surges.push((number, Calls { tenant: tenant.clone(), part: *times, only }));
                self.tell_surges();
                self.later(*span, Undo::Surge(number));
            }
            _ => {}
        }
        Ok(())
    }

    pub(super) fn stop(&mut self, front_end: u32, span: Duration) {
        if self.down.contains_key(&front_end) {
            return;
        }
        self.stack.signal(front_end, Signal::STOP);
        let now = self.stack.recorder.now();
        self.charter.frozen.push((front_end, now, now + span.as_micros() as i64));
        self.later(span, Undo::Continue(front_end));
    }

    pub(super) fn terminate(&mut self, front_end: u32) {
        if self.down.contains_key(&front_end) {
            return;
        }
        self.stack.signal(front_end, Signal::TERM);
        let by = Instant::now() + Duration::from_secs(3);
        self.later(Duration::from_millis(50), Undo::Reap(front_end, by));
    }

    pub(super) fn kill(&mut self, front_end: u32) -> Result<(), HarnessError> {
        if self.down.contains_key(&front_end) {
            return Ok(());
        }
        self.dies(&[front_end]);
        self.begin_anew(front_end)
    }

    /// Killed until a span is over; one that is down already stays so at least as long.
    pub(super) fn kill_for(&mut self, front_end: u32, span: Duration) {
        if !self.down.contains_key(&front_end) {
            self.dies(&[front_end]);
        }
        self.stays_down(front_end, span);
    }

    pub(super) fn kill_machine(&mut self, machine: u32, span: Duration) {
        let front_ends = self.stack.day.of_machine(machine);
        let up: Vec<u32> = front_ends.clone().filter(|f| !self.down.contains_key(f)).collect();
        self.dies(&up);
        front_ends.for_each(|front_end| self.stays_down(front_end, span));
    }

    /// Processes die, all before the first is waited for.
    fn dies(&mut self, front_ends: &[u32]) {
        for front_end in front_ends {
            self.stack.signal(*front_end, Signal::KILL);
        }
        for front_end in front_ends {
            self.stack.wait_end(*front_end, START_TIMEOUT);
            // One that was ordered to end needs to do so in order no more.
            self.undo.retain(|u| !matches!(u.1, Undo::Reap(f, _) if f == *front_end));
            // What it held is the broker's again; from here on the new process is judged.
            let now = self.stack.recorder.now();
            self.charter.frozen.push((*front_end, now - HELD, now));
        }
    }

    fn stays_down(&mut self, front_end: u32, span: Duration) {
        let until = Instant::now() + span;
        let until = self.down.get(&front_end).map_or(until, |earlier| until.max(*earlier));
        self.down.insert(front_end, until);
        self.undo.push((until, Undo::Start(front_end)));
    }

    /// Starts a process whose time is over; not one that was killed for longer meanwhile.
    pub(super) fn start_again(&mut self, front_end: u32) -> Result<(), HarnessError> {
        if self.down.get(&front_end).is_none_or(|until| *until > Instant::now()) {
            return Ok(());
        }
        self.down.remove(&front_end);
        let now = self.stack.recorder.now();
        if let Some(frozen) = self.charter.frozen.iter_mut().rev().find(|f| f.0 == front_end) {
            frozen.2 = frozen.2.max(now);
        }
        self.begin_anew(front_end)
    }

    fn power_loss(&mut self, span: Duration) {
        let all: Vec<u32> = (0..self.stack.front_ends.len() as u32).collect();
        let up: Vec<u32> = all.iter().copied().filter(|f| !self.down.contains_key(f)).collect();
        let workers: Vec<String> = self.stack.layout.workers.iter().map(|w| w.name.clone()).collect();
        self.lost.get_or_insert(Watch::begin(self.stack.recorder.now(), self.stack.store.fetches()));
        self.dies(&up);
        workers.iter().for_each(|name| self.stack.kill_worker(name));
        all.iter().for_each(|front_end| self.stays_down(*front_end, span));
        self.later(span, Undo::Workers(workers));
    }

    /// Befalls the leader now; where none does, once one does.
    pub(super) fn leader(&mut self, trouble: &ScenarioFault, by: Instant) -> Result<(), HarnessError> {
        match (self.stack.leader(), trouble) {
            (Some(front_end), ScenarioFault::LeaderStop { span }) => self.stop(front_end, *span),
            (Some(front_end), ScenarioFault::LeaderKill { span: Some(span) }) => {
                self.kill_for(front_end, *span)
            }
            (Some(front_end), _) => self.kill(front_end)?,
            (None, _) if Instant::now() < by => {
                self.later(LEADER_CHECK_INTERVAL, Undo::Leader(trouble.clone(), by))
            }
            (None, _) => self.stack.disorderly.push(format!("no keeper led for {trouble:?}")),
        }
        Ok(())
    }

    fn store(&mut self, front_end: u32, how: StoreFault) -> Result<(), HarnessError> {
        let up = !self.down.contains_key(&front_end);
        match how {
            StoreFault::Copy if up => {
                self.stack.signal(front_end, Signal::STOP);
                let copied = self.stack.befall_store(front_end, how);
                self.stack.signal(front_end, Signal::CONT);
                copied
            }
            StoreFault::SetBack | StoreFault::Damage if up => {
                self.dies(&[front_end]);
                self.stack.befall_store(front_end, how)?;
                self.begin_anew(front_end)
            }
            _ => self.stack.befall_store(front_end, how),
        }
    }

    pub(super) fn tell_surges(&mut self) {
        let mut tenants = self.stack.day.fleet.callers();
        for (_, surge) in &self.surges {
            match surge.only {
                Some(_) => tenants.push(surge.clone()),
                None => {
                    let own = tenants.iter_mut().filter(|t| t.tenant == surge.tenant && t.only.is_none());
                    own.for_each(|t| t.part *= surge.part);
                }
            }
        }
        self.stack.tenants.send_replace(tenants);
    }

    /// Looks at the state of retirements.
    pub(super) fn watch(&mut self) {
        if let Some(lost) = self.lost.as_mut() {
            lost.look(self.stack.recorder.now(), self.stack.store.fetches());
        }
        if self.stack.day.fleet.keepers == 0 {
            return;
        }
        // Until the first is notified of there is no file.
        if let Ok(text) = std::fs::read_to_string(self.stack.files(0).state()) {
            self.retirements.read(&text, self.stack.recorder.now());
        }
    }
}
