//! Internal names of a function's generations: the first is `NAME`, the second `NAME@2`. Callers can't use such
//! names, because function names must not end that way in a fleet.

use std::rc::Rc;

/// Returns the internal name of a generation.
pub fn internal_name(name: &Rc<str>, generation: u32) -> Rc<str> {
    match generation {
        0 | 1 => name.clone(),
        n => format!("{name}@{n}").into(),
    }
}

/// Returns the name and generation that an internal name stands for.
pub fn parse_internal_name(inner: &str) -> (&str, u32) {
    let numbered = inner.rsplit_once('@').and_then(|(name, n)| Some((name, n.parse::<u32>().ok()?)));
    numbered.filter(|(_, n)| *n > 1).unwrap_or((inner, 1))
}
