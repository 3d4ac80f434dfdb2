//! RESP arrays of bulk strings, as clients send them: read from whatever pieces arrive, within bounds that hold before
//! anything is kept. The buffer holds what came and never room for what a length only claims.

use bytes::{Buf, BufMut, BytesMut};

#[cfg(test)]
mod tests;

/// Most strings in one array.
const WORDS: usize = 8;
/// Longest string: a body.
pub const MAX_BODY: usize = 16 << 10;
/// Longest `*N` or `$N` with its line end.
const HEADER: usize = 24;
/// Longest whole array.
const MAX_ARRAY: usize = MAX_BODY + (8 << 10);

/// What makes a client's bytes unreadable; nothing that follows on the connection can be read either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RespError {
    #[error("not an array of bulk strings")]
    Form,
    #[error("a length is no number in range")]
    Length,
    #[error("too long")]
    TooLong,
}

/// The words of one array; the last may be a body.
pub type Words = Vec<Vec<u8>>;

/// Reads arrays from a stream of bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Takes what the socket gave.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether part of an array waits for the rest.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.buffer.capacity()
    }

    /// The next whole array, if it is here.
    pub fn take(&mut self) -> Result<Option<Words>, RespError> {
        let mut at = 0;
        let Some(count) = self.header(&mut at, b'*', WORDS)? else { return Ok(None) };
        if count == 0 {
            return Err(RespError::Length);
        }
        let mut spans = [(0usize, 0usize); WORDS];
        for span in spans.iter_mut().take(count) {
            let Some(length) = self.header(&mut at, b'$', MAX_BODY)? else { return Ok(None) };
            let end = at + length;
            if end + 2 > MAX_ARRAY {
                return Err(RespError::TooLong);
            }
            if self.buffer.len() > end && self.buffer[end] != b'\r' {
                return Err(RespError::Form);
            }
            if self.buffer.len() < end + 2 {
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
            // Idle connections hold nothing.
            self.buffer = BytesMut::new();
        }
        Ok(Some(words))
    }

    fn header(&self, at: &mut usize, mark: u8, most: usize) -> Result<Option<usize>, RespError> {
        let rest = &self.buffer[*at..];
        let Some(&first) = rest.first() else { return Ok(None) };
        if first != mark {
            return Err(RespError::Form);
        }
        let window = &rest[1..rest.len().min(HEADER)];
        let Some(end) = window.iter().position(|&b| b == b'\r') else {
            if rest.len() >= HEADER {
                return Err(RespError::TooLong);
            }
            // What is here must be digits already, so that an endless line is recognized at once.
            return if window.iter().all(u8::is_ascii_digit) { Ok(None) } else { Err(RespError::Length) };
        };
        let digits = &window[..end];
        if digits.is_empty() || digits.len() > 9 || !digits.iter().all(u8::is_ascii_digit) {
            return Err(RespError::Length);
        }
        let value = digits.iter().fold(0usize, |n, d| n * 10 + usize::from(d - b'0'));
        if value > most {
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

/// Writes an array of bulk strings.
pub fn encode(out: &mut BytesMut, words: &[&[u8]]) {
    let mut digits = [0u8; 20];
    let mut put = |out: &mut BytesMut, mark: u8, n: usize| {
        out.put_u8(mark);
        out.put_slice(decimal(n as u64, &mut digits));
        out.put_slice(b"\r\n");
    };
    put(out, b'*', words.len());
    for word in words {
        put(out, b'$', word.len());
        out.put_slice(word);
        out.put_slice(b"\r\n");
    }
}

/// A number in decimal digits.
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
