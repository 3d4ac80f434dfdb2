//! Where a list is read from: Consul's health API, or a file that is watched.

use crate::grammar::{MS, S};
use crate::lexer::Line;
use crate::model::ListSource;
use crate::Position;

/// The source that a directive names; `service` is Consul's where none is configured, `consul_only` the keys that mean nothing with
/// a file. What is wrong goes to `stray`.
pub fn list_source(
    line: &Line,
    service: &str,
    consul_only: &[&str],
    stray: &mut Vec<(Position, String, String)>,
) -> Option<ListSource> {
    let (place, file) = (line.text("where")?, line.text("source")? == "file");
    let (wrong, other) = if file { (consul_only, "consul") } else { (&["poll"][..], "file") };
    for key in wrong.iter().filter(|k| line.get(k).is_some()) {
        stray.push((line.place(key), format!("{key} with this source"), format!("it with {other} only")));
    }
    Some(if file {
        ListSource::File { path: place, poll: line.duration("poll").unwrap_or(250 * MS) }
    } else {
        let address = place.strip_prefix("http://").unwrap_or(&place).trim_end_matches('/').to_string();
        let service = line.text("service").unwrap_or_else(|| service.into());
        ListSource::Consul { address, service, wait: line.duration("wait").unwrap_or(10 * S) }
    })
}
