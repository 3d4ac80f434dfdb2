//! The rules, judged by what clients and executors saw on their sockets.

mod leaving;
mod notification;
mod slow_start;

use super::client::Answered;
use super::executor::{ExecutorRequest, ObservedRequest};
pub use leaving::{after_leaving, AfterLeaving};
pub use notification::{notified_at, Outage};
pub use slow_start::{SlowStart, Start};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Every time limit is so much longer on sockets.
pub const SLACK: Duration = Duration::from_millis(50);

/// The time that an executor is told to wait may be so much more than the client has left.
pub const WAIT_SLACK: Duration = Duration::from_millis(150);

/// A request as a client wrote it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub at: Instant,
    pub id: String,
    pub tag: String,
    pub allow: Duration,
    /// Whether it must not run twice.
    pub is_unsafe: bool,
    pub body: Vec<u8>,
    /// When it was aborted, or its connection closed by the client: no answer is owed, and no attempt for it
    /// begins any more.
    pub left: Option<Instant>,
}

/// What the rules go by.
#[derive(Clone, Debug, Default)]
pub struct RuleSettings {
    /// When front ends count as notified that an executor drains or is gone: [`notified_at`].
    pub drained: BTreeMap<u32, Instant>,
    /// When an executor that drained before was ready again.
    pub ready_again: BTreeMap<u32, Instant>,
    /// What executors that start may get.
    pub slow_start: Option<SlowStart>,
    pub grace: Duration,
    /// Orders to load: free ones, the share of requests, the window.
    pub ration: (f64, f64, Duration),
    /// So long after its time an answer is late; [`SLACK`] where nothing else is told.
    pub answer_slack: Option<Duration>,
}

/// Everything that broke a rule, in words; empty where all were kept.
pub fn judge(
    asked: &[SentRequest],
    answers: &[Answered],
    executors: &[(u32, Vec<ObservedRequest>)],
    told: &RuleSettings,
) -> Vec<String> {
    let mut broken = Vec::new();
    let answer_slack = told.answer_slack.unwrap_or(SLACK);
    for a in asked {
        let got: Vec<_> = answers.iter().filter(|x| x.tag == a.tag).collect();
        match got[..] {
            [] if a.left.is_some() => {}
            [] => broken.push(format!("1: {} was never answered", a.id)),
            [one] if one.at > a.at + a.allow + answer_slack => {
                let late = one.at - (a.at + a.allow);
                broken.push(format!(
                    "1: {} was answered late, {} by {late:?} after {:?}",
                    a.id, one.word, a.allow
                ))
            }
            [one] if one.word == "200" && one.body != a.body => {
                broken.push(format!("1: {} got what none made", a.id))
            }
            [_] => {}
            _ => broken.push(format!("1: {} was answered {} times", a.id, got.len())),
        }
        if !a.is_unsafe {
            continue;
        }
        // Each attempt in the order it arrived, with the word it ended with there.
        let mut attempts: Vec<(Instant, bool)> = Vec::new();
        for (_, seen) in executors {
            for (n, s) in seen.iter().enumerate() {
                if matches!(&s.what, ExecutorRequest::Run { id, .. } if *id == a.id) {
                    let end = seen[n..].iter().find_map(|e| match &e.what {
                        ExecutorRequest::Answered { id, word } if *id == a.id => Some(word.as_str()),
                        _ => None,
                    });
                    attempts.push((s.at, matches!(end, Some("MISS" | "BUSY" | "VOID"))));
                }
            }
        }
        attempts.sort_by_key(|x| x.0);
        let may_have_run = attempts.iter().filter(|x| !x.1).count();
        if may_have_run > 1 {
            broken.push(format!("2: {} may have run {may_have_run} times", a.id));
        }
        if may_have_run > 0 && got.iter().any(|x| x.word == "503") {
            broken.push(format!("2: {} was refused though it may have run", a.id));
        }
    }
    let after = after_leaving(asked, executors);
    if after.is_break() {
        broken.push(format!("1: {after}"));
    }
    let mut orders: Vec<Instant> = Vec::new();
    for (id, seen) in executors {
        for s in seen {
            let new = matches!(s.what, ExecutorRequest::Run { .. })
                || matches!(s.what, ExecutorRequest::Hold { copies, .. } if copies > 0);
            let since = told.drained.get(id).map(|at| s.at.saturating_duration_since(*at));
            let late = since.filter(|since| *since > told.grace + SLACK);
            let is_ready_again = told.ready_again.get(id).is_some_and(|at| s.at >= *at);
            if let Some(since) = late.filter(|_| new && !is_ready_again) {
                broken.push(format!("3: {:?} to executor {id:08x} {since:?} after it drained", s.what));
            }
            orders
                .extend(matches!(s.what, ExecutorRequest::Hold { copies, .. } if copies > 0).then_some(s.at));
        }
    }
    broken.extend(waits_too_long(asked, executors));
    broken.extend(told.slow_start.iter().flat_map(|slow_start| slow_start.broken(executors)));
    let (free, share, window) = told.ration;
    orders.sort_unstable();
    for (n, at) in orders.iter().enumerate() {
        let since = |t: &Instant| *t + window > *at && t <= at;
        let within = orders[..=n].iter().filter(|t| since(t)).count() as f64;
        let taken = asked.iter().filter(|a| since(&a.at)).count() as f64;
        let most = (free + share * taken) * 1.15 + 1.0;
        if window > Duration::ZERO && within > most {
            broken.push(format!("5: {within} orders within the window where {most:.1} are allowed"));
        }
    }
    broken
}

/// Attempts whose executor was told to wait for longer than the client does.
fn waits_too_long(asked: &[SentRequest], executors: &[(u32, Vec<ObservedRequest>)]) -> Vec<String> {
    let mut ends: HashMap<&str, Instant> = HashMap::new();
    for request in asked {
        let end = ends.entry(&request.id).or_insert(request.at + request.allow);
        *end = (*end).max(request.at + request.allow);
    }
    let mut broken = Vec::new();
    for seen in executors.iter().flat_map(|(_, seen)| seen) {
        let ExecutorRequest::Run { id, wait, .. } = &seen.what else { continue };
        let Some(end) = ends.get(&**id) else { continue };
        let left = end.saturating_duration_since(seen.at);
        if *wait > left + WAIT_SLACK {
            broken.push(format!("1: {id} was to be waited for {wait:?} with {left:?} left"));
        }
    }
    broken
}
