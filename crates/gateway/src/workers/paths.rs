//! Paths of functions at a worker: a later generation is a version of its model.

use crate::fleet::names::parse_internal_name;
use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};

#[cfg(test)]
mod tests;

/// What stays as it is in a path segment.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// A function's name and version, the latter for later generations; only in a fleet do names tell them.
fn named(function: &str, fleet: bool) -> (&str, Option<u32>) {
    match parse_internal_name(function) {
        (name, generation) if fleet && generation > 1 => (name, Some(generation)),
        _ => (function, None),
    }
}

/// Before `/infer` and `/ready`.
pub(super) fn model(function: &str, fleet: bool) -> String {
    let (name, version) = named(function, fleet);
    let version = version.map_or(String::new(), |n| format!("/versions/{n}"));
    format!("/v2/models/{}{version}", utf8_percent_encode(name, SEGMENT))
}

/// Before `/load` and `/unload`, and the version that their parameters name.
pub(super) fn repository(function: &str, fleet: bool) -> (String, Option<u32>) {
    let (name, version) = named(function, fleet);
    (format!("/v2/repository/models/{}", utf8_percent_encode(name, SEGMENT)), version)
}
