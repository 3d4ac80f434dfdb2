//! The list of front ends that a sharded fleet watches.

use crate::grammar::{optional_arg, required_arg, Directive, Occurrence, H, MS, S};
use crate::list_source::list_source;
use crate::model::ListSource;
use crate::source::Source;
use crate::value::{format_duration as d, Kind};
use crate::words::quoted;
use crate::Position;

/// Front-end list directives; used together with [`crate::sharding::SHARDING`].
pub const FRONT_ENDS_LIST: &[Directive] = &[Directive {
    name: "shard-front-ends-list",
    positional: &[required_arg("source", Kind::Word(&["consul", "file"])), required_arg("where", Kind::Text)],
    keys: &[
        optional_arg("service", Kind::Text),
        optional_arg("name", Kind::Text),
        optional_arg("wait", Kind::Duration(100 * MS, 10 * 60 * S)),
        optional_arg("pause", Kind::Duration(0, H)),
        optional_arg("poll", Kind::Duration(10 * MS, H)),
    ],
    occurrence: Occurrence::Once,
}];

/// The source of the list of front ends, and the names of this process's entries in it.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontEndsList {
    pub source: ListSource,
    /// Minimum time between an answer and the next query, in microseconds. It limits the traffic, as the list of a whole
    /// zone is long and each front end reads it. 0 with a file.
    pub pause: i64,
    /// The entry of the front end with number N in the fleet is NAME-N.
    pub name: String,
}

impl FrontEndsList {
    /// Returns how long a front end takes to notice a change of the list, in microseconds, while the source answers.
    pub fn interval(&self) -> i64 {
        match self.source {
            ListSource::Consul { .. } => self.pause,
            ListSource::File { poll, .. } => poll,
        }
    }

    pub(crate) fn line(&self) -> String {
        let name = quoted(&self.name);
        match &self.source {
            ListSource::Consul { address, service, wait } => format!(
                "shard-front-ends-list consul {} service {} name {name} wait {} pause {}",
                quoted(address),
                quoted(service),
                d(*wait),
                d(self.pause)
            ),
            ListSource::File { path, poll } => {
                format!("shard-front-ends-list file {} name {name} poll {}", quoted(path), d(*poll))
            }
        }
    }
}

/// Reads the `shard-front-ends-list` directive and adds faults to `problems`.
pub fn front_ends_list(
    s: &Source<'_>,
    workers: Option<&ListSource>,
    problems: &mut Vec<(Position, String, String)>,
) -> Option<FrontEndsList> {
    let line = s.one("shard-front-ends-list")?;
    let source = list_source(line, "front-ends", &["service", "wait", "pause"], problems)?;
    let mut report =
        |at: Position, what: &str, expected: &str| problems.push((at, what.into(), expected.into()));
    if s.one("shards").is_none() {
        report(line.at.clone(), "shard-front-ends-list without shards", "a shards line");
    }
    let name = line.text("name").unwrap_or_else(|| "front-end".into());
    if name.contains(|c: char| c.is_whitespace() || c == '#') {
        report(line.place("name"), "not a valid entry name", "a word; the entry of front end 7 is WORD-7");
    }
    let same = match (&source, workers) {
        (ListSource::File { path, .. }, Some(ListSource::File { path: workers, .. })) => path == workers,
        (
            ListSource::Consul { address, service, .. },
            Some(ListSource::Consul { address: at, service: workers, .. }),
        ) => (address, service) == (at, workers),
        _ => false,
    };
    if same {
        report(
            line.place("where"),
            "the list of front ends is the same as that of workers",
            "a separate list",
        );
    }
    let is_file = matches!(source, ListSource::File { .. });
    let pause = if is_file { 0 } else { line.duration("pause").unwrap_or(S) };
    Some(FrontEndsList { source, pause, name })
}
