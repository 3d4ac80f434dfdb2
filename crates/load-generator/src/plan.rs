//! What is sent when: arrivals by shape, calls by mix, both from one seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist::Micros;
use std::str::FromStr;

const S: f64 = 1e6;

/// How arrivals are spread over time, in multiples of the told rate.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// Evenly spaced.
    Constant,
    /// Independent arrivals at a constant mean.
    Poisson,
    /// Independent, the mean growing evenly from the first to the second multiple.
    Ramp { from: f64, to: f64 },
    /// Independent, `times` the rate from `at` seconds on for `span` seconds.
    Burst { times: f64, at: f64, span: f64 },
    /// Independent, one day of a working week squeezed into the run: a quiet night, a peak before and after noon.
    Day,
    /// At told moments.
    Replay(Vec<(Micros, Option<String>, usize)>),
}

/// What is wrong with a told plan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    #[error("shape {0}: expected constant, poisson, ramp:FROM-TO, burst:TIMES@AT+SPAN (seconds) or day")]
    Shape(String),
    #[error("{0}: expected NAME or NAME:WEIGHT with a weight above 0")]
    Weight(String),
    #[error("size {0}: expected BYTES or LEAST-MOST")]
    Size(String),
    #[error("rate {0}: expected calls a second above 0 and up to 1,000,000")]
    Rate(String),
    #[error("line {line}: expected MILLISECONDS [FUNCTION [BYTES]] in order of time")]
    Replay { line: usize },
}

impl FromStr for Shape {
    type Err = PlanError;
    fn from_str(text: &str) -> Result<Shape, PlanError> {
        let wrong = || PlanError::Shape(text.to_string());
        let number = |t: &str| t.parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0).ok_or_else(wrong);
        match text.split_once(':') {
            None if text == "constant" => Ok(Shape::Constant),
            None if text == "poisson" => Ok(Shape::Poisson),
            None if text == "day" => Ok(Shape::Day),
            Some(("ramp", rest)) => {
                let (from, to) = rest.split_once('-').ok_or_else(wrong)?;
                Ok(Shape::Ramp { from: number(from)?, to: number(to)? })
            }
            Some(("burst", rest)) => {
                let (times, rest) = rest.split_once('@').ok_or_else(wrong)?;
                let (at, span) = rest.split_once('+').ok_or_else(wrong)?;
                Ok(Shape::Burst { times: number(times)?, at: number(at)?, span: number(span)? })
            }
            _ => Err(wrong()),
        }
    }
}

impl Shape {
    /// Reads moments from lines of `MILLISECONDS [FUNCTION [BYTES]]`; `#` begins a comment.
    pub fn replay(text: &str) -> Result<Shape, PlanError> {
        let mut shots = Vec::new();
        for (number, line) in text.lines().enumerate() {
            let wrong = PlanError::Replay { line: number + 1 };
            let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
            let Some(at) = words.first() else { continue };
            let at = at.parse::<f64>().ok().filter(|ms| (0.0..1e12).contains(ms)).ok_or(wrong.clone())?;
            let at = (at * 1000.0) as Micros;
            let size = words.get(2).map(|w| w.parse()).transpose().map_err(|_| wrong.clone())?.unwrap_or(0);
            if words.len() > 3 || shots.last().is_some_and(|s: &(Micros, _, _)| s.0 > at) {
                return Err(wrong);
            }
            shots.push((at, words.get(1).map(|w| w.to_string()), size));
        }
        Ok(Shape::Replay(shots))
    }

    /// The rate at a moment, as a multiple of the told one. `part` is the part of the run that has passed.
    fn times(&self, now: Micros, part: f64) -> f64 {
        match self {
            Shape::Constant | Shape::Poisson | Shape::Replay(_) => 1.0,
            Shape::Ramp { from, to } => from + (to - from) * part,
            Shape::Burst { times, at, span } => {
                let s = now as f64 / S;
                if (*at..at + span).contains(&s) {
                    *times
                } else {
                    1.0
                }
            }
            Shape::Day => {
                let hill = |at: f64, width: f64| (-((part - at) / width).powi(2)).exp();
                0.15 + hill(0.40, 0.07) + 0.8 * hill(0.60, 0.08)
            }
        }
    }
}

/// Things drawn by weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix(Vec<(String, f64)>);

impl Mix {
    /// From words `NAME` or `NAME:WEIGHT`.
    pub fn parse(words: &[String]) -> Result<Mix, PlanError> {
        let one = |word: &String| {
            let wrong = || PlanError::Weight(word.clone());
            let (name, weight) = match word.rsplit_once(':') {
                None => (word.as_str(), 1.0),
                Some((name, weight)) => (name, weight.parse().map_err(|_| wrong())?),
            };
            let sound = !name.is_empty() && f64::is_finite(weight) && weight > 0.0;
            sound.then(|| (name.to_string(), weight)).ok_or_else(wrong)
        };
        Ok(Mix(words.iter().map(one).collect::<Result<_, _>>()?))
    }

    fn draw(&self, at: f64) -> Option<&str> {
        let mut left = at * self.0.iter().map(|x| x.1).sum::<f64>();
        let found = self.0.iter().find(|(_, weight)| {
            left -= weight;
            left < 0.0
        });
        found.or(self.0.last()).map(|x| x.0.as_str())
    }
}

/// One call to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Shot {
    /// When, in microseconds since the start.
    pub at: Micros,
    pub function: String,
    pub tenant: Option<String>,
    /// Bytes of its body.
    pub size: usize,
}

/// A sequence of calls; equal values give equal calls.
#[derive(Clone, Debug)]
pub struct Plan {
    shape: Shape,
    rate: f64,
    span: Micros,
    functions: Mix,
    tenants: Mix,
    sizes: (usize, usize),
    random: ChaCha8Rng,
    next: f64,
    replayed: usize,
}

impl Plan {
    /// Calls at `rate` a second for `span` microseconds.
    pub fn new(
        shape: Shape,
        rate: f64,
        span: Micros,
        functions: Mix,
        tenants: Mix,
        sizes: (usize, usize),
        seed: u64,
    ) -> Result<Plan, PlanError> {
        if !(rate > 0.0 && rate <= 1e6) {
            return Err(PlanError::Rate(rate.to_string()));
        }
        let random = ChaCha8Rng::seed_from_u64(seed);
        Ok(Plan { shape, rate, span, functions, tenants, sizes, random, next: 0.0, replayed: 0 })
    }

    /// `BYTES` or `LEAST-MOST`.
    pub fn sizes(text: &str) -> Result<(usize, usize), PlanError> {
        let wrong = || PlanError::Size(text.to_string());
        let (least, most) = text.split_once('-').unwrap_or((text, text));
        let sizes = (least.parse().map_err(|_| wrong())?, most.parse().map_err(|_| wrong())?);
        (sizes.0 <= sizes.1 && sizes.1 <= 64 << 20).then_some(sizes).ok_or_else(wrong)
    }

    fn part(&mut self) -> f64 {
        self.random.random()
    }

    fn due(&mut self) -> Option<(Micros, Option<String>, usize)> {
        if let Shape::Replay(shots) = &self.shape {
            self.replayed += 1;
            return shots.get(self.replayed - 1).cloned();
        }
        loop {
            let gap = S / self.rate;
            if self.shape == Shape::Constant {
                let at = self.next as Micros;
                self.next += gap;
                return (at < self.span).then_some((at, None, 0));
            }
            // Thinning: drawn at the greatest rate, kept in proportion.
            let most = match &self.shape {
                Shape::Ramp { from, to } => from.max(*to),
                Shape::Burst { times, .. } => times.max(1.0),
                Shape::Day => 1.2,
                _ => 1.0,
            };
            let drawn = -(1.0 - self.part()).ln();
            self.next += drawn * gap / most.max(1e-9);
            let at = self.next as Micros;
            if at >= self.span {
                return None;
            }
            let times = self.shape.times(at, self.next / self.span as f64);
            if self.part() * most < times {
                return Some((at, None, 0));
            }
        }
    }
}

impl Iterator for Plan {
    type Item = Shot;
    fn next(&mut self) -> Option<Shot> {
        let (at, function, size) = self.due()?;
        let (f, t, s) = (self.part(), self.part(), self.part());
        let drawn = self.functions.draw(f).unwrap_or("").to_string();
        let (least, most) = self.sizes;
        let size = if size > 0 { size } else { least + (s * (most - least + 1) as f64) as usize };
        let tenant = self.tenants.draw(t).map(str::to_string);
        Some(Shot { at, function: function.unwrap_or(drawn), tenant, size: size.min(64 << 20) })
    }
}
