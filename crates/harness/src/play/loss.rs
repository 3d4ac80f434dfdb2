//! What came of a loss of everything: how long until calls are served again, and what it cost the store.

use crate::day::Fleet;
use crate::layout::GIVE_UP;
use serde::Serialize;
use stagehoist_checker::story::Call;
use stagehoist_checker::Story;

const S: i64 = 1_000_000;
/// How often the store's fetches are noted.
const CHECK_INTERVAL: i64 = 50_000;
/// Over how long before the loss the goodput of before is taken.
const BEFORE: i64 = 3 * S;
/// Share of the goodput of before at which it counts as back.
const BACK: f64 = 0.9;
/// In what steps a second is looked for in which it is.
const STEP: i64 = 100_000;

/// Figures of a loss of everything; times in milliseconds from the loss.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Loss {
    pub first_served_ms: Option<f64>,
    /// Of a tenant with reservations; where the day has none, as for all.
    pub first_reserved_ms: Option<f64>,
    /// From when on, over a second, as large a part of the calls published is served before their callers time out as 90% of
    /// that of before the loss.
    pub goodput_back_ms: Option<f64>,
    /// Calls published from the loss until ten seconds after it, and those of them served in time.
    pub sent: u64,
    pub served: u64,
    /// Fetches from the store since the loss: in ten seconds, until the goodput was back, and in all.
    pub fetches_in_10_s: u64,
    pub fetches_until_back: Option<u64>,
    pub fetches: u64,
}

/// A loss as the day goes on.
pub(super) struct Watch {
    at: i64,
    /// When, and fetches so far: the first as the loss came.
    fetches: Vec<(i64, u64)>,
}

impl Watch {
    pub fn begin(at: i64, fetches: u64) -> Watch {
        Watch { at, fetches: vec![(at, fetches)] }
    }

    pub fn look(&mut self, now: i64, fetches: u64) {
        if self.fetches.last().is_none_or(|last| now >= last.0 + CHECK_INTERVAL) {
            self.fetches.push((now, fetches));
        }
    }

    /// Fetches from the loss until a moment.
    fn until(&self, moment: i64) -> u64 {
        let of = |at: i64| self.fetches.iter().take_while(|f| f.0 <= at).last().map_or(0, |f| f.1);
        of(moment).saturating_sub(of(self.at))
    }

    pub fn told(&self, story: &Story, fleet: &Fleet) -> Loss {
        let reserved: Vec<&str> = fleet.reserves.iter().map(|r| r.tenant.as_str()).collect();
        let first = |which: &dyn Fn(&Call) -> bool| {
            let own = story.calls.values().filter(|c| which(c));
            let at = own.filter_map(served).filter(|at| *at > self.at).min()?;
            Some((at - self.at) as f64 / 1000.0)
        };
        let before = share(story, self.at - BEFORE, self.at);
        let last = story.calls.values().map(|c| c.published).max().unwrap_or(0);
        let seconds = (0..).map(|n| self.at + n * STEP).take_while(|from| from + S <= last);
        let back = seconds.into_iter().find(|from| share(story, *from, from + S) >= BACK * before);
        let (sent, well) = counts(story, self.at, self.at + 10 * S);
        Loss {
            first_served_ms: first(&|_| true),
            first_reserved_ms: first(&|c| reserved.is_empty() || reserved.contains(&c.tenant.as_str())),
            goodput_back_ms: back.map(|back| (back - self.at) as f64 / 1000.0),
            sent,
            served: well,
            fetches_in_10_s: self.until(self.at + 10 * S),
            fetches_until_back: back.map(|back| self.until(back + S)),
            fetches: self.until(i64::MAX),
        }
    }
}

fn served(call: &Call) -> Option<i64> {
    call.answers.first().filter(|a| a.1 == "served").map(|a| a.0)
}

/// Calls published in a span, and those of them served before their callers gave up.
fn counts(story: &Story, from: i64, to: i64) -> (u64, u64) {
    let own = story.calls.values().filter(|c| (from..to).contains(&c.published));
    own.fold((0, 0), |(sent, well), call| {
        let in_time = served(call).is_some_and(|at| at - call.published <= GIVE_UP);
        (sent + 1, well + u64::from(in_time))
    })
}

fn share(story: &Story, from: i64, to: i64) -> f64 {
    let (sent, well) = counts(story, from, to);
    well as f64 / sent.max(1) as f64
}
