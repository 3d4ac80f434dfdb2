//! How many shards there are, and what each weighs.

use crate::key::{mix, seed, Key};
use crate::Shard;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Most shards of a division. A front end alone in its zone serves them all.
pub const MAX_SHARDS: u32 = 4_096;
/// Most that one shard weighs.
pub const MAX_SHARD_WEIGHT: u32 = 16;

/// What is wrong with told settings; whoever read them knows the place.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DivisionError {
    #[error("no shards")]
    NoShards,
    #[error("{shards} shards, more than {MAX_SHARDS}")]
    TooManyShards { shards: u32 },
    #[error("{shards} shards for {workers} workers: some would have none")]
    MoreShardsThanWorkers { shards: u32, workers: u32 },
    #[error("{shards} shards for {front_ends} front ends of a zone: each would serve more than {most}")]
    TooFewFrontEnds { shards: u32, front_ends: u32, most: u32 },
    #[error("shard {shard} of {shards}")]
    UnknownShard { shard: Shard, shards: u32 },
    #[error("weight {weight} of shard {shard}, not 1 to {MAX_SHARD_WEIGHT}")]
    BadWeight { shard: Shard, weight: u32 },
    #[error("front end {rank} of {of} owns no shard")]
    NoneOwned { rank: u32, of: u32 },
    #[error("function {name} spread over {spread} of {shards} shards")]
    BadSpread { name: String, spread: u32, shards: u32 },
    #[error("function {name} is declared twice")]
    ToldTwice { name: String },
    #[error("{told} functions with told traffic, more than {most}")]
    TooManyHot { told: usize, most: usize },
    #[error("generation {new} after {old}: must be greater")]
    GenerationBack { new: u32, old: u32 },
}

/// A number of shards, agreed by settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Division {
    shards: u32,
    generation: u32,
    /// Other than 1.
    weights: BTreeMap<Shard, u32>,
    pub(crate) table: Arc<Table>,
}

/// Seeds of the shards' tickets. A shard of weight `k` has `k` and takes part with the best: highest random
/// weight for whole weights without a logarithm, whose last bit differs between machines.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Table {
    first: Vec<u64>,
    further: Vec<(Shard, u64)>,
    pub weights: Vec<u32>,
    pub weight: u64,
}

impl Division {
    /// A division into shards of equal weight.
    pub fn new(shards: u32, generation: u32) -> Result<Division, DivisionError> {
        Division::weighted(shards, generation, BTreeMap::new())
    }

    /// A shard that more traffic is expected for gets more tickets: its weight's share of functions, workers
    /// and front ends.
    pub fn weighted(
        shards: u32,
        generation: u32,
        weights: BTreeMap<Shard, u32>,
    ) -> Result<Division, DivisionError> {
        if shards == 0 {
            return Err(DivisionError::NoShards);
        }
        if shards > MAX_SHARDS {
            return Err(DivisionError::TooManyShards { shards });
        }
        for (&shard, &weight) in &weights {
            if shard >= shards {
                return Err(DivisionError::UnknownShard { shard, shards });
            }
            if !(1..=MAX_SHARD_WEIGHT).contains(&weight) {
                return Err(DivisionError::BadWeight { shard, weight });
            }
        }
        let of = |shard: u32| weights.get(&shard).copied().unwrap_or(1);
        let further = |shard| (1..of(shard)).map(move |ticket| (shard, seed(shard, ticket)));
        let table = Table {
            first: (0..shards).map(|shard| seed(shard, 0)).collect(),
            further: (0..shards).flat_map(further).collect(),
            weights: (0..shards).map(of).collect(),
            weight: (0..shards).map(|shard| u64::from(of(shard))).sum(),
        };
        Ok(Division { shards, generation, weights, table: Arc::new(table) })
    }

    /// Number of shards.
    pub fn shards(&self) -> u32 {
        self.shards
    }

    /// Counts changes of the division; told, never guessed.
    pub fn generation(&self) -> u32 {
        self.generation
    }

    /// Weight of a shard.
    pub fn weight(&self, shard: Shard) -> u32 {
        self.weights.get(&shard).copied().unwrap_or(1)
    }

    /// Whether the told size of a fleet can be divided so: a worker for each shard, and no front end with
    /// more than `shards_each` shards while each of `zones` zones has its part of them.
    pub fn check(
        &self,
        workers: Option<u32>,
        front_ends: u32,
        zones: u32,
        shards_each: u32,
    ) -> Result<(), DivisionError> {
        let shards = self.shards;
        match workers {
            Some(workers) if workers < shards => {
                return Err(DivisionError::MoreShardsThanWorkers { shards, workers })
            }
            _ => {}
        }
        let front_ends = front_ends / zones.max(1);
        if u64::from(front_ends) * u64::from(shards_each) < u64::from(shards) {
            return Err(DivisionError::TooFewFrontEnds { shards, front_ends, most: shards_each });
        }
        Ok(())
    }
}

impl Table {
    /// Number of shards.
    pub fn shards(&self) -> u32 {
        self.first.len() as u32
    }

    /// How much a key wants a shard.
    pub fn score(&self, key: Key, shard: Shard) -> u64 {
        if self.further.is_empty() {
            return mix(key.0 ^ self.first[shard as usize]);
        }
        let from = self.further.partition_point(|f| f.0 < shard);
        let further = self.further[from..].iter().take_while(|f| f.0 == shard).map(|f| mix(key.0 ^ f.1));
        further.fold(mix(key.0 ^ self.first[shard as usize]), u64::max)
    }

    /// The shard that a key wants most of those with a score less than `below`; of all where that is None.
    pub fn next(&self, key: Key, below: Option<u64>) -> Option<(u64, Shard)> {
        let below = below.map_or(u128::from(u64::MAX) + 1, u128::from);
        if below == 0 {
            return None;
        }
        // Scores up to this one count; the bound is inclusive so that the loop compares plain words.
        let most = (below - 1) as u64;
        let mut best: Option<(u64, Shard)> = None;
        if self.further.is_empty() {
            let (mut high, mut at, mut any) = (0, 0, false);
            for (shard, seed) in self.first.iter().enumerate() {
                let score = mix(key.0 ^ seed);
                if score <= most && score >= high {
                    (high, at, any) = (score, shard, true);
                }
            }
            return any.then_some((high, at as Shard));
        }
        for shard in 0..self.shards() {
            let score = self.score(key, shard);
            if score <= most && best.is_none_or(|(b, _)| score > b) {
                best = Some((score, shard));
            }
        }
        best
    }

    /// All shards, the one that a key wants most first.
    pub fn order(&self, key: Key) -> Vec<Shard> {
        let mut order: Vec<(u64, Shard)> = (0..self.shards()).map(|s| (self.score(key, s), s)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.into_iter().map(|o| o.1).collect()
    }
}
