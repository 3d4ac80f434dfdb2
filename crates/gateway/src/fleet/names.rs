//! Generations of a function by inner names: the first is `NAME`, the second `NAME@2`. Callers can't name one so, as their
//! names may not end like that where there is a fleet.

use std::rc::Rc;

/// The inner name of a generation.
pub fn inner_name(name: &Rc<str>, generation: u32) -> Rc<str> {
    match generation {
        0 | 1 => name.clone(),
        n => format!("{name}@{n}").into(),
    }
}

/// The name and generation behind an inner name.
pub fn outer_name(inner: &str) -> (&str, u32) {
    let numbered = inner.rsplit_once('@').and_then(|(name, n)| Some((name, n.parse::<u32>().ok()?)));
    numbered.filter(|(_, n)| *n > 1).unwrap_or((inner, 1))
}
