//! A simulated worker: its loaded copies, running attempts and current condition.

use crate::MS;
use stagehoist::*;
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq)]
pub enum Condition {
    Healthy,
    /// Accepts calls and never answers.
    Silent,
    /// Answers most calls with an error.
    Failing,
    /// Refuses connections.
    Dead,
    Slow,
}

pub struct Worker {
    pub row: Endpoint,
    /// Whether the row changed since the last list.
    pub changed: bool,
    /// The condition, and when it ends.
    pub condition: (Condition, Micros),
    /// Copies by function: when the load ended (in progress: will end), and the last use.
    pub copies: BTreeMap<FunctionId, (Micros, Micros)>,
    /// Running attempts, by call and attempt number; a restart removes them.
    pub running: Vec<(RequestId, u16)>,
}

impl Worker {
    pub fn new(worker: WorkerId, started: Micros) -> Worker {
        let (kind, zone, cell) = ((worker % 2) as u16, (worker % 2) as u8, (worker % 3) as u16);
        let capacity = 2.0 + f64::from(worker % 3);
        let row = Endpoint { worker, kind, lifecycle: Lifecycle::Ready, zone, started, cell, capacity };
        let (copies, running) = Default::default();
        Worker { row, changed: true, condition: (Condition::Healthy, 0), copies, running }
    }

    pub fn set_lifecycle(&mut self, to: Lifecycle) {
        (self.row.lifecycle, self.changed) = (to, true);
    }

    pub fn restart(&mut self, now: Micros) {
        self.set_lifecycle(Lifecycle::Ready);
        self.row.started = now;
        self.copies.clear();
        self.running.clear();
    }

    /// Ends an expired condition and removes copies that were not used for long.
    pub fn expire(&mut self, now: Micros, retention: Micros) {
        if self.condition.1 <= now {
            self.condition = (Condition::Healthy, Micros::MAX);
        }
        self.copies.retain(|_, (since, used)| now < (*since).max(*used) + retention + retention / 4);
    }

    pub fn report(&self, s: &Settings) -> LoadReport {
        let value = |field: &ReportField| match field {
            ReportField::InFlight => self.running.len() as f32,
            ReportField::Queue => (self.running.len() as f32 - self.row.capacity as f32).max(0.0),
            ReportField::Busy => (self.running.len() as f32 / self.row.capacity as f32).min(1.0),
            ReportField::Other => 0.5,
        };
        let mut values = [0.0; 4];
        values.iter_mut().zip(&s.report_fields).for_each(|(slot, field)| *slot = value(field));
        (!s.report_fields.is_empty()).then_some(values)
    }
}

/// Returns the usual run time of a function.
pub fn run(function: FunctionId) -> Micros {
    (30 + (function * 37 % 140) as Micros) * MS
}

/// Returns the usual load time of a function.
pub fn load(function: FunctionId) -> Micros {
    (150 + (function * 53 % 350) as Micros) * MS
}

pub fn memory(function: FunctionId) -> f64 {
    300.0 + (function * 71 % 900) as f64
}
