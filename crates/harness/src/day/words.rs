//! One line of a day file, word by word.

use super::trouble::Pick;
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
    /// The word that was read last.
    pub(super) fn last(&self) -> &'a str {
        self.next.checked_sub(1).and_then(|n| self.words.get(n)).map_or("", |w| w.1)
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
    /// Whether this word comes next; it is read then.
    pub(super) fn maybe(&mut self, word: &str) -> bool {
        let is_next = self.words.get(self.next).is_some_and(|w| w.1 == word);
        self.next += usize::from(is_next);
        is_next
    }
    /// A span where the line goes on with one.
    pub(super) fn maybe_span(&mut self) -> Step<Option<Duration>> {
        if self.words.get(self.next).is_none() {
            return Ok(None);
        }
        self.span().map(Some)
    }
    /// A moment, or a range of moments such as `3s..6s`.
    pub(super) fn moments(&mut self) -> Step<(Duration, Duration)> {
        let expected = "a time such as 2s, or a range of them such as 2s..4s";
        let word = self.word(expected)?;
        let (from, to) = word.split_once("..").unwrap_or((word, word));
        let moment = |word| parse_duration(word).map(|micros| Duration::from_micros(micros as u64));
        match (moment(from), moment(to)) {
            (Some(from), Some(to)) if from <= to => Ok((from, to)),
            _ => self.wrong(expected),
        }
    }
    /// A front end's number, or `any`.
    pub(super) fn pick(&mut self) -> Step<Pick> {
        let expected = "a front end's number or any";
        match self.word(expected)? {
            "any" => Ok(Pick::Any),
            number => match number.parse() {
                Ok(number) => Ok(Pick::Number(number)),
                Err(_) => self.wrong(expected),
            },
        }
    }
    /// Names separated by commas.
    pub(super) fn names(&mut self, expected: &'static str) -> Step<Vec<String>> {
        let names: Vec<String> = self.word(expected)?.split(',').map(str::to_string).collect();
        if names.iter().any(String::is_empty) {
            return self.wrong(expected);
        }
        Ok(names)
    }
    /// What is still to be read, without the comment.
    pub(super) fn rest(&self) -> String {
        let words = self.words.get(self.next..).unwrap_or_default();
        words.iter().map(|w| w.1).collect::<Vec<_>>().join(" ")
    }
    /// All that is still to be read, taken as it stands.
    pub(super) fn all(&mut self) -> String {
        let rest = self.rest();
        self.next = self.words.len();
        rest
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
