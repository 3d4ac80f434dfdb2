//! Rules 3 to 5: workers that drain or are gone, workers that are cold, and orders to load.

use super::{ms, Rule, RuleSet, Tally};
use crate::capture::Micros;
use crate::story::{Story, WorkerNotice};

/// Words of a list or worker shown with a breach, the last ones.
const MAX_NOTICES_SHOWN: usize = 12;

/// Since when a front end has been told without a break that a worker takes nothing new; None where it was not.
fn shut_since(told: &[WorkerNotice], at: Micros) -> Option<Micros> {
    let (mut by_list, mut by_itself): (Option<Micros>, Option<Micros>) = (None, None);
    let mut started = 0;
    for t in told.iter().take_while(|t| t.at <= at) {
        match (t.by_list, t.ready) {
            (true, true) => {
                // The list took it back, or shows a new process: what the old one said of itself is void.
                if by_list.take().is_some() || t.started > started {
                    by_itself = None;
                }
                started = started.max(t.started);
            }
            (true, false) => drop(by_list.get_or_insert(t.at)),
            (false, true) => by_itself = None,
            (false, false) => drop(by_itself.get_or_insert(t.at)),
        }
    }
    match (by_list, by_itself) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

pub(super) fn drains_kept(story: &Story, charter: &RuleSet) -> Rule {
    let mut tally = Tally::new(3, "nothing new to a worker that drains or is gone");
    let calls = story.attempts.iter().map(|a| (a.front_end, &a.worker, a.asked, "call"));
    let loads = story.loads.iter().map(|l| (l.front_end, &l.worker, l.at, "load"));
    for (front_end, worker, at, what) in calls.chain(loads) {
        let began = charter.process_began(front_end, at);
        let told = story.told.get(&(front_end, worker.clone()));
        let told = told.map(|t| &t[t.partition_point(|t| t.at < began)..]);
        let shut = told.and_then(|t| shut_since(t, at)).map(|t| charter.knew(front_end, t));
        let kept = shut.is_none_or(|t| at - t <= charter.drain_grace);
        tally.check(kept, || {
            let since = shut.map_or(0.0, ms);
            let words: Vec<String> =
                told.into_iter().flatten().filter(|t| t.at <= at).map(WorkerNotice::to_string).collect();
            let last =
                words.get(words.len().saturating_sub(MAX_NOTICES_SHOWN)..).unwrap_or_default().join(", ");
            format!("front end {front_end}: {what} to {worker} at {} ms, told at {since} ms ({last})", ms(at))
        });
    }
    tally.0
}

pub(super) fn no_cold_worker_pushed_over(story: &Story, charter: &RuleSet) -> Rule {
    let mut tally = Tally::new(4, "no cold worker pushed over");
    let Some((window, multiple, share, warm_up)) = charter.cold else { return tally.0 };
    for start in &charter.starts {
        let until = start.at + warm_up;
        let sent: Vec<(Micros, u32)> = story
            .attempts
            .iter()
            .filter(|a| a.worker == start.worker && (start.at..until).contains(&a.asked))
            .map(|a| (a.asked, a.front_end))
            .collect();
        for (first, (from, _)) in sent.iter().enumerate() {
            let inside: Vec<_> = sent[first..].iter().take_while(|s| s.0 < from + window).collect();
            // Capacity in the middle of the span, rising evenly; slack for chance in small counts.
            let passed = (from + window / 2 - start.at) as f64 / warm_up.max(1) as f64;
            let part = (share + (1.0 - share) * passed).clamp(share, 1.0);
            let capacity = start.capacity * part * window as f64 / 1e6;
            let budget = multiple * capacity + 3.0 + capacity.sqrt();
            let over = inside.len() as f64 > budget;
            let informed = inside.iter().filter(|s| {
                let told = story.told.get(&(s.1, start.worker.clone()));
                told.is_some_and(|t| {
                    t.iter().any(|t| t.by_list && t.ready && t.at >= start.at && t.at <= s.0)
                })
            });
            let breach = over && informed.count() * 3 >= inside.len() * 2;
            tally.check(!breach, || {
                let (n, at) = (inside.len(), ms(*from));
                format!(
                    "{}: {n} calls within {} ms from {at} ms, budget {budget:.0}",
                    start.worker,
                    ms(window)
                )
            });
        }
    }
    tally.0
}

pub(super) fn loads_rationed(story: &Story, charter: &RuleSet) -> Rule {
    let mut tally = Tally::new(5, "loads rationed");
    let Some((window, free, share)) = charter.ration else { return tally.0 };
    let none = Vec::new();
    for load in &story.loads {
        let within = |at: Micros| at > load.at - window && at <= load.at;
        let same = story.loads.iter().filter(|l| l.front_end == load.front_end);
        let loads = same.filter(|l| within(l.at)).count();
        let taken = story.taken.get(&load.front_end).unwrap_or(&none);
        let taken =
            taken.partition_point(|t| *t <= load.at) - taken.partition_point(|t| *t <= load.at - window);
        let ration = free + share * taken as f64;
        tally.check(loads as f64 <= ration, || {
            let (at, f) = (ms(load.at), load.front_end);
            format!("front end {f}: {loads} loads within the window at {at} ms, ration {ration:.1}")
        });
    }
    tally.0
}
