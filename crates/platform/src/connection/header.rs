//! Parses the header line of an executor's answer.

use super::{ProtocolViolation, Tag, MAX_ANSWER};
use crate::fields;
use stagehoist::LoadReport;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Word {
    Ok,
    Miss,
    Busy,
    Err,
    Void,
    Up,
    Down,
}

#[derive(Debug)]
pub(super) struct Header {
    pub tag: Option<Tag>,
    pub word: Word,
    pub fields: Vec<u8>,
    pub length: Option<usize>,
}

pub(super) fn is_header_byte(b: u8) -> bool {
    (0x20..0x7f).contains(&b) || b == b'\r'
}

/// Parses `ID WORD FIELDS LENGTH`; the last two may be absent.
pub(super) fn parse_header(line: &[u8]) -> Result<Header, ProtocolViolation> {
    if !line.iter().all(|b| (0x20..0x7f).contains(b)) {
        return Err(ProtocolViolation::Line);
    }
    let mut words = line.split(|&b| b == b' ');
    let (Some(id), Some(word)) = (words.next(), words.next()) else { return Err(ProtocolViolation::Line) };
    let (list, length) = (words.next(), words.next());
    if id.is_empty() || words.next().is_some() {
        return Err(ProtocolViolation::Line);
    }
    let word = match word {
        b"OK" => Word::Ok,
        b"MISS" => Word::Miss,
        b"BUSY" => Word::Busy,
        b"ERR" => Word::Err,
        b"VOID" => Word::Void,
        b"UP" => Word::Up,
        b"DOWN" => Word::Down,
        _ => return Err(ProtocolViolation::Line),
    };
    let digits = |text: &[u8]| -> Option<u64> {
        let is_valid = !text.is_empty() && text.len() <= 12 && text.iter().all(u8::is_ascii_digit);
        is_valid.then(|| std::str::from_utf8(text).ok()?.parse().ok()).flatten()
    };
    let length = match length {
        None => None,
        Some(text) => match digits(text) {
            Some(n) if n <= MAX_ANSWER as u64 => Some(n as usize),
            _ => return Err(ProtocolViolation::Length),
        },
    };
    let tag = fields::hex16(id).map(Tag::Call).or_else(|| digits(id).map(Tag::Internal));
    Ok(Header { tag, word, fields: list.unwrap_or_default().to_vec(), length })
}

/// Parses a load report into values in the order of the settings. The settings use other names for some values.
pub(super) fn parse_load_report(text: &str, report: &[String]) -> Result<LoadReport, ProtocolViolation> {
    let mut values = [0f32; 4];
    let mut has_values = false;
    for pair in fields::pairs(text) {
        let (name, value) = pair.ok_or(ProtocolViolation::Line)?;
        let known = match name {
            "inflight" => "rif",
            "queue" => "q",
            "util" => "busy",
            other => other,
        };
        let index = report.iter().position(|r| r == name || r == known);
        if let Some(slot) = index.and_then(|i| values.get_mut(i)) {
            *slot = value as f32;
            has_values = true;
        }
    }
    Ok(has_values.then_some(values))
}
