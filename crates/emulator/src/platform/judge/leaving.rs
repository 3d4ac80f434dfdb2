//! Attempts that begin though their client cancelled the request or closed its connection: counted over all
//! front ends, as each of them comes too rarely to be seen at one.

use super::SentRequest;
use crate::platform::executor::{ExecutorRequest, ObservedRequest};
use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

/// An attempt that begins so long after its client left was on its way.
pub const TRANSIT: Duration = Duration::from_millis(100);

/// What was seen of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AfterLeaving {
    /// All attempts that began.
    pub attempts: usize,
    /// Those that began after their client had left, by whatever time.
    pub after: usize,
    /// Those of them that can't have been on their way.
    pub late: usize,
    /// The longest time from a leaving to an attempt's begin.
    pub worst: Duration,
}

impl AfterLeaving {
    /// Share of all attempts that can't have been on their way.
    pub fn share(&self) -> f64 {
        self.late as f64 / self.attempts.max(1) as f64
    }

    pub fn is_break(&self) -> bool {
        self.late > 0
    }
}

impl fmt::Display for AfterLeaving {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (share, worst) = (self.share() * 100.0, self.worst.as_millis());
        let (late, attempts) = (self.late, self.attempts);
        write!(
            f,
            "{late} of {attempts} attempts ({share:.3}%) began after their client left, {worst} ms the worst"
        )
    }
}

/// Looks at every attempt, first or further, of all front ends. One counts from when an executor had read it
/// whole.
pub fn after_leaving(asked: &[SentRequest], executors: &[(u32, Vec<ObservedRequest>)]) -> AfterLeaving {
    // An id that was asked again, by whomever, is left only once its last asker left.
    let mut left: HashMap<&str, Option<Instant>> = HashMap::new();
    for a in asked {
        let at = left.entry(&a.id).or_insert(a.left);
        *at = at.zip(a.left).map(|(one, other)| one.max(other));
    }
    let mut all = AfterLeaving::default();
    for seen in executors.iter().flat_map(|(_, seen)| seen) {
        let ExecutorRequest::Run { id, .. } = &seen.what else { continue };
        all.attempts += 1;
        let since = left.get(&**id).copied().flatten().and_then(|at| seen.at.checked_duration_since(at));
        if let Some(since) = since.filter(|since| !since.is_zero()) {
            all.after += 1;
            all.late += usize::from(since > TRANSIT);
            all.worst = all.worst.max(since);
        }
    }
    all
}

#[cfg(test)]
mod tests;
