//! Outcomes of attempts and load orders in the simulated environment.

use super::worker::{load, run, Condition};
use super::World;
use crate::MS;
use stagehoist::*;

impl World {
    pub(super) fn attempt(&mut self, front: usize, id: RequestId, worker: WorkerId) {
        let call = self.calls.get_mut(&id).expect("the request arrived before");
        let (function, streaming, deadline) = (call.function, call.streaming, call.deadline);
        let number = call.attempts.len() as u16;
        let previous: Vec<_> = call.attempts.clone();
        call.attempts.push((worker, true));
        let at = (id, number, worker);
        let cold = self.workers[&worker].row.started > self.now - self.settings.warm_up;
        let observations = [
            ("further attempt", number > 0),
            ("second copy", previous.iter().any(|a| a.1)),
            ("back where it was", previous.iter().any(|a| a.0 == worker)),
            ("sent to a cold worker", cold),
        ];
        for (name, _) in observations.iter().filter(|x| x.1) {
            *self.observed.entry(name).or_default() += 1;
        }
        let (overhead, random_percent, slow_draw) =
            (300 + self.random.below(MS), self.random.below(100), self.random.below(20));
        let run_percent = 60 + self.random.below(80) + if slow_draw == 0 { 300 } else { 0 };
        let load_percent = 100 + self.loads_in_progress() * 10;
        let w = self.workers.get_mut(&worker).expect("the worker is in the list");
        let utilization = w.running.len() as f64 / w.row.capacity;
        let slowdown = if w.condition.0 == Condition::Slow { 4.0 } else { 1.0 } * utilization.max(1.0);
        let run_time = (run(function) * run_percent / 100) as f64 * slowdown;
        let copy_ready_at = w.copies.get(&function).map(|c| c.0);
        let unreachable = w.row.lifecycle == Lifecycle::Gone || w.condition.0 == Condition::Dead;
        let failing = w.condition.0 == Condition::Failing && random_percent < 70;
        let outcome = match random_percent {
            _ if unreachable => Outcome::ConnectFailed,
            _ if w.condition.0 == Condition::Silent => Outcome::Timeout,
            _ if utilization > 3.0 => Outcome::Full,
            _ if failing => Outcome::Error,
            97 => Outcome::Superseded,
            98 => Outcome::Reset,
            99 => Outcome::Error,
            _ if copy_ready_at.is_none() && self.settings.on_miss == OnMiss::Miss => Outcome::Miss,
            _ => Outcome::Ok,
        };
        match outcome {
            Outcome::Timeout => {
                return self.end(at, outcome, 0, (self.now, deadline.max(self.now) - self.now + overhead))
            }
            Outcome::Ok => {}
            _ => {
                return self.end(
                    at,
                    outcome,
                    0,
                    (self.now, overhead + if outcome == Outcome::Reset { 20 * MS } else { 0 }),
                )
            }
        }
        w.running.push((id, number));
        // The attempt waits for a load in progress, or starts one if there is no copy.
        let (ready, copy) = match copy_ready_at {
            Some(since) if since <= self.now => (self.now, 1),
            Some(since) => (since, 3),
            None => (self.now + load(function) * load_percent / 100, 2),
        };
        w.copies.insert(function, (ready, ready));
        if copy == 2 && random_percent < 5 {
            w.copies.remove(&function);
            return self.end(at, Outcome::Error, 4, (self.now, ready - self.now));
        }
        let total_time = ready - self.now + run_time as Micros + overhead;
        // The process around the module waits no longer than the call's deadline.
        if self.now + total_time > deadline + 50 * MS {
            return self.end(
                at,
                Outcome::Timeout,
                0,
                (self.now, deadline.max(self.now) - self.now + overhead),
            );
        }
        if streaming {
            self.send(front, ready + overhead, Event::Started { request: id, attempt: number });
        }
        self.end(at, Outcome::Ok, copy, (self.now, total_time));
    }

    /// Schedules the end of an attempt, at `sent` plus its duration.
    pub(super) fn end(
        &mut self,
        (request, attempt, worker): (RequestId, u16, WorkerId),
        outcome: Outcome,
        copy: u8,
        (sent, elapsed_time): (Micros, Micros),
    ) {
        let front = self.calls[&request].front;
        let (copy_report, concluded, report) = (CopyReport { state: copy, concurrency: 0 }, false, None);
        let ended = AttemptEnd {
            request,
            attempt,
            worker,
            concluded,
            outcome,
            copy: copy_report,
            elapsed: elapsed_time,
            report,
            connected_at: Micros::MAX,
        };
        self.send(front, sent + elapsed_time, Event::AttemptEnded(ended));
    }

    fn loads_in_progress(&self) -> Micros {
        let loads = self.workers.values().flat_map(|w| w.copies.values());
        loads.filter(|c| c.0 > self.now).count() as Micros
    }

    pub(super) fn order_load(&mut self, front: usize, worker: WorkerId, function: FunctionId) {
        let late = self.random.below(self.settings.load_delay.max(1));
        let (random_percent, share) = (self.random.below(30), 80 + self.random.below(60));
        let elapsed_time = late + load(function) * (share + 10 * self.loads_in_progress()) / 100;
        let w = self.workers.get_mut(&worker).expect("the worker is in the list");
        let unreachable = w.row.lifecycle == Lifecycle::Gone || w.condition.0 == Condition::Dead;
        let (outcome, elapsed_time, copies) = match random_percent {
            _ if unreachable => (Outcome::ConnectFailed, MS, 0),
            _ if w.condition.0 == Condition::Silent => (Outcome::Timeout, self.settings.load_timeout, 0),
            0 => (Outcome::Full, late + MS, 0),
            1 => (Outcome::Error, elapsed_time, 0),
            _ => (Outcome::Ok, elapsed_time, 1),
        };
        if outcome == Outcome::Ok {
            let ready = self.now + elapsed_time;
            w.copies.entry(function).or_insert((ready, ready));
        }
        self.send(
            front,
            self.now + elapsed_time,
            Event::Loaded { worker, function, outcome, elapsed: elapsed_time, copies },
        );
    }
}
