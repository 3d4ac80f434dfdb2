//! Divides the fleet into shards without coordination: each process computes which shards a function, a
//! worker and a front end belong to from the member lists and the settings alone. The package does no I/O and
//! uses no clock and no randomness, so the same lists give the same assignment in every process, in whatever
//! order the entries were received (`docs/design/sharding.md`).
//!
//! - [`Division`]: the number of shards and their weights. [`Divisions`]: the division in force and, during a
//!   change, the division that replaces it and the phase of the change.
//! - [`HomeShards`]: maps functions to shards. [`Assignment`]: maps workers or front ends to shards, separately
//!   for each zone.
//! - [`FrontEnds`]: the shards that one front end serves. [`Serving`]: the number of front ends by which limits
//!   and quotas of a shard are divided.
//! - [`Transition`]: the endpoint updates for the decision module when a front end's subset of the workers
//!   changes.
//!
//! ```
//! use stagehoist_sharding::{Assignment, Division, Key, Member};
//! let division = Division::new(2, 1).unwrap();
//! let list = ["a", "b", "c", "d"].map(|name| Member::new(name, 0, 1.0));
//! let (workers, left_out) = Assignment::of(&division, list);
//! assert_eq!((workers.of_shard(0).len() + workers.of_shard(1).len(), left_out), (4, 0));
//! assert!(workers.home(Key::of("a")).is_some());
//! ```
#![forbid(unsafe_code)]

mod assignment;
mod change;
mod division;
mod homes;
mod key;
mod limits;
mod ownership;
mod pool;
mod serving;
mod transition;
mod zone;

pub use assignment::{Assignment, CapacityExceeded, Member, Move, MAX_MEMBERS, MAX_ZONES};
pub use change::{Divisions, TransitionPhase};
pub use division::{Division, DivisionError, MAX_SHARDS, MAX_SHARD_WEIGHT};
pub use homes::{HomeShards, HotFunction, MAX_HOT_FUNCTIONS};
pub use key::Key;
pub use ownership::{max_ranked, place, ranked, FrontEnd, FrontEnds, FunctionPlacement};
pub use serving::{max_serving, Serving, TenantParts};
pub use transition::{ShardUpdate, Transition};

/// Index of a shard, from 0.
pub type Shard = u32;
