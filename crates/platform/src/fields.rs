//! Lists `name=value,name=value`, as clients and executors send them.

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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lists_are_read_and_broken_ones_are_not() {
        assert_eq!(parse(b"a=1,b=x=y,c=").unwrap(), [("a", "1"), ("b", "x=y"), ("c", "")]);
        assert!(parse(b"").unwrap().is_empty() && parse(b"-").unwrap().is_empty());
        for bad in [&b"a"[..], b"a=1,", b"=1", b"a=1,a=2", b"a=1 ,b=2", b"a=\xff", b"a=\n"] {
            assert_eq!(parse(bad), Err(BadFields), "{bad:?}");
        }
        let many: Vec<String> = (0..33).map(|i| format!("f{i}=0")).collect();
        assert!(parse(many.join(",").as_bytes()).is_err());
    }

    #[test]
    fn numbers_and_ids() {
        assert_eq!((number("8.2"), number("1e3"), number("-1")), (Some(8.2), Some(1000.0), Some(-1.0)));
        assert!(["", "nan", "inf", "1e999", "0x10", "1 "].iter().all(|t| number(t).is_none()));
        assert_eq!(hex16(b"9b1f03aa5c7e2d41"), Some(0x9b1f_03aa_5c7e_2d41));
        assert!([&b"9b1f"[..], b"9B1F03AA5C7E2D41", b"+b1f03aa5c7e2d41"].iter().all(|t| hex16(t).is_none()));
        let got: Vec<_> = pairs("memory_mb:512;lanes:2;x:y").collect();
        assert_eq!(got, [Some(("memory_mb", 512.0)), Some(("lanes", 2.0)), None]);
    }
}
