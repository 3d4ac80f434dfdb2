//! System calls that fail for a moment, and a wall clock that steps: a library for `LD_PRELOAD`, for tests alone.
//!
//! The environment variable `FAULT_SHIM` tells what happens, as `name=value` pairs between commas; without it every call goes
//! through unchanged:
//!
//! | name | meaning |
//! | --- | --- |
//! | `seed` | for what is drawn |
//! | `sockets` | calls on sockets, of a million, that fail, are interrupted or are short |
//! | `breaks` | 1: some of those on connections that this process made find them broken |
//! | `files` | writes and syncs of files, of a million, that fail with `EIO` or `ENOSPC` |
//! | `from`, `to` | milliseconds after the start between which they do |
//! | `steps` | steps of the wall clock, `AT:BY` in milliseconds, between semicolons; the monotonic clock runs on |
//! | `share` | the share of a core that each thread gets, over 0 and up to 1 |
//!
//! With a share of a core a thread sleeps before it waits or touches a socket, for the processor time that it used since:
//! what is computed late is seen late. A connection that this process made breaks so: the call fails with `ETIMEDOUT` or `EHOSTUNREACH` and the connection is
//! shut down. Accepted connections never break, as their requests would be lost with them.
#![warn(missing_docs)]

mod calls;
mod plan;
mod real;

pub use plan::{Plan, PlanError, Step};
