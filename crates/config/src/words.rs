//! Reading of files, and splitting of lines into words with positions.

use std::path::Path;

/// Maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: u64 = 16 << 20;

/// A word of a line, with its position.
pub struct Word {
    pub text: String,
    pub column: usize,
}

/// Reads a file, a pipe, or standard input (`-`), up to [`MAX_FILE_BYTES`].
pub fn read_file(path: &Path) -> std::io::Result<Vec<u8>> {
    use std::io::{Error, ErrorKind, Read};
    let source: Box<dyn Read> = match path.as_os_str() == "-" {
        true => Box::new(std::io::stdin()),
        false => Box::new(std::fs::File::open(path)?),
    };
    let mut bytes = Vec::new();
    source.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    match bytes.len() as u64 > MAX_FILE_BYTES {
        true => Err(Error::new(ErrorKind::FileTooLarge, "too large")),
        false => Ok(bytes),
    }
}

/// Splits a line into words, up to a comment. The error is the column of an unclosed quote.
pub fn words(line: &str) -> Result<Vec<Word>, usize> {
    let mut words = Vec::new();
    let mut chars = line.chars().enumerate().peekable();
    while let Some(&(at, c)) = chars.peek() {
        if c.is_whitespace() {
            chars.next();
        } else if c == '#' {
            break;
        } else if c == '"' {
            chars.next();
            let mut text = String::new();
            loop {
                match chars.next() {
                    None => return Err(at + 1),
                    Some((_, '"')) => break,
                    Some((_, '\\')) => text.extend(chars.next().map(|(_, c)| c)),
                    Some((_, c)) => text.push(c),
                }
            }
            words.push(Word { text, column: at + 1 });
        } else {
            let mut text = String::new();
            while let Some((_, c)) = chars.next_if(|(_, c)| !c.is_whitespace()) {
                text.push(c);
            }
            words.push(Word { text, column: at + 1 });
        }
    }
    Ok(words)
}

/// Quotes a word if necessary, so that [`words`] reads it back unchanged.
pub fn quoted(text: &str) -> String {
    if !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || matches!(c, '"' | '#' | '\\')) {
        return text.to_string();
    }
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}
