//! Where a list is read from: Consul's health API, or a file that is watched.

use crate::grammar::{MS, S};
use crate::lexer::Line;
use crate::model::ListSource;
use crate::Position;

/// Returns the list source that a directive names. `service` is the default Consul service, `consul_only` lists the keys
/// that are not valid with a file. Faults are added to `problems`.
pub fn list_source(
    line: &Line,
    service: &str,
    consul_only: &[&str],
    problems: &mut Vec<(Position, String, String)>,
) -> Option<ListSource> {
    let (place, file) = (line.text("where")?, line.text("source")? == "file");
    let (wrong, other) = if file { (consul_only, "consul") } else { (&["poll"][..], "file") };
    for key in wrong.iter().filter(|k| line.get(k).is_some()) {
        problems.push((
            line.place(key),
            format!("{key} is not valid with this source"),
            format!("source {other} for this key"),
        ));
    }
    Some(if file {
        ListSource::File { path: place, poll: line.duration("poll").unwrap_or(250 * MS) }
    } else {
        let address = place.strip_prefix("http://").unwrap_or(&place).trim_end_matches('/').to_string();
        let service = line.text("service").unwrap_or_else(|| service.into());
        ListSource::Consul { address, service, wait: line.duration("wait").unwrap_or(10 * S) }
    })
}
