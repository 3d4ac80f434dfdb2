//! Functions in shards. One of which nothing is configured has one home, by its name alone. Those that are told to
//! have much traffic are allocated out so that no shard has much more than its part, in several shards where they
//! are too much for one.

use crate::division::{Division, DivisionError, Table};
use crate::key::mix;
use crate::{Key, Shard};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Most functions with told traffic.
pub const MAX_HOT_FUNCTIONS: usize = 8_192;
/// A function is spread over so many shards that each part is at most one in so many of a shard's mean
/// traffic.
const PARTS: u64 = 4;
/// A shard gets at most this part of the told traffic, its own share being 1, where the order of sizes allows
/// it. What isn't told comes by chance beside it: with 9/8 the busiest of 300 shards had up to 1.26 of the mean.
const LIMIT: (u64, u64) = (17, 16);
/// The told part of all traffic is rounded up to one of so many steps.
const STEPS: u64 = 16;

/// The middle of its half octave. `most` is one, as the parts of functions that are spread lie just below it: in classes that begin
/// anywhere they would all be off in the same direction, and with them the sums of all shards.
fn rounded(x: u64, most: u64) -> u64 {
    let (x, mut octave, mut half) = (u128::from(x), u128::from(most.max(1)), false);
    while octave < x {
        octave *= 2;
    }
    loop {
        // Down by the square root of two, and the bound by the fourth, in whole numbers.
        let middle = if half { octave * 181 / 256 } else { octave };
        if x * 256 >= middle * 215 {
            return middle as u64;
        }
        (octave, half) = (if half { octave / 2 } else { octave }, !half);
    }
}

/// A function with told traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct HotFunction {
    pub name: String,
    /// Usual calls a second over the whole fleet; nothing but the division looks at it.
    pub calls: f64,
    /// Over how many shards; None: as its calls ask for.
    pub spread: Option<u32>,
}

/// Where functions are at home.
#[derive(Clone, Debug)]
pub struct HomeShards {
    table: Arc<Table>,
    hot: BTreeMap<Key, Vec<Shard>>,
}

impl HomeShards {
    /// `calls` a second are expected in all; at least as many as are notified of functions.
    pub fn new(division: &Division, calls: f64, hot: &[HotFunction]) -> Result<HomeShards, DivisionError> {
        if hot.len() > MAX_HOT_FUNCTIONS {
            return Err(DivisionError::TooManyHot { told: hot.len(), most: MAX_HOT_FUNCTIONS });
        }
        let table = division.table.clone();
        let shards = division.shards();
        // Thousandths of a call a second: whole numbers, so that sums are the same everywhere.
        let milli = |calls: f64| if calls.is_finite() { (calls * 1e3).clamp(0.0, 1e15) as u64 } else { 0 };
        let told: u64 = hot.iter().map(|f| milli(f.calls)).sum();
        let all = milli(calls).max(told).max(1);
        let most = all / (u64::from(shards) * PARTS);
        let mut parts = Vec::with_capacity(hot.len());
        let mut names = BTreeSet::new();
        for f in hot {
            let wanted = milli(f.calls).saturating_mul(u64::from(shards) * PARTS).div_ceil(all);
            let spread = f.spread.unwrap_or(wanted.clamp(1, u64::from(shards)) as u32);
            if spread == 0 || spread > shards {
                return Err(DivisionError::BadSpread { name: f.name.clone(), spread, shards });
            }
            let key = Key::of(&f.name);
            if !names.insert(key) {
                return Err(DivisionError::ToldTwice { name: f.name.clone() });
            }
            parts.push((rounded(milli(f.calls) / u64::from(spread), most), key, spread));
        }
        // Large parts first, by their rounded sizes, so that a small change of one mostly changes nothing.
        parts.sort_by_key(|p| (std::cmp::Reverse(p.0), p.1.rank()));
        let told: u64 = parts.iter().map(|p| p.0.saturating_mul(u64::from(p.2))).fold(0, u64::saturating_add);
        // In sixteenths of all, for the same reason.
        let told = told.min(all).saturating_mul(STEPS).div_ceil(all);
        let mean =
            |s: Shard| u128::from(all) * u128::from(table.weights[s as usize]) / u128::from(table.weight);
        let limit = |s: Shard| (mean(s) * u128::from(told * LIMIT.0) / u128::from(LIMIT.1 * STEPS)) as u64;
        let mut load = vec![0u64; shards as usize];
        let mut homes = BTreeMap::new();
        for (part, key, spread) in parts {
            let fits = |s: &Shard| load[*s as usize].saturating_add(part) <= limit(*s);
            let mut taken: BTreeSet<Shard> =
                table.order(key).into_iter().filter(fits).take(spread as usize).collect();
            let mut rest: Vec<Shard> = (0..shards).filter(|s| !taken.contains(s)).collect();
            rest.sort_by_key(|s| (load[*s as usize] / u64::from(table.weights[*s as usize]), *s));
            let missing = spread as usize - taken.len();
            taken.extend(rest.into_iter().take(missing));
            taken.iter().for_each(|s| load[*s as usize] = load[*s as usize].saturating_add(part));
            homes.insert(key, taken.into_iter().collect());
        }
        Ok(HomeShards { table, hot: homes })
    }

    /// The shards of a function: one, or several where its told traffic asks for it; in ascending order.
    pub fn of(&self, function: Key) -> Vec<Shard> {
        match self.hot.get(&function) {
            Some(shards) => shards.clone(),
            None => vec![self.home(function)],
        }
    }

    /// The shard to which a call goes; `call` is any number of the call, drawn evenly by the caller or hashed
    /// from its id.
    pub fn for_call(&self, function: Key, call: u64) -> Shard {
        match self.hot.get(&function) {
            Some(shards) => shards[(mix(call) % shards.len() as u64) as usize],
            None => self.home(function),
        }
    }

    /// Whether a function has a home in one of these shards, which are in ascending order.
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
