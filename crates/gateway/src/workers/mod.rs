//! The client of workers that speak KServe v2 (Open Inference Protocol) over HTTP/1.1: `infer` for calls, the model
//! repository extension's `load` and `unload` for load orders, `health/ready` for health checks, and ORCA load reports in
//! `endpoint-load-metrics`.
//!
//! A worker may add these response headers to the protocol:
//! - `stagehoist-not-run: queue-full | no-memory | draining | not-loaded`: the call has not started and will not start;
//! - `stagehoist-copy: warm | began | waited | load-failed`, `stagehoist-crowd: N`: the state and the load of the copy that
//!   the call found;
//! - `stagehoist-worker: draining | serving`: the worker announces its state.
//!
//! A later generation of a function is addressed as a model version of the protocol: `/v2/models/NAME/versions/2/infer`.
//!
//! An attempt counts as not run only if nothing was written to the worker, or if the worker sent `stagehoist-not-run`. No
//! request is resent without a decision of the decision module.

mod exchange;
pub mod http_response;
mod paths;
mod pool;
mod stream;

pub use pool::Workers;
