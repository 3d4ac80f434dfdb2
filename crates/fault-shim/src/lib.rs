//! Injects transient system call failures and wall clock steps: a library for `LD_PRELOAD`, only for tests.
//!
//! The environment variable `FAULT_SHIM` configures the faults as comma-separated `name=value` pairs; without it every call
//! is passed on unchanged:
//!
//! | name | meaning |
//! | --- | --- |
//! | `seed` | seed of the random faults |
//! | `sockets` | socket calls per million that fail, are interrupted or are short |
//! | `breaks` | 1: some of these faults break connections that this process opened |
//! | `files` | file writes and syncs per million that fail with `EIO` or `ENOSPC` |
//! | `from`, `to` | interval of these faults, in milliseconds after the start |
//! | `steps` | steps of the wall clock, `AT:BY` in milliseconds, separated by semicolons; the monotonic clock does not step |
//! | `share` | the share of a core that each thread gets, greater than 0 and at most 1 |
//!
//! With a share of a core, a thread sleeps before it waits or uses a socket, in proportion to the processor time that it
//! has used since the last sleep, so that the effects of its computation become visible as late as on a slower core. When a
//! connection opened by this process breaks, the call fails with `ETIMEDOUT` or `EHOSTUNREACH` and the connection is shut
//! down. Accepted connections never break, because their requests would be lost with them.
#![warn(missing_docs)]

mod calls;
mod plan;
mod real;

pub use plan::{Plan, PlanError, Step};
