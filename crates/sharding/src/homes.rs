//! Maps functions to shards. A function without configured traffic has one home shard, which depends on its
//! name alone. Functions configured as hot are distributed so that no shard gets much more than its share; a
//! function with too much traffic for one shard is spread over several.

use crate::division::{Division, DivisionError, Table};
use crate::key::mix;
use crate::{Key, Shard};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of functions with configured traffic.
pub const MAX_HOT_FUNCTIONS: usize = 8_192;
/// A hot function is spread over enough shards that each part is at most a shard's mean traffic divided by
/// this number.
const PARTS_PER_SHARD: u64 = 4;
/// Maximum configured traffic of a shard as a fraction of its share, where the placement by descending size
/// allows it. Traffic of functions that aren't configured adds to it at random: with 9/8 the busiest of 300
/// shards had up to 1.26 of the mean.
const LIMIT: (u64, u64) = (17, 16);
/// Number of steps to which the configured fraction of all traffic is rounded up.
const TRAFFIC_STEPS: u64 = 16;

/// Rounds `x` to the middle of its half octave. `max_part` is one of the middles because the parts of spread
/// functions lie just below it: with arbitrary class bounds all of them, and so the sums of all shards, would
/// be rounded in the same direction.
fn rounded_size(x: u64, max_part: u64) -> u64 {
    let (x, mut octave, mut half) = (u128::from(x), u128::from(max_part.max(1)), false);
    while octave < x {
        octave *= 2;
    }
    loop {
        // Middles descend by the square root of two and class bounds lie a fourth root of two below; integers only.
        let middle = if half { octave * 181 / 256 } else { octave };
        if x * 256 >= middle * 215 {
            return middle as u64;
        }
        (octave, half) = (if half { octave / 2 } else { octave }, !half);
    }
}

/// A function with configured traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct HotFunction {
    pub name: String,
    /// Usual calls per second over the whole fleet; used only to compute the home shards.
    pub calls: f64,
    /// Number of shards to spread over; `None` derives it from `calls`.
    pub spread: Option<u32>,
}

/// The home shards of all functions.
#[derive(Clone, Debug)]
pub struct HomeShards {
    table: Arc<Table>,
    hot: BTreeMap<Key, Vec<Shard>>,
}

impl HomeShards {
    /// Computes the home shards of the hot functions. `calls` is the expected total of calls per second. If
    /// the sum over the hot functions is greater, that sum is used instead.
    pub fn new(division: &Division, calls: f64, hot: &[HotFunction]) -> Result<HomeShards, DivisionError> {
        if hot.len() > MAX_HOT_FUNCTIONS {
            return Err(DivisionError::TooManyHotFunctions { configured: hot.len(), max: MAX_HOT_FUNCTIONS });
        }
        let table = division.table.clone();
        let shards = division.shards();
        // Thousandths of a call per second: integers, so that sums are the same on every machine.
        let milli = |calls: f64| if calls.is_finite() { (calls * 1e3).clamp(0.0, 1e15) as u64 } else { 0 };
        let configured: u64 = hot.iter().map(|f| milli(f.calls)).sum();
        let all = milli(calls).max(configured).max(1);
        let max_part = all / (u64::from(shards) * PARTS_PER_SHARD);
        let mut parts = Vec::with_capacity(hot.len());
        let mut keys = BTreeSet::new();
        for f in hot {
            let wanted = milli(f.calls).saturating_mul(u64::from(shards) * PARTS_PER_SHARD).div_ceil(all);
            let spread = f.spread.unwrap_or(wanted.clamp(1, u64::from(shards)) as u32);
            if spread == 0 || spread > shards {
                return Err(DivisionError::BadSpread { name: f.name.clone(), spread, shards });
            }
            let key = Key::of(&f.name);
            if !keys.insert(key) {
                return Err(DivisionError::DuplicateFunction { name: f.name.clone() });
            }
            parts.push((rounded_size(milli(f.calls) / u64::from(spread), max_part), key, spread));
        }
        // Places large parts first. Sizes are rounded, so that a small change of one usually changes no home.
        parts.sort_by_key(|p| (std::cmp::Reverse(p.0), p.1.rank()));
        let configured: u64 =
            parts.iter().map(|p| p.0.saturating_mul(u64::from(p.2))).fold(0, u64::saturating_add);
        // In sixteenths of all traffic, for the same reason.
        let configured = configured.min(all).saturating_mul(TRAFFIC_STEPS).div_ceil(all);
        let mean =
            |s: Shard| u128::from(all) * u128::from(table.weights[s as usize]) / u128::from(table.weight);
        let limit = |s: Shard| {
            (mean(s) * u128::from(configured * LIMIT.0) / u128::from(LIMIT.1 * TRAFFIC_STEPS)) as u64
        };
        let mut load = vec![0u64; shards as usize];
        let mut homes = BTreeMap::new();
        for (part, key, spread) in parts {
            let fits = |s: &Shard| load[*s as usize].saturating_add(part) <= limit(*s);
            let mut chosen: BTreeSet<Shard> =
                table.order(key).into_iter().filter(fits).take(spread as usize).collect();
            let mut rest: Vec<Shard> = (0..shards).filter(|s| !chosen.contains(s)).collect();
            rest.sort_by_key(|s| (load[*s as usize] / u64::from(table.weights[*s as usize]), *s));
            let missing = spread as usize - chosen.len();
            chosen.extend(rest.into_iter().take(missing));
            chosen.iter().for_each(|s| load[*s as usize] = load[*s as usize].saturating_add(part));
            homes.insert(key, chosen.into_iter().collect());
        }
        Ok(HomeShards { table, hot: homes })
    }

    /// Returns the home shards of a function in ascending order: one, or several if its configured traffic
    /// requires it.
    pub fn of(&self, function: Key) -> Vec<Shard> {
        match self.hot.get(&function) {
            Some(shards) => shards.clone(),
            None => vec![self.home(function)],
        }
    }

    /// Returns the shard that a call is sent to. `call` is a number that the caller draws uniformly or hashes
    /// from the id of the call.
    pub fn for_call(&self, function: Key, call: u64) -> Shard {
        match self.hot.get(&function) {
            Some(shards) => shards[(mix(call) % shards.len() as u64) as usize],
            None => self.home(function),
        }
    }

    /// Returns whether a function has a home in one of `shards`, which are in ascending order.
    pub fn any_in(&self, function: Key, shards: &[Shard]) -> bool {
        match self.hot.get(&function) {
            Some(homes) => homes.iter().any(|s| shards.binary_search(s).is_ok()),
            None => shards.binary_search(&self.home(function)).is_ok(),
        }
    }

    fn home(&self, function: Key) -> Shard {
        self.table.next(function, None).map_or(0, |n| n.1)
    }
}
