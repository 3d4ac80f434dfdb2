//! Workers over KServe v2 (Open Inference Protocol) on HTTP/1.1: `infer` for calls, the model repository extension's `load`
//! and `unload` for orders, `health/ready` for health checks, load reports as ORCA in `endpoint-load-metrics`.
//!
//! Beyond the protocol a worker may say, in headers of its answers:
//! - `stagehoist-not-run: queue-full | no-memory | draining | not-loaded`: this call was not begun and will not be;
//! - `stagehoist-copy: warm | began | waited | load-failed`, `stagehoist-crowd: N`: how the copy was found;
//! - `stagehoist-worker: draining | serving`: what it says of itself.
//!
//! A later generation of a function is asked for by the protocol's version: `/v2/models/NAME/versions/2/infer`.
//!
//! An ending counts as proof that a call did not run only where nothing was written to the worker, or where it says so with
//! `stagehoist-not-run`. No request is sent twice behind the module's back.

mod exchange;
pub mod meaning;
mod paths;
mod pool;

pub use pool::Workers;
