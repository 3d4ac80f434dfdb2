//! One line of a day file, word by word.

use stagehoist_config::parse_duration;
use std::time::Duration;

pub(super) struct Words<'a> {
    line: &'a str,
    pub(super) words: Vec<(usize, &'a str)>,
    next: usize,
}

pub(super) type Step<T> = Result<T, (usize, String, &'static str)>;

impl<'a> Words<'a> {
    pub(super) fn new(line: &'a str) -> Words<'a> {
        let line = line.split('#').next().unwrap_or("");
        let words = line.split_whitespace().map(|w| (w.as_ptr() as usize - line.as_ptr() as usize + 1, w));
        Words { line, words: words.collect(), next: 0 }
    }
    pub(super) fn word(&mut self, expected: &'static str) -> Step<&'a str> {
        let word = self.words.get(self.next).copied();
        self.next += 1;
        word.map(|w| w.1).ok_or((self.line.len() + 1, "the line ends".into(), expected))
    }
    pub(super) fn wrong<T>(&self, expected: &'static str) -> Step<T> {
        let (column, word) = self.words.get(self.next - 1).copied().unwrap_or((1, ""));
        Err((column, format!("found {word:?}"), expected))
    }
    pub(super) fn is(&mut self, word: &str, expected: &'static str) -> Step<()> {
        if self.word(expected)? == word {
            return Ok(());
        }
        self.wrong(expected)
    }
    pub(super) fn duration(&mut self) -> Step<Duration> {
        let expected = "a duration with its unit, such as 2s";
        match parse_duration(self.word(expected)?) {
            Some(micros) => Ok(Duration::from_micros(micros as u64)),
            None => self.wrong(expected),
        }
    }
    pub(super) fn span(&mut self) -> Step<Duration> {
        self.is("for", "for and a duration")?;
        self.duration()
    }
    pub(super) fn number<T: std::str::FromStr>(&mut self, suffix: &str, expected: &'static str) -> Step<T> {
        let word = self.word(expected)?;
        match word.strip_suffix(suffix).and_then(|n| n.parse().ok()) {
            Some(number) => Ok(number),
            None => self.wrong(expected),
        }
    }
    pub(super) fn percent<T: std::str::FromStr>(&mut self) -> Step<T> {
        self.number("%", "a share such as 33%")
    }
    pub(super) fn end(&self) -> Step<()> {
        match self.words.get(self.next) {
            None => Ok(()),
            Some((column, word)) => Err((*column, format!("found {word:?}"), "the end of the line")),
        }
    }
}
