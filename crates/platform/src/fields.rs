//! Lists `name=value,name=value`, as clients and executors send them.

#[cfg(test)]
mod tests;

/// Most fields in one list.
const MOST: usize = 32;

/// A list that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fields can't be read")]
pub struct BadFields;

/// The fields of a list in their order; none in an empty one or in `-`.
pub fn parse(text: &[u8]) -> Result<Vec<(&str, &str)>, BadFields> {
    if text.is_empty() || text == b"-" {
        return Ok(Vec::new());
    }
    if !text.iter().all(|b| (0x21..0x7f).contains(b)) {
        return Err(BadFields);
    }
    let text = std::str::from_utf8(text).map_err(|_| BadFields)?;
    let mut fields: Vec<(&str, &str)> = Vec::new();
    for part in text.split(',') {
        let (name, value) = part.split_once('=').ok_or(BadFields)?;
        if name.is_empty() || fields.len() >= MOST || fields.iter().any(|f| f.0 == name) {
            return Err(BadFields);
        }
        fields.push((name, value));
    }
    Ok(fields)
}

/// The value of a field.
pub fn get<'a>(fields: &[(&str, &'a str)], name: &str) -> Option<&'a str> {
    fields.iter().find(|f| f.0 == name).map(|f| f.1)
}

/// Pairs `name:value;name:value` within a field.
pub fn pairs(text: &str) -> impl Iterator<Item = Option<(&str, f64)>> {
    text.split(';').filter(|p| !p.is_empty()).map(|pair| {
        let (name, value) = pair.split_once(':')?;
        Some((name, number(value)?))
    })
}

/// A finite number in plain digits.
pub fn number(text: &str) -> Option<f64> {
    let plain = |b: &u8| b.is_ascii_digit() || matches!(b, b'.' | b'-' | b'+' | b'e' | b'E');
    if text.is_empty() || text.len() > 32 || !text.as_bytes().iter().all(plain) {
        return None;
    }
    text.parse().ok().filter(|v: &f64| v.is_finite())
}

/// An id of 16 hex digits, in lower case.
pub fn hex16(text: &[u8]) -> Option<u64> {
    let lower = |b: &u8| b.is_ascii_digit() || (b'a'..=b'f').contains(b);
    if text.len() != 16 || !text.iter().all(lower) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(text).ok()?, 16).ok()
}
