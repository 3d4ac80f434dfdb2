//! Splits files into lines and lines into words with positions, and parses words into directives with typed values.

use crate::build::build;
use crate::grammar::{directive, directives, Directive, Occurrence};
use crate::model::Config;
use crate::nearest::nearest;
use crate::value::Value;
use crate::words::{read_file, words, Word, MAX_FILE_BYTES};
use crate::{Fault, Faults, Position};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Maximum nesting depth of `include`.
const MAX_INCLUDE_DEPTH: usize = 8;
/// Maximum number of reported faults.
const MAX_FAULTS: usize = 1000;

/// A directive with its values by key, each with its position.
pub struct Line {
    pub directive: &'static Directive,
    pub at: Position,
    pub values: BTreeMap<&'static str, (Value, Position)>,
}

/// Reads a file and its included files. Include paths are relative to the including file.
pub fn load(path: &Path) -> Result<Config, Faults> {
    let mut reader = Reader::default();
    let start = Position { file: path.display().to_string(), line: 1, column: 1 };
    reader.file(path, &start);
    reader.finish(&start)
}

/// Parses a configuration from text. `include` paths are relative to the directory of `name`.
pub fn parse(name: &str, text: &str) -> Result<Config, Faults> {
    let mut reader = Reader::default();
    reader.text(Path::new(name), text);
    reader.finish(&Position { file: name.into(), line: 1, column: 1 })
}

#[derive(Default)]
struct Reader {
    lines: Vec<Line>,
    faults: Vec<Fault>,
    open: Vec<PathBuf>,
    /// Faults for files that could not be read.
    unreadable: Vec<Fault>,
}

impl Reader {
    fn fault(&mut self, at: &Position, what: impl Into<String>, expected: impl Into<String>) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(Fault { at: at.clone(), what: what.into(), expected: expected.into() });
        }
    }

    fn finish(mut self, start: &Position) -> Result<Config, Faults> {
        if !self.unreadable.is_empty() {
            // Only the read errors are reported: other faults, such as missing directives, may come from the unread content.
            return Err(Faults(self.unreadable));
        }
        self.check_repeats();
        let config = build(&self.lines, &mut self.faults, start);
        match config {
            Some(config) if self.faults.is_empty() => Ok(config),
            _ => {
                // Identical faults at one position are reported once.
                let mut seen = std::collections::BTreeSet::new();
                self.faults.retain(|f| seen.insert((f.at.clone(), f.what.clone())));
                self.faults.sort_by(|a, b| a.at.cmp(&b.at));
                Err(Faults(self.faults))
            }
        }
    }

    fn file(&mut self, path: &Path, from: &Position) {
        let canonical = path.canonicalize().unwrap_or_else(|_| path.to_path_buf());
        if self.open.len() >= MAX_INCLUDE_DEPTH || self.open.contains(&canonical) {
            let what = format!("{} includes itself or is nested too deep", path.display());
            return self.fault(from, what, format!("at most {MAX_INCLUDE_DEPTH} levels and no cycle"));
        }
        match read_file(path).map(String::from_utf8) {
            Ok(Ok(text)) => {
                self.open.push(canonical);
                self.text(path, &text);
                self.open.pop();
            }
            Ok(Err(_)) => self.fault(from, format!("{} is not UTF-8", path.display()), "a text file"),
            Err(e) => {
                let what = format!("can't read {}: {e}", path.display());
                let expected = format!("a readable file of at most {MAX_FILE_BYTES} bytes");
                self.unreadable.push(Fault { at: from.clone(), what, expected });
            }
        }
    }

    fn text(&mut self, path: &Path, text: &str) {
        let file = path.display().to_string();
        for (number, line) in text.lines().enumerate() {
            let at = |column| Position { file: file.clone(), line: number + 1, column };
            match words(line) {
                Err(column) => {
                    self.fault(&at(column), "quote is not closed", "a closing \" on the same line")
                }
                Ok(words) if words.is_empty() => {}
                Ok(words) => self.line(path, &words, &at),
            }
        }
    }

    fn line(&mut self, path: &Path, words: &[Word], at: &dyn Fn(usize) -> Position) {
        let first = &words[0];
        if first.text == "include" {
            return match words {
                [_, file] => {
                    let target = path.parent().unwrap_or(Path::new("")).join(&file.text);
                    self.file(&target, &at(file.column));
                }
                _ => self.fault(&at(first.column), "include takes one file", "include FILE"),
            };
        }
        let Some(directive) = directive(&first.text) else {
            let suggestion = nearest(&first.text, directives().map(|d| d.name));
            let expected = suggestion.map_or("a directive".into(), |n| format!("a directive, perhaps {n}"));
            return self.fault(&at(first.column), format!("unknown directive {}", first.text), expected);
        };
        let mut values = BTreeMap::new();
        let mut rest = words[1..].iter();
        for place in directive.positional {
            match rest.next() {
                Some(word) => self.value(&mut values, place.key, place.kind, word, at),
                None => {
                    let expected = place.kind.parse("").err().unwrap_or_default();
                    let what = format!("{} is missing its {}", directive.name, place.key);
                    self.fault(&at(first.column), what, expected);
                }
            }
        }
        while let Some(word) = rest.next() {
            let Some(key) = directive.keys.iter().find(|k| k.key == word.text) else {
                let keys: Vec<&str> = directive.keys.iter().map(|k| k.key).collect();
                let suggestion = nearest(&word.text, keys.iter().copied());
                let expected = match (suggestion, keys.is_empty()) {
                    (Some(suggestion), _) => suggestion.to_string(),
                    (None, true) => "the end of the line".into(),
                    (None, false) => format!("one of {}", keys.join(", ")),
                };
                let what = format!("{} does not accept {}", directive.name, word.text);
                self.fault(&at(word.column), what, expected);
                // Skips the value of the unknown key, which would cause a second fault.
                if !keys.is_empty() && rest.clone().next().is_some_and(|w| !keys.contains(&w.text.as_str())) {
                    rest.next();
                }
                continue;
            };
            if values.contains_key(key.key) {
                self.fault(&at(word.column), format!("{} is given twice", key.key), "each key once");
            }
            match rest.next() {
                Some(value) => self.value(&mut values, key.key, key.kind, value, at),
                None => {
                    let expected = key.kind.parse("").err().unwrap_or_default();
                    self.fault(&at(word.column), format!("{} is missing its value", key.key), expected);
                }
            }
        }
        for key in directive.keys.iter().filter(|k| k.required) {
            let named = words.iter().any(|w| w.text == key.key);
            if !named {
                let expected = key.kind.parse("").err().unwrap_or_default();
                let what = format!("{} is missing {}", directive.name, key.key);
                self.fault(&at(first.column), what, format!("{} with {expected}", key.key));
            }
        }
        self.lines.push(Line { directive, at: at(first.column), values });
    }

    fn value(
        &mut self,
        values: &mut BTreeMap<&'static str, (Value, Position)>,
        key: &'static str,
        kind: crate::value::Kind,
        word: &Word,
        at: &dyn Fn(usize) -> Position,
    ) {
        match kind.parse(&word.text) {
            Ok(value) => drop(values.insert(key, (value, at(word.column)))),
            Err(expected) => self.fault(&at(word.column), format!("{} is {:?}", key, word.text), expected),
        }
    }

    /// Reports directives that occur more often than allowed.
    fn check_repeats(&mut self) {
        let mut first: BTreeMap<(&str, String), Position> = BTreeMap::new();
        let mut faults = Vec::new();
        for line in &self.lines {
            let name = match line.directive.occurrence {
                Occurrence::Any => continue,
                Occurrence::Once => String::new(),
                Occurrence::OncePerName => {
                    match line.directive.positional.first().and_then(|p| line.values.get(p.key)) {
                        Some((value, _)) => format!(" {value:?}"),
                        None => continue,
                    }
                }
            };
            if let Some(earlier) = first.get(&(line.directive.name, name.clone())) {
                let what = format!("{} is repeated", line.directive.name);
                faults.push((line.at.clone(), what, format!("one occurrence; first at {earlier}")));
            } else {
                first.insert((line.directive.name, name), line.at.clone());
            }
        }
        faults.into_iter().for_each(|(at, what, expected)| self.fault(&at, what, expected));
    }
}
