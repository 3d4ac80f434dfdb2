//! HTTP paths of functions at a worker. A later generation of a function is a version of its model.

use crate::fleet::names::parse_internal_name;
use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};

#[cfg(test)]
mod tests;

/// The characters to percent-encode in a path segment: all but the unreserved ones.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Splits a function name into model name and version. Only later generations have a version, and only in a fleet do names
/// contain a generation.
fn split_version(function: &str, in_fleet: bool) -> (&str, Option<u32>) {
    match parse_internal_name(function) {
        (name, generation) if in_fleet && generation > 1 => (name, Some(generation)),
        _ => (function, None),
    }
}

/// Returns the path of a model, without `/infer` or `/ready`.
pub(super) fn model(function: &str, in_fleet: bool) -> String {
    let (name, version) = split_version(function, in_fleet);
    let version = version.map_or(String::new(), |n| format!("/versions/{n}"));
    format!("/v2/models/{}{version}", utf8_percent_encode(name, SEGMENT))
}

/// Returns the path of a model in the repository, without `/load` or `/unload`, and the version to pass as a parameter.
pub(super) fn repository(function: &str, in_fleet: bool) -> (String, Option<u32>) {
    let (name, version) = split_version(function, in_fleet);
    (format!("/v2/repository/models/{}", utf8_percent_encode(name, SEGMENT)), version)
}
