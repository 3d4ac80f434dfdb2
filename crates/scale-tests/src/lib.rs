//! Scale tests: what each role of the fleet costs, measured over sizes with the product's own code, beside the limits of the
//! users' letter. The product does not need this package.
//!
//! - [`letter`]: the fleet to come and what control may cost.
//! - [`row`], [`fit`]: a row with its points, the curve through them, the figure at full size.
//! - [`plan`]: which sizes, which seed, the negative control; all rows.
//! - [`lanes`]: rows side by side.
//! - [`report`]: the table, the ranking, the verdict.
//! - [`front_end`]: one real front end over workers and functions, whole or divided.
//! - [`proof`]: the same divided, beside the whole list; [`fleet`]: the divided fleet.
//! - [`list`]: the endpoint list as real bytes.
//! - [`events`]: what an event of the whole fleet does to a front end.
//! - [`traces`]: intents on disk, metrics, logs.
//! - [`record`]: sessions with the cluster state and changes to force.
#![forbid(unsafe_code)]

pub mod error;
pub mod events;
pub mod fit;
pub mod fleet;
pub mod front_end;
pub mod lanes;
pub mod letter;
pub mod list;
pub mod meter;
pub mod plan;
pub mod proof;
pub mod record;
pub mod report;
pub mod row;
pub mod sockets;
pub mod traces;

pub use error::ScaleError;
pub use fit::{Curve, Fit, Point};
pub use plan::{measures, Measure, Plan, Size};
pub use row::{Mark, Resource, Role, Row, Subject};
