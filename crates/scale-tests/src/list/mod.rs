//! The endpoint list: its bytes with their real codecs, what a front end does with it, what its source sends.

pub mod bytes;
mod follower;
mod rows;
mod source;
mod timed;

pub use follower::{Follower, Read};
pub use rows::{CHANGES_A_DAY, MEASURES};
