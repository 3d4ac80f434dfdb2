//! What a file holds, and the words of a line with their places.

use std::path::Path;

/// Largest file read, in bytes.
pub const FILE_MOST: u64 = 16 << 20;

/// A word of a line, with its position.
pub struct Word {
    pub text: String,
    pub column: usize,
}

/// All that a file, a pipe, or standard input (`-`) holds, up to [`FILE_MOST`].
pub fn read(path: &Path) -> std::io::Result<Vec<u8>> {
    use std::io::{Error, ErrorKind, Read};
    let source: Box<dyn Read> = match path.as_os_str() == "-" {
        true => Box::new(std::io::stdin()),
        false => Box::new(std::fs::File::open(path)?),
    };
    let mut bytes = Vec::new();
    source.take(FILE_MOST + 1).read_to_end(&mut bytes)?;
    match bytes.len() as u64 > FILE_MOST {
        true => Err(Error::new(ErrorKind::FileTooLarge, "too large")),
        false => Ok(bytes),
    }
}

/// Words of a line, up to a comment; an open quote gives its column.
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

/// A word as [`words`] reads it back, in quotes where it needs them.
pub fn word(text: &str) -> String {
    if !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || matches!(c, '"' | '#' | '\\')) {
        return text.to_string();
    }
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}
