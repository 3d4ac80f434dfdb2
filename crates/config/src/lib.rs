//! The configuration of stagehoist, in the style of classic daemons: one directive per line, `#` starts a comment,
//! quotes enclose spaces, every quantity has a unit, `include FILE` inserts another file in place.
//!
//! [`load`] reads a file and its included files and reports all faults at once, each with file, line, column and the
//! expected value. [`Config::render`] renders a configuration as text; parsing that text gives the same configuration.
//!
//! ```
//! let text = "class lookup aim 800ms give-up 2.5s\nfunction free-times class lookup memory 64MB lanes 2\n\
//!     broker amqp://127.0.0.1:5672/\nconsume calls prefetch 100\nworker-list file workers.list\n";
//! let config = stagehoist_config::parse("example.conf", text).unwrap();
//! assert_eq!(config.classes[0].give_up, 2_500_000);
//! ```
#![forbid(unsafe_code)]

mod build;
mod fleet;
mod fleet_grammar;
mod front_ends_list;
mod grammar;
mod lexer;
mod list_source;
mod marks;
mod model;
mod nearest;
mod parts;
mod render;
mod settings;
mod sharding;
mod source;
mod value;
mod words;

pub use fleet::{has_generation_suffix, Fleet, Pool, RecoverySettings, ReplicaSettings};
pub use front_ends_list::FrontEndsList;
pub use lexer::{load, parse};
pub use marks::IntentLogSettings;
pub use model::{
    matches_pattern, Broker, Class, Config, Consume, Function, Kind, ListSource, Listen, ListenPurpose,
    Tenant,
};
pub use parts::parse_broker_url;
pub use sharding::Sharding;
pub use value::{parse_duration, parse_size, Value};

use std::fmt;

/// A position in a file. Lines and columns are counted from 1, columns in characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub file: String,
    pub line: usize,
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// An error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{at}: {what}; expected {expected}")]
pub struct Fault {
    pub at: Position,
    pub what: String,
    pub expected: String,
}

/// All errors in a configuration, ordered by file, line and column.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
