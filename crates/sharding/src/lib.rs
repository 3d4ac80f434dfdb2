//! The fleet divided into shards that all agree on without asking each other: which shards a function, a
//! worker and a front end belong to, computed from told lists and settings alone. Pure: no I/O, no clock, no
//! randomness; the same lists give the same answer in every process, whatever the order in which they came
//! (`docs/design/sharding.md`).
//!
//! - [`Division`]: how many shards there are; [`Divisions`]: one in force, and the stages in which another
//!   replaces it.
//! - [`Homes`]: functions to shards. [`Assignment`]: workers, or front ends, to shards, zone by zone.
//! - [`FrontEnds`]: the shards that one front end serves. [`Serving`]: what is divided by the front ends of a
//!   shard.
//! - [`Transition`]: what the decision module is told when a front end's subset of the workers changes.
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

pub use assignment::{Assignment, Member, Move, Over, MEMBERS_MOST, ZONES_MOST};
pub use change::{Divisions, Stage};
pub use division::{Division, DivisionError, SHARDS_MOST, SHARD_WEIGHT_MOST};
pub use homes::{Homes, HotFunction, HOT_FUNCTIONS_MOST};
pub use key::Key;
pub use ownership::{place, ranked, ranked_most, FrontEnd, FrontEnds, Place};
pub use serving::{serving_most, Serving, TenantParts};
pub use transition::{Told, Transition};

/// Number of a shard, from 0.
pub type Shard = u32;
