//! How attempts and orders to load end in the world.

use super::worker::{load, run, Condition};
use super::World;
use crate::MS;
use stagehoist::*;

impl World {
    pub(super) fn attempt(&mut self, front: usize, id: RequestId, worker: WorkerId) {
        let call = self.calls.get_mut(&id).expect("a call that came");
        let (function, streaming, deadline) = (call.function, call.streaming, call.deadline);
        let number = call.attempts.len() as u16;
        let before: Vec<_> = call.attempts.clone();
        call.attempts.push((worker, true));
        let at = (id, number, worker);
        let cold = self.workers[&worker].row.started > self.now - self.settings.warm_up;
        let follows = [
            ("further attempt", number > 0),
            ("second copy", before.iter().any(|a| a.1)),
            ("back where it was", before.iter().any(|a| a.0 == worker)),
            ("sent to a cold worker", cold),
        ];
        for (name, _) in follows.iter().filter(|x| x.1) {
            *self.observed.entry(name).or_default() += 1;
        }
        let (gap, drawn, long) = (300 + self.random.below(MS), self.random.below(100), self.random.below(20));
        let share = 60 + self.random.below(80) + if long == 0 { 300 } else { 0 };
        let store = 100 + self.loads_in_progress() * 10;
        let w = self.workers.get_mut(&worker).expect("a worker of the list");
        let crowd = w.running.len() as f64 / w.row.capacity;
        let pace = if w.condition.0 == Condition::Slow { 4.0 } else { 1.0 } * crowd.max(1.0);
        let took = (run(function) * share / 100) as f64 * pace;
        let stands = w.copies.get(&function).map(|c| c.0);
        let gone = w.row.lifecycle == Lifecycle::Gone || w.condition.0 == Condition::Dead;
        let failing = w.condition.0 == Condition::Failing && drawn < 70;
        let outcome = match drawn {
            _ if gone => Outcome::ConnectFailed,
            _ if w.condition.0 == Condition::Silent => Outcome::Timeout,
            _ if crowd > 3.0 => Outcome::Full,
            _ if failing => Outcome::Error,
            97 => Outcome::Superseded,
            98 => Outcome::Reset,
            99 => Outcome::Error,
            _ if stands.is_none() && self.settings.on_miss == OnMiss::Miss => Outcome::Miss,
            _ => Outcome::Ok,
        };
        match outcome {
            Outcome::Timeout => {
                return self.end(at, outcome, 0, (self.now, deadline.max(self.now) - self.now + gap))
            }
            Outcome::Ok => {}
            _ => {
                return self.end(
                    at,
                    outcome,
                    0,
                    (self.now, gap + if outcome == Outcome::Reset { 20 * MS } else { 0 }),
                )
            }
        }
        w.running.push((id, number));
        // A load under way is waited for; one begins where no copy stands.
        let (ready, copy) = match stands {
            Some(since) if since <= self.now => (self.now, 1),
            Some(since) => (since, 3),
            None => (self.now + load(function) * store / 100, 2),
        };
        w.copies.insert(function, (ready, ready));
        if copy == 2 && drawn < 5 {
            w.copies.remove(&function);
            return self.end(at, Outcome::Error, 4, (self.now, ready - self.now));
        }
        let span = ready - self.now + took as Micros + gap;
        // The process around the module waits no longer than the call's time.
        if self.now + span > deadline + 50 * MS {
            return self.end(at, Outcome::Timeout, 0, (self.now, deadline.max(self.now) - self.now + gap));
        }
        if streaming {
            self.send(front, ready + gap, Event::Started { request: id, attempt: number });
        }
        self.end(at, Outcome::Ok, copy, (self.now, span));
    }

    /// An attempt's end comes after a time.
    pub(super) fn end(
        &mut self,
        (request, attempt, worker): (RequestId, u16, WorkerId),
        outcome: Outcome,
        copy: u8,
        (sent, took): (Micros, Micros),
    ) {
        let front = self.calls[&request].front;
        let (note, concluded, report) = (CopyReport { state: copy, concurrency: 0 }, false, None);
        let ended =
            AttemptEnd { request, attempt, worker, concluded, outcome, copy: note, elapsed: took, report };
        self.send(front, sent + took, Event::AttemptEnded(ended));
    }

    fn loads_in_progress(&self) -> Micros {
        let loads = self.workers.values().flat_map(|w| w.copies.values());
        loads.filter(|c| c.0 > self.now).count() as Micros
    }

    pub(super) fn order(&mut self, front: usize, worker: WorkerId, function: FunctionId) {
        let late = self.random.below(self.settings.load_delay.max(1));
        let (drawn, share) = (self.random.below(30), 80 + self.random.below(60));
        let took = late + load(function) * (share + 10 * self.loads_in_progress()) / 100;
        let w = self.workers.get_mut(&worker).expect("a worker of the list");
        let gone = w.row.lifecycle == Lifecycle::Gone || w.condition.0 == Condition::Dead;
        let (outcome, took, copies) = match drawn {
            _ if gone => (Outcome::ConnectFailed, MS, 0),
            _ if w.condition.0 == Condition::Silent => (Outcome::Timeout, self.settings.load_timeout, 0),
            0 => (Outcome::Full, late + MS, 0),
            1 => (Outcome::Error, took, 0),
            _ => (Outcome::Ok, took, 1),
        };
        if outcome == Outcome::Ok {
            let ready = self.now + took;
            w.copies.entry(function).or_insert((ready, ready));
        }
        self.send(front, self.now + took, Event::Loaded { worker, function, outcome, elapsed: took, copies });
    }
}
