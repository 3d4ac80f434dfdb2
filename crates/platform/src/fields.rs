//! Parses lists `name=value,name=value`, as clients and executors send them.

#[cfg(test)]
mod tests;

/// Maximum number of fields in one list.
const MAX_FIELDS: usize = 32;

/// A field list is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the field list is malformed")]
pub struct FieldsError;

/// Returns the fields of a list in order; none for an empty one or for `-`.
pub fn parse(text: &[u8]) -> Result<Vec<(&str, &str)>, FieldsError> {
    if text.is_empty() || text == b"-" {
        return Ok(Vec::new());
    }
    if !text.iter().all(|b| (0x21..0x7f).contains(b)) {
        return Err(FieldsError);
    }
    let text = std::str::from_utf8(text).map_err(|_| FieldsError)?;
    let mut fields: Vec<(&str, &str)> = Vec::new();
    for part in text.split(',') {
        let (name, value) = part.split_once('=').ok_or(FieldsError)?;
        if name.is_empty() || fields.len() >= MAX_FIELDS || fields.iter().any(|f| f.0 == name) {
            return Err(FieldsError);
        }
        fields.push((name, value));
    }
    Ok(fields)
}

/// Returns the value of a field.
pub fn get<'a>(fields: &[(&str, &'a str)], name: &str) -> Option<&'a str> {
    fields.iter().find(|f| f.0 == name).map(|f| f.1)
}

/// Iterates over the pairs `name:value;name:value` within a field; a malformed pair is None.
pub fn pairs(text: &str) -> impl Iterator<Item = Option<(&str, f64)>> {
    text.split(';').filter(|p| !p.is_empty()).map(|pair| {
        let (name, value) = pair.split_once(':')?;
        Some((name, number(value)?))
    })
}

/// Parses a finite decimal number.
pub fn number(text: &str) -> Option<f64> {
    let is_number_byte = |b: &u8| b.is_ascii_digit() || matches!(b, b'.' | b'-' | b'+' | b'e' | b'E');
    if text.is_empty() || text.len() > 32 || !text.as_bytes().iter().all(is_number_byte) {
        return None;
    }
    text.parse().ok().filter(|v: &f64| v.is_finite())
}

/// Parses an id of 16 lower-case hex digits.
pub fn hex16(text: &[u8]) -> Option<u64> {
    let is_lower_hex = |b: &u8| b.is_ascii_digit() || (b'a'..=b'f').contains(b);
    if text.len() != 16 || !text.iter().all(is_lower_hex) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(text).ok()?, 16).ok()
}
