//! The whole fleet divided into shards: what the busiest has, cold starts of rare functions, who moves at an
//! event.

mod balance;
mod cold;
mod moves;

use crate::plan::Measure;

pub const MEASURES: &[Measure] = &[
    Measure { name: "fleet-busiest", run: |p| Ok(balance::zipf(p, "fleet-busiest", 1.0)) },
    Measure { name: "fleet-busiest-steep", run: |p| Ok(balance::zipf(p, "fleet-busiest-steep", 1.48)) },
    Measure { name: "fleet-hot-function", run: |p| Ok(balance::hot_function(p)) },
    Measure { name: "fleet-empty-shard", run: |p| Ok(balance::empty_shard(p)) },
    Measure { name: "fleet-hot-shard", run: |p| Ok(balance::hot_shard(p)) },
    Measure { name: "fleet-cold-p99", run: |p| Ok(cold::p99(p)) },
    Measure { name: "fleet-cold-p99-rare", run: |p| Ok(cold::p99_rare(p)) },
    Measure { name: "fleet-cold-share", run: |p| Ok(cold::share(p)) },
    Measure { name: "move-worker", run: |p| Ok(moves::one(p, "move-worker", false)) },
    Measure { name: "move-worker-most", run: |p| Ok(moves::one(p, "move-worker-most", true)) },
    Measure { name: "move-front-end", run: |p| Ok(moves::one(p, "move-front-end", false)) },
    Measure { name: "move-front-end-most", run: |p| Ok(moves::one(p, "move-front-end-most", true)) },
    Measure { name: "move-zone", run: |p| Ok(moves::zone(p)) },
    Measure { name: "move-rack", run: |p| Ok(moves::rack(p)) },
    Measure { name: "move-shard", run: |p| Ok(moves::shard(p)) },
];
