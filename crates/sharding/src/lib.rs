//! The fleet divided into shards that all agree on without asking each other: which shards a function, a
//! worker and a front end belong to, computed from told lists and settings alone. Pure: no I/O, no clock, no
//! randomness; the same lists give the same answer in every process, whatever the order in which they came
//! (`docs/design/sharding.md`).
//!
//! - [`Division`]: how many shards there are; [`Divisions`]: one in force, and the stages in which another
//!   replaces it.
//! - [`HomeShards`]: functions to shards. [`Assignment`]: workers, or front ends, to shards, zone by zone.
//! - [`FrontEnds`]: the shards that one front end serves. [`Serving`]: what is divided by the front ends of a
//!   shard.
//! - [`Transition`]: what the decision module is given when a front end's subset of the workers changes.
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

/// Number of a shard, from 0.
pub type Shard = u32;
