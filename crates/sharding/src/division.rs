//! The number of shards, their weights, and the scores by which keys prefer shards.

use crate::key::{mix, seed, Key};
use crate::Shard;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of shards of a division. A front end alone in its zone serves them all.
pub const MAX_SHARDS: u32 = 4_096;
/// Maximum weight of a shard.
pub const MAX_SHARD_WEIGHT: u32 = 16;

/// An invalid setting. The caller that read the setting adds its location.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DivisionError {
    #[error("the number of shards is 0")]
    NoShards,
    #[error("{shards} shards are more than the maximum {MAX_SHARDS}")]
    TooManyShards { shards: u32 },
    #[error("{shards} shards for {workers} workers: some shards would have no worker")]
    MoreShardsThanWorkers { shards: u32, workers: u32 },
    #[error("{shards} shards for {front_ends} front ends of a zone: each front end would serve more than {max} shards")]
    TooFewFrontEnds { shards: u32, front_ends: u32, max: u32 },
    #[error("shard {shard} does not exist: the number of shards is {shards}")]
    UnknownShard { shard: Shard, shards: u32 },
    #[error("weight {weight} of shard {shard} is not between 1 and {MAX_SHARD_WEIGHT}")]
    BadWeight { shard: Shard, weight: u32 },
    #[error("front end {rank} of {of} owns no shard")]
    NoOwnedShards { rank: u32, of: u32 },
    #[error("function {name} cannot be spread over {spread} of {shards} shards")]
    BadSpread { name: String, spread: u32, shards: u32 },
    #[error("function {name} is declared twice")]
    DuplicateFunction { name: String },
    #[error("traffic is configured for {configured} functions, more than the maximum {max}")]
    TooManyHotFunctions { configured: usize, max: usize },
    #[error("generation {new} of the new division into shards is not greater than generation {old} of the current one")]
    GenerationNotIncreasing { new: u32, old: u32 },
}

/// The number of shards and their weights, configured alike in every process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Division {
    shards: u32,
    generation: u32,
    /// Weights other than 1.
    weights: BTreeMap<Shard, u32>,
    pub(crate) table: Arc<Table>,
}

/// Seeds of the shards' tickets. A shard of weight `k` has `k` tickets, and its score is that of its best
/// ticket. This is highest-random-weight hashing with integer weights; it needs no logarithm, the last bit of
/// which differs between machines.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Table {
    first_tickets: Vec<u64>,
    further_tickets: Vec<(Shard, u64)>,
    pub weights: Vec<u32>,
    pub weight: u64,
}

impl Division {
    /// Creates a division into shards of equal weight.
    pub fn new(shards: u32, generation: u32) -> Result<Division, DivisionError> {
        Division::weighted(shards, generation, BTreeMap::new())
    }

    /// Creates a division with weighted shards. A shard with more expected traffic gets more tickets, and so a
    /// share of functions, workers and front ends in proportion to its weight.
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
        let further_tickets = |shard| (1..of(shard)).map(move |ticket| (shard, seed(shard, ticket)));
        let table = Table {
            first_tickets: (0..shards).map(|shard| seed(shard, 0)).collect(),
            further_tickets: (0..shards).flat_map(further_tickets).collect(),
            weights: (0..shards).map(of).collect(),
            weight: (0..shards).map(|shard| u64::from(of(shard))).sum(),
        };
        Ok(Division { shards, generation, weights, table: Arc::new(table) })
    }

    /// Number of shards.
    pub fn shards(&self) -> u32 {
        self.shards
    }

    /// Returns the configured generation, which increases with each change of the division; it is never derived.
    pub fn generation(&self) -> u32 {
        self.generation
    }

    /// Weight of a shard.
    pub fn weight(&self, shard: Shard) -> u32 {
        self.weights.get(&shard).copied().unwrap_or(1)
    }

    /// Checks that the configured fleet is large enough for this division: at least one worker per shard, and
    /// at most `shards_each` shards per front end, with the front ends spread evenly over `zones` zones.
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
            return Err(DivisionError::TooFewFrontEnds { shards, front_ends, max: shards_each });
        }
        Ok(())
    }
}

impl Table {
    /// Number of shards.
    pub fn shards(&self) -> u32 {
        self.first_tickets.len() as u32
    }

    /// Returns the score of a shard for a key; a key prefers shards with higher scores.
    pub fn score(&self, key: Key, shard: Shard) -> u64 {
        if self.further_tickets.is_empty() {
            return mix(key.0 ^ self.first_tickets[shard as usize]);
        }
        let from = self.further_tickets.partition_point(|f| f.0 < shard);
        let further_tickets =
            self.further_tickets[from..].iter().take_while(|f| f.0 == shard).map(|f| mix(key.0 ^ f.1));
        further_tickets.fold(mix(key.0 ^ self.first_tickets[shard as usize]), u64::max)
    }

    /// Returns the highest-scoring shard for a key among those with a score less than `below`, or among all if
    /// `below` is `None`.
    pub fn next(&self, key: Key, below: Option<u64>) -> Option<(u64, Shard)> {
        let below = below.map_or(u128::from(u64::MAX) + 1, u128::from);
        if below == 0 {
            return None;
        }
        // The greatest score that qualifies. The bound is inclusive so that the loop compares machine words.
        let max_score = (below - 1) as u64;
        let mut best: Option<(u64, Shard)> = None;
        if self.further_tickets.is_empty() {
            let (mut high, mut at, mut any) = (0, 0, false);
            for (shard, seed) in self.first_tickets.iter().enumerate() {
                let score = mix(key.0 ^ seed);
                if score <= max_score && score >= high {
                    (high, at, any) = (score, shard, true);
                }
            }
            return any.then_some((high, at as Shard));
        }
        for shard in 0..self.shards() {
            let score = self.score(key, shard);
            if score <= max_score && best.is_none_or(|(b, _)| score > b) {
                best = Some((score, shard));
            }
        }
        best
    }

    /// Returns all shards in descending order of their scores for a key.
    pub fn order(&self, key: Key) -> Vec<Shard> {
        let mut order: Vec<(u64, Shard)> = (0..self.shards()).map(|s| (self.score(key, s), s)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.into_iter().map(|o| o.1).collect()
    }
}
