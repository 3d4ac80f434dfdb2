//! The list of front ends that a divided fleet follows.

use crate::grammar::{may, must, Directive, Occurrence, H, MS, S};
use crate::list_source::list_source;
use crate::model::ListSource;
use crate::source::Source;
use crate::value::{show_duration as d, Kind};
use crate::words::word;
use crate::Position;

/// Taken together with those of [`crate::sharding::SHARDING`].
pub const FRONT_ENDS_LIST: &[Directive] = &[Directive {
    name: "shard-front-ends-list",
    places: &[must("source", Kind::Word(&["consul", "file"])), must("where", Kind::Text)],
    keys: &[
        may("service", Kind::Text),
        may("name", Kind::Text),
        may("wait", Kind::Duration(100 * MS, 10 * 60 * S)),
        may("pause", Kind::Duration(0, H)),
        may("poll", Kind::Duration(10 * MS, H)),
    ],
    often: Occurrence::Once,
}];

/// Where the list of front ends is, and which of its entries are this process's own.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontEndsList {
    pub source: ListSource,
    /// Least time between an answer and the next query, in microseconds: a list over a whole zone is long, and each front
    /// end reads it. 0 with a file.
    pub pause: i64,
    /// The entry of the front end with number N in the fleet is NAME-N.
    pub name: String,
}

impl FrontEndsList {
    /// How long after a change of the list a front end knows it, while the list answers, in microseconds.
    pub fn interval(&self) -> i64 {
        match self.source {
            ListSource::Consul { .. } => self.pause,
            ListSource::File { poll, .. } => poll,
        }
    }

    pub(crate) fn line(&self) -> String {
        let name = word(&self.name);
        match &self.source {
            ListSource::Consul { address, service, wait } => format!(
                "shard-front-ends-list consul {} service {} name {name} wait {} pause {}",
                word(address),
                word(service),
                d(*wait),
                d(self.pause)
            ),
            ListSource::File { path, poll } => {
                format!("shard-front-ends-list file {} name {name} poll {}", word(path), d(*poll))
            }
        }
    }
}

/// What is wrong goes to `stray`.
pub fn front_ends_list(
    s: &Source<'_>,
    workers: Option<&ListSource>,
    stray: &mut Vec<(Position, String, String)>,
) -> Option<FrontEndsList> {
    let line = s.one("shard-front-ends-list")?;
    let source = list_source(line, "front-ends", &["service", "wait", "pause"], stray)?;
    let mut told = |at: Position, what: &str, expected: &str| stray.push((at, what.into(), expected.into()));
    if s.one("shards").is_none() {
        told(line.at.clone(), "shard-front-ends-list without shards", "a shards line");
    }
    let name = line.text("name").unwrap_or_else(|| "front-end".into());
    if name.contains(|c: char| c.is_whitespace() || c == '#') {
        told(line.place("name"), "no name of an entry", "a word; the entry of front end 7 is WORD-7");
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
        told(line.place("where"), "the list of workers as that of front ends", "a list of its own");
    }
    let is_file = matches!(source, ListSource::File { .. });
    let pause = if is_file { 0 } else { line.duration("pause").unwrap_or(S) };
    Some(FrontEndsList { source, pause, name })
}
