//! Decodes and encodes RESP arrays of bulk strings. Input may arrive in any pieces. Bounds are checked before
//! anything is buffered: the buffer holds received bytes only, and never reserves room for a length that is merely
//! announced.

use bytes::{Buf, BufMut, BytesMut};

#[cfg(test)]
mod tests;

/// Maximum number of strings in one array.
const MAX_WORDS: usize = 8;
/// Maximum length of a string, which is that of a body.
pub const MAX_BODY: usize = 16 << 10;
/// Maximum length of `*N` or `$N` with its line end.
const MAX_HEADER: usize = 24;
/// Maximum length of a complete array.
const MAX_ARRAY: usize = MAX_BODY + (8 << 10);

/// Why a client's input is malformed; the rest of the connection's input can't be parsed either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RespError {
    #[error("the client's input is not an array of bulk strings")]
    Form,
    #[error("a length in the client's input is not a number or is out of range")]
    Length,
    #[error("an array, a string or a length line in the client's input exceeds its maximum")]
    TooLong,
}

/// The words of one array; the last one may be a body.
pub type Words = Vec<Vec<u8>>;

/// Decodes arrays from a stream of bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    /// Number of bytes that are missing from an incomplete string, if its length is known.
    missing: usize,
}

impl Decoder {
    /// Adds bytes read from the socket.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.missing = self.missing.saturating_sub(bytes.len());
    }

    /// Whether the buffer holds an incomplete array.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of bytes that are missing from an incomplete string. It is 0 if the length is not known.
    pub fn missing(&self) -> usize {
        self.missing
    }

    /// Returns the capacity of the buffer in bytes.
    pub fn buffer_capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the next complete array, if any.
    pub fn next_array(&mut self) -> Result<Option<Words>, RespError> {
        let mut at = 0;
        self.missing = 0;
        let Some(count) = self.parse_header(&mut at, b'*', MAX_WORDS)? else { return Ok(None) };
        if count == 0 {
            return Err(RespError::Length);
        }
        let mut spans = [(0usize, 0usize); MAX_WORDS];
        for span in spans.iter_mut().take(count) {
            let Some(length) = self.parse_header(&mut at, b'$', MAX_BODY)? else { return Ok(None) };
            let end = at + length;
            if end + 2 > MAX_ARRAY {
                return Err(RespError::TooLong);
            }
            if self.buffer.len() > end && self.buffer[end] != b'\r' {
                return Err(RespError::Form);
            }
            if self.buffer.len() < end + 2 {
                self.missing = end + 2 - self.buffer.len();
                return Ok(None);
            }
            if self.buffer[end + 1] != b'\n' {
                return Err(RespError::Form);
            }
            *span = (at, end);
            at = end + 2;
        }
        let words = spans[..count].iter().map(|s| self.buffer[s.0..s.1].to_vec()).collect();
        self.buffer.advance(at);
        if self.buffer.is_empty() {
            // Releases the buffer so that idle connections hold no memory.
            self.buffer = BytesMut::new();
        }
        Ok(Some(words))
    }

    fn parse_header(&self, at: &mut usize, prefix: u8, max: usize) -> Result<Option<usize>, RespError> {
        let rest = &self.buffer[*at..];
        let Some(&first) = rest.first() else { return Ok(None) };
        if first != prefix {
            return Err(RespError::Form);
        }
        let window = &rest[1..rest.len().min(MAX_HEADER)];
        let Some(end) = window.iter().position(|&b| b == b'\r') else {
            if rest.len() >= MAX_HEADER {
                return Err(RespError::TooLong);
            }
            // The received bytes must be digits, so that an endless header is detected at once.
            return if window.iter().all(u8::is_ascii_digit) { Ok(None) } else { Err(RespError::Length) };
        };
        let digits = &window[..end];
        if digits.is_empty() || digits.len() > 9 || !digits.iter().all(u8::is_ascii_digit) {
            return Err(RespError::Length);
        }
        let value = digits.iter().fold(0usize, |n, d| n * 10 + usize::from(d - b'0'));
        if value > max {
            return Err(RespError::TooLong);
        }
        match rest.get(end + 2) {
            None => Ok(None),
            Some(b'\n') => {
                *at += end + 3;
                Ok(Some(value))
            }
            Some(_) => Err(RespError::Form),
        }
    }
}

/// Encodes an array of bulk strings.
pub fn encode(out: &mut BytesMut, words: &[&[u8]]) {
    let mut digits = [0u8; 20];
    let mut put_header = |out: &mut BytesMut, prefix: u8, n: usize| {
        out.put_u8(prefix);
        out.put_slice(decimal(n as u64, &mut digits));
        out.put_slice(b"\r\n");
    };
    put_header(out, b'*', words.len());
    for word in words {
        put_header(out, b'$', word.len());
        out.put_slice(word);
        out.put_slice(b"\r\n");
    }
}

/// Formats a number in decimal digits.
pub fn decimal(mut n: u64, digits: &mut [u8; 20]) -> &[u8] {
    let mut at = digits.len();
    loop {
        at -= 1;
        digits[at] = b'0' + (n % 10) as u8;
        n /= 10;
        if n == 0 {
            return &digits[at..];
        }
    }
}
