//! Stand-in workers: KServe v2 with the model repository extension over HTTP/1.1, loading functions on demand from the
//! program store. `model` holds what a worker is and does, without I/O; `server` puts it on a socket.

pub mod model;
mod server;
mod versions;

pub use model::{Program, Spec};
pub use server::{run, Catalogue, Controls, WorkerOptions};
