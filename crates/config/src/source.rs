//! Lookup of directives by name and of their values by key.

use crate::lexer::Line;
use crate::value::Value;
use crate::{Fault, Position};

/// The lines of a configuration, and the faults found in them.
pub struct Source<'a> {
    pub lines: &'a [Line],
    pub faults: &'a mut Vec<Fault>,
}

impl Line {
    /// Returns the value of an argument, if present.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.values.get(key).map(|v| &v.0)
    }
    /// Returns the position of an argument, or of the line if the argument is absent.
    pub fn place(&self, key: &str) -> Position {
        self.values.get(key).map_or(self.at.clone(), |v| v.1.clone())
    }
    /// Returns a duration argument in microseconds.
    pub fn duration(&self, key: &str) -> Option<i64> {
        match self.get(key) {
            Some(Value::Duration(d)) => Some(*d),
            _ => None,
        }
    }
    /// Returns a number argument.
    pub fn number(&self, key: &str) -> Option<f64> {
        match self.get(key) {
            Some(Value::Number(n)) => Some(*n),
            _ => None,
        }
    }
    /// Returns a count or size argument, but not a rate.
    pub fn count(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Value::Count(n) | Value::Size(n)) => Some(*n),
            _ => None,
        }
    }
    /// Returns a flag argument.
    pub fn flag(&self, key: &str) -> Option<bool> {
        match self.get(key) {
            Some(Value::Flag(f)) => Some(*f),
            _ => None,
        }
    }
    /// Returns a text, word or address argument.
    pub fn text(&self, key: &str) -> Option<String> {
        match self.get(key) {
            Some(Value::Text(t)) => Some(t.clone()),
            _ => None,
        }
    }
}

impl Source<'_> {
    /// Returns all lines of a directive.
    pub fn all<'b>(&'b self, name: &'b str) -> impl Iterator<Item = &'b Line> + 'b {
        self.lines.iter().filter(move |l| l.directive.name == name)
    }
    /// Returns the first line of a directive.
    pub fn one(&self, name: &str) -> Option<&Line> {
        self.lines.iter().find(|l| l.directive.name == name)
    }
    /// Returns the duration of a directive with one value, or a default.
    pub fn duration(&self, name: &str, or: i64) -> i64 {
        self.one(name).and_then(|l| l.duration("value")).unwrap_or(or)
    }
    /// Returns the flag of a directive with one value, or a default.
    pub fn flag(&self, name: &str, or: bool) -> bool {
        self.one(name).and_then(|l| l.flag("value")).unwrap_or(or)
    }
    /// Returns a number of a directive, or a default.
    pub fn number(&self, name: &str, key: &str, or: f64) -> f64 {
        self.one(name).and_then(|l| l.number(key)).unwrap_or(or)
    }
    /// Returns a count of a directive, or a default.
    pub fn count(&self, name: &str, key: &str, or: u64) -> u64 {
        self.one(name).and_then(|l| l.count(key)).unwrap_or(or)
    }
    /// Returns a text of a directive.
    pub fn text(&self, name: &str, key: &str) -> Option<String> {
        self.one(name).and_then(|l| l.text(key))
    }
    /// Adds a fault.
    pub fn fault(&mut self, at: Position, what: impl Into<String>, expected: impl Into<String>) {
        self.faults.push(Fault { at, what: what.into(), expected: expected.into() });
    }
}
