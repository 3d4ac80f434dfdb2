//! Values with units, and the kinds of value that a directive accepts.

use std::net::SocketAddr;

/// A parsed value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Microseconds.
    Duration(i64),
    /// Bytes.
    Size(u64),
    /// A plain number, a share or a rate per second.
    Number(f64),
    Count(u64),
    Flag(bool),
    Text(String),
}

/// The type and range that a value must have.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Minimum and maximum, in microseconds.
    Duration(i64, i64),
    Size(u64, u64),
    /// Written with the suffix `/s`.
    Rate(f64, f64),
    Number(f64, f64),
    Count(u64, u64),
    YesNo,
    Word(&'static [&'static str]),
    Text,
    Address,
    Url(&'static str),
}

const SECOND: i64 = 1_000_000;

fn split_unit(text: &str) -> Option<(f64, &str)> {
    let at = text.find(|c: char| !(c.is_ascii_digit() || c == '.')).unwrap_or(text.len());
    Some((text[..at].parse().ok()?, &text[at..]))
}

/// Parses a duration such as `250us`, `800ms`, `2.5s`, `10m` or `1h`, in microseconds. `0` needs no unit.
pub fn parse_duration(text: &str) -> Option<i64> {
    let (number, unit) = split_unit(text)?;
    let scale = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "m" => 60e6,
        "h" => 3600e6,
        "" if number == 0.0 => 0.0,
        _ => return None,
    };
    let micros = number * scale;
    (micros <= 1e15).then_some(micros.round() as i64)
}

/// Parses a size such as `512B`, `64KB`, `12MB` or `4GB` (powers of 1,000) or `KiB`, `MiB`, `GiB` (of 1,024), in bytes.
pub fn parse_size(text: &str) -> Option<u64> {
    let (number, unit) = split_unit(text)?;
    let scale = match unit {
        "B" => 1.0,
        "KB" => 1e3,
        "MB" => 1e6,
        "GB" => 1e9,
        "KiB" => 1024.0,
        "MiB" => 1024.0 * 1024.0,
        "GiB" => 1024.0 * 1024.0 * 1024.0,
        "" if number == 0.0 => 0.0,
        _ => return None,
    };
    let bytes = number * scale;
    (bytes <= 1e18).then_some(bytes.round() as u64)
}

/// Formats a duration in the largest unit that gives a whole number.
pub fn format_duration(micros: i64) -> String {
    match micros {
        0 => "0".into(),
        m if m % (3600 * SECOND) == 0 => format!("{}h", m / (3600 * SECOND)),
        m if m % (60 * SECOND) == 0 => format!("{}m", m / (60 * SECOND)),
        m if m % SECOND == 0 => format!("{}s", m / SECOND),
        m if m % 1000 == 0 => format!("{}ms", m / 1000),
        m => format!("{m}us"),
    }
}

/// Formats a size in the largest unit that gives a whole number.
pub fn format_size(bytes: u64) -> String {
    match bytes {
        0 => "0".into(),
        b if b % 1_000_000_000 == 0 => format!("{}GB", b / 1_000_000_000),
        b if b % 1_000_000 == 0 => format!("{}MB", b / 1_000_000),
        b if b % 1000 == 0 => format!("{}KB", b / 1000),
        b => format!("{b}B"),
    }
}

impl Kind {
    /// Parses a word. The error describes the expected value.
    pub fn parse(self, text: &str) -> Result<Value, String> {
        match self {
            Kind::Duration(least, most) => match parse_duration(text) {
                Some(d) if (least..=most).contains(&d) => Ok(Value::Duration(d)),
                _ => Err(format!(
                    "a duration with its unit (us, ms, s, m, h) from {} to {}",
                    format_duration(least),
                    format_duration(most)
                )),
            },
            Kind::Size(least, most) => match parse_size(text) {
                Some(s) if (least..=most).contains(&s) => Ok(Value::Size(s)),
                _ => Err(format!(
                    "a size with its unit (B, KB, MB, GB, KiB, MiB, GiB) from {} to {}",
                    format_size(least),
                    format_size(most)
                )),
            },
            Kind::Rate(least, most) => {
                let number = text.strip_suffix("/s").and_then(|n| n.parse::<f64>().ok());
                match number.filter(|n| (least..=most).contains(n)) {
                    Some(n) => Ok(Value::Number(n)),
                    None => Err(format!("a rate such as 50/s, from {least}/s to {most}/s")),
                }
            }
            Kind::Number(least, most) => {
                match text.parse::<f64>().ok().filter(|n| (least..=most).contains(n)) {
                    Some(n) => Ok(Value::Number(n)),
                    None => Err(format!("a number from {least} to {most}")),
                }
            }
            Kind::Count(least, most) => {
                match text.parse::<u64>().ok().filter(|n| (least..=most).contains(n)) {
                    Some(n) => Ok(Value::Count(n)),
                    None => Err(format!("a whole number from {least} to {most}")),
                }
            }
            Kind::YesNo => match text {
                "yes" => Ok(Value::Flag(true)),
                "no" => Ok(Value::Flag(false)),
                _ => Err("yes or no".into()),
            },
            Kind::Word(words) => {
                if words.contains(&text) {
                    Ok(Value::Text(text.into()))
                } else {
                    Err(format!("one of {}", words.join(", ")))
                }
            }
            Kind::Text => {
                if text.is_empty() {
                    Err("some text".into())
                } else {
                    Ok(Value::Text(text.into()))
                }
            }
            Kind::Address => match text.parse::<SocketAddr>() {
                Ok(_) => Ok(Value::Text(text.into())),
                Err(_) => Err("an address and port such as 127.0.0.1:9090".into()),
            },
            Kind::Url(scheme) => match text.strip_prefix(scheme).and_then(|t| t.strip_prefix("://")) {
                Some(rest) if !rest.is_empty() => Ok(Value::Text(text.into())),
                _ => Err(format!("an address that begins with {scheme}://")),
            },
        }
    }
}
