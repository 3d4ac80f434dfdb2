//! Rule 4: what an executor that starts may get from all front ends together. It falls when it gets more requests of mean work
//! than the settings allow it within their window, plus a part for chance.

use crate::platform::executor::{ExecutorRequest, ObservedRequest};
use std::time::{Duration, Instant};

/// Below so many requests the part for chance is larger.
const FEW: f64 = 30.0;

/// A start that front ends had been told of.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    pub executor: u32,
    pub at: Instant,
}

/// The limits of the settings, and the starts that they bind at.
#[derive(Clone, Debug)]
pub struct SlowStart {
    pub starts: Vec<Start>,
    /// Capacity at the start as a part of the full one.
    pub start_capacity: f64,
    pub warm_up: Duration,
    pub overload_factor: f64,
    pub window: Duration,
    /// Requests of mean work that an established executor serves within a window.
    pub full_capacity: f64,
}

impl SlowStart {
    /// Requests that an executor stands within a window that ends so long after its start.
    pub fn budget(&self, age: Duration) -> f64 {
        let warm = (age.as_secs_f64() / self.warm_up.as_secs_f64()).min(1.0);
        let capacity = self.start_capacity + (1.0 - self.start_capacity) * warm;
        let n = self.overload_factor * capacity * self.full_capacity;
        let chance = if n < FEW { 3.0 * n.sqrt() + 3.0 } else { 2.0 * n.sqrt() + 2.0 };
        n + chance
    }

    /// Starts after which an executor got more than its budget.
    pub fn broken(&self, executors: &[(u32, Vec<ObservedRequest>)]) -> Vec<String> {
        self.starts.iter().filter_map(|start| self.overload(start, executors)).collect()
    }

    fn overload(&self, start: &Start, executors: &[(u32, Vec<ObservedRequest>)]) -> Option<String> {
        let seen = executors.iter().filter(|(id, _)| *id == start.executor).flat_map(|(_, seen)| seen);
        let warming = start.at..start.at + self.warm_up;
        let is_run = |seen: &&ObservedRequest| matches!(seen.what, ExecutorRequest::Run { .. });
        let runs: Vec<Instant> =
            seen.filter(is_run).map(|seen| seen.at).filter(|at| warming.contains(at)).collect();
        runs.iter().enumerate().find_map(|(index, at)| {
            let within = runs[..=index].iter().filter(|other| **other + self.window > *at).count();
            let budget = self.budget(*at - start.at);
            let text = || {
                let (id, age) = (start.executor, *at - start.at);
                format!("4: {within} requests to executor {id:08x}, {age:?} after its start, where it stands {budget:.1}")
            };
            (within as f64 > budget).then(text)
        })
    }
}

#[cfg(test)]
mod tests;
