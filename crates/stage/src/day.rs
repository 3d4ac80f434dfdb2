//! A scripted day of trouble, as a text file: what stands, what callers send, and what goes wrong when.
//!
//! ```text
//! halls 3
//! workers 12
//! front-ends 3
//! rate 150/s
//! length 60s
//! at 5s worker w3 drain for 6s list-lag 2s
//! at 9s hall hall-b vanish for 5s
//! at 12s store slow 600% for 6s
//! ```

use stagehoist_config::{parse_duration, Position};
use std::time::Duration;

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// A worker drains; the list says so `lag` later; after the span it serves again.
    Drain {
        worker: String,
        span: Duration,
        lag: Duration,
    },
    /// All workers of a hall die and come back cold after the span.
    Vanish {
        hall: String,
        span: Duration,
    },
    /// One worker dies and comes back cold after the span.
    Die {
        worker: String,
        span: Duration,
    },
    StoreSlow {
        percent: u64,
        span: Duration,
    },
    /// So many percent of all workers' answers never arrive.
    LoseAnswers {
        percent: u32,
        span: Duration,
    },
    /// A worker's answers: connections reset after the request, stalled, garbage, or truncated.
    Reset {
        worker: String,
        percent: u32,
        span: Duration,
    },
    Stall {
        worker: String,
        span: Duration,
    },
    Garbage {
        worker: String,
        percent: u32,
        span: Duration,
    },
    Truncate {
        worker: String,
        percent: u32,
        span: Duration,
    },
    /// A worker's answers come so much later.
    Late {
        worker: String,
        by: Duration,
        span: Duration,
    },
    /// A worker runs slower, or fails quickly.
    Slow {
        worker: String,
        percent: u64,
        span: Duration,
    },
    Fail {
        worker: String,
        percent: u64,
        span: Duration,
    },
    /// The broker cuts the front ends' connections: in the middle of a reply, after routing it, or of a delivery.
    BrokerCut {
        how: Cut,
    },
    BrokerDelay {
        by: Duration,
        span: Duration,
    },
    BrokerDeaf {
        span: Duration,
    },
    BrokerBlocked {
        span: Duration,
    },
    BrokerFlow {
        span: Duration,
    },
    BrokerRestart,
    ListFails {
        span: Duration,
    },
    ListLags {
        by: Duration,
        span: Duration,
    },
    ListFlaps {
        worker: String,
        span: Duration,
    },
    ListIndexResets,
    /// Callers send so many times as much.
    Flood {
        times: f64,
        span: Duration,
    },
    /// A front end's process is stopped and goes on.
    Stop {
        front_end: u32,
        span: Duration,
    },
    /// A front end's process is told to end in order, and a new one starts.
    Terminate {
        front_end: u32,
    },
    /// A front end's process is killed, and a new one starts.
    Kill {
        front_end: u32,
    },
}

/// Where the broker cuts a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    BeforeRouting,
    BeforeConfirm,
    MidDelivery,
}

/// A day.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    pub halls: u32,
    pub workers: u32,
    pub front_ends: u32,
    /// Calls a second.
    pub rate: f64,
    pub length: Duration,
    pub seed: u64,
    /// Workers load a missing function when a call finds it so; else only a front end's order brings it.
    pub load_on_miss: bool,
    /// Replies and acknowledgements in transactions, in place of publisher confirms.
    pub transactions: bool,
    /// The broker stamps messages with the time at which it takes them.
    pub stamps: bool,
    pub troubles: Vec<(Duration, Trouble)>,
}

impl Default for Day {
    fn default() -> Day {
        Day {
            halls: 3,
            workers: 12,
            front_ends: 3,
            rate: 150.0,
            length: Duration::from_secs(60),
            seed: 7,
            load_on_miss: true,
            transactions: false,
            stamps: true,
            troubles: Vec::new(),
        }
    }
}

/// What is wrong with a day file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{at}: {what}; expected {expected}")]
pub struct DayFault {
    pub at: Position,
    pub what: String,
    pub expected: String,
}

struct Words<'a> {
    line: &'a str,
    words: Vec<(usize, &'a str)>,
    next: usize,
}

type Step<T> = Result<T, (usize, String, &'static str)>;

impl<'a> Words<'a> {
    fn new(line: &'a str) -> Words<'a> {
        let line = line.split('#').next().unwrap_or("");
        let words = line.split_whitespace().map(|w| (w.as_ptr() as usize - line.as_ptr() as usize + 1, w));
        Words { line, words: words.collect(), next: 0 }
    }
    fn word(&mut self, expected: &'static str) -> Step<&'a str> {
        let word = self.words.get(self.next).copied();
        self.next += 1;
        word.map(|w| w.1).ok_or((self.line.len() + 1, "the line ends".into(), expected))
    }
    fn wrong<T>(&self, expected: &'static str) -> Step<T> {
        let (column, word) = self.words.get(self.next - 1).copied().unwrap_or((1, ""));
        Err((column, format!("found {word:?}"), expected))
    }
    fn is(&mut self, word: &str, expected: &'static str) -> Step<()> {
        if self.word(expected)? == word {
            return Ok(());
        }
        self.wrong(expected)
    }
    fn duration(&mut self) -> Step<Duration> {
        let expected = "a duration with its unit, such as 2s";
        match parse_duration(self.word(expected)?) {
            Some(micros) => Ok(Duration::from_micros(micros as u64)),
            None => self.wrong(expected),
        }
    }
    fn span(&mut self) -> Step<Duration> {
        self.is("for", "for and a duration")?;
        self.duration()
    }
    fn number<T: std::str::FromStr>(&mut self, suffix: &str, expected: &'static str) -> Step<T> {
        let word = self.word(expected)?;
        match word.strip_suffix(suffix).and_then(|n| n.parse().ok()) {
            Some(number) => Ok(number),
            None => self.wrong(expected),
        }
    }
    fn percent<T: std::str::FromStr>(&mut self) -> Step<T> {
        self.number("%", "a share such as 33%")
    }
    fn end(&self) -> Step<()> {
        match self.words.get(self.next) {
            None => Ok(()),
            Some((column, word)) => Err((*column, format!("found {word:?}"), "the end of the line")),
        }
    }
}

impl Day {
    /// Reads a day file; all faults at once.
    pub fn parse(file: &str, text: &str) -> Result<Day, Vec<DayFault>> {
        let mut day = Day::default();
        let mut faults = Vec::new();
        for (number, line) in text.lines().enumerate() {
            let mut words = Words::new(line);
            if words.words.is_empty() {
                continue;
            }
            if let Err((column, what, expected)) = day.line(&mut words).and_then(|()| words.end()) {
                let at = Position { file: file.into(), line: number + 1, column };
                faults.push(DayFault { at, what, expected: expected.into() });
            }
        }
        day.troubles.sort_by_key(|t| t.0);
        for (at, trouble) in &day.troubles {
            let names_front_end = match trouble {
                Trouble::Stop { front_end, .. }
                | Trouble::Terminate { front_end }
                | Trouble::Kill { front_end } => Some(*front_end),
                _ => None,
            };
            if names_front_end.is_some_and(|f| f >= day.front_ends) {
                let at = Position { file: file.into(), line: 1, column: 1 };
                let what = format!("{trouble:?} names a front end that does not stand");
                faults.push(DayFault { at, what, expected: format!("0 to {}", day.front_ends - 1) });
            }
            if *at >= day.length {
                let at = Position { file: file.into(), line: 1, column: 1 };
                let what = format!("{trouble:?} comes after the end of the day");
                faults.push(DayFault { at, what, expected: format!("a time before {:?}", day.length) });
            }
        }
        if faults.is_empty() {
            Ok(day)
        } else {
            Err(faults)
        }
    }

    fn line(&mut self, w: &mut Words<'_>) -> Step<()> {
        match w.word("a directive")? {
            "halls" => self.halls = w.number("", "a number of halls")?,
            "workers" => self.workers = w.number("", "a number of workers")?,
            "front-ends" => self.front_ends = w.number("", "a number of front ends")?,
            "seed" => self.seed = w.number("", "a whole number")?,
            "rate" => self.rate = w.number("/s", "a rate such as 150/s")?,
            "on-miss" => {
                self.load_on_miss = match w.word("load or miss")? {
                    "load" => true,
                    "miss" => false,
                    _ => return w.wrong("load or miss"),
                };
            }
            "replies" => {
                self.transactions = match w.word("confirm or transaction")? {
                    "confirm" => false,
                    "transaction" => true,
                    _ => return w.wrong("confirm or transaction"),
                };
            }
            "stamps" => {
                self.stamps = match w.word("yes or no")? {
                    "yes" => true,
                    "no" => false,
                    _ => return w.wrong("yes or no"),
                };
            }
            "length" => self.length = w.duration()?,
            "at" => {
                let at = w.duration()?;
                let trouble = trouble(w)?;
                self.troubles.push((at, trouble));
            }
            _ => {
                return w
                    .wrong("halls, workers, front-ends, seed, rate, on-miss, replies, stamps, length or at")
            }
        }
        Ok(())
    }

    /// The same day in a fraction of its time: moments and spans shrink alike, but no span under 400 ms, as shorter ones
    /// would pass between two calls.
    pub fn shortened(mut self, to: Duration) -> Day {
        const LEAST: Duration = Duration::from_millis(400);
        let part = to.as_secs_f64() / self.length.as_secs_f64();
        self.length = to;
        for (at, trouble) in &mut self.troubles {
            *at = at.mul_f64(part);
            if let Some(span) = trouble.span_mut() {
                *span = span.mul_f64(part.min(1.0)).max(LEAST.min(*span));
            }
        }
        self
    }
}

impl Trouble {
    fn span_mut(&mut self) -> Option<&mut Duration> {
        match self {
            Trouble::Drain { span, .. }
            | Trouble::Vanish { span, .. }
            | Trouble::Die { span, .. }
            | Trouble::StoreSlow { span, .. }
            | Trouble::LoseAnswers { span, .. }
            | Trouble::Reset { span, .. }
            | Trouble::Stall { span, .. }
            | Trouble::Garbage { span, .. }
            | Trouble::Truncate { span, .. }
            | Trouble::Late { span, .. }
            | Trouble::Slow { span, .. }
            | Trouble::Fail { span, .. }
            | Trouble::BrokerDelay { span, .. }
            | Trouble::BrokerDeaf { span }
            | Trouble::BrokerBlocked { span }
            | Trouble::BrokerFlow { span }
            | Trouble::ListFails { span }
            | Trouble::ListLags { span, .. }
            | Trouble::ListFlaps { span, .. }
            | Trouble::Flood { span, .. }
            | Trouble::Stop { span, .. } => Some(span),
            Trouble::BrokerCut { .. }
            | Trouble::BrokerRestart
            | Trouble::ListIndexResets
            | Trouble::Terminate { .. }
            | Trouble::Kill { .. } => None,
        }
    }
}

fn trouble(w: &mut Words<'_>) -> Step<Trouble> {
    match w.word("worker, hall, store, answers, broker, list, flood or front-end")? {
        "worker" => {
            let worker = w.word("a worker's name")?.to_string();
            let what = w.word("drain, die, reset, stall, garbage, truncate, late, slow or fail")?;
            Ok(match what {
                "drain" => {
                    let span = w.span()?;
                    w.is("list-lag", "list-lag and a duration")?;
                    Trouble::Drain { worker, span, lag: w.duration()? }
                }
                "die" => Trouble::Die { worker, span: w.span()? },
                "reset" => Trouble::Reset { worker, percent: w.percent()?, span: w.span()? },
                "stall" => Trouble::Stall { worker, span: w.span()? },
                "garbage" => Trouble::Garbage { worker, percent: w.percent()?, span: w.span()? },
                "truncate" => Trouble::Truncate { worker, percent: w.percent()?, span: w.span()? },
                "late" => Trouble::Late { worker, by: w.duration()?, span: w.span()? },
                "slow" => Trouble::Slow { worker, percent: w.percent()?, span: w.span()? },
                "fail" => Trouble::Fail { worker, percent: w.percent()?, span: w.span()? },
                _ => return w.wrong("drain, die, reset, stall, garbage, truncate, late, slow or fail"),
            })
        }
        "hall" => {
            let hall = w.word("a hall's name")?.to_string();
            w.is("vanish", "vanish")?;
            Ok(Trouble::Vanish { hall, span: w.span()? })
        }
        "store" => {
            w.is("slow", "slow and a share such as 600%")?;
            Ok(Trouble::StoreSlow { percent: w.percent()?, span: w.span()? })
        }
        "answers" => {
            w.is("lost", "lost and a share")?;
            Ok(Trouble::LoseAnswers { percent: w.percent()?, span: w.span()? })
        }
        "broker" => Ok(
            match w.word("cut-reply, cut-confirm, cut-delivery, delay, deaf, blocked, flow or restart")? {
                "cut-reply" => Trouble::BrokerCut { how: Cut::BeforeRouting },
                "cut-confirm" => Trouble::BrokerCut { how: Cut::BeforeConfirm },
                "cut-delivery" => Trouble::BrokerCut { how: Cut::MidDelivery },
                "delay" => Trouble::BrokerDelay { by: w.duration()?, span: w.span()? },
                "deaf" => Trouble::BrokerDeaf { span: w.span()? },
                "blocked" => Trouble::BrokerBlocked { span: w.span()? },
                "flow" => Trouble::BrokerFlow { span: w.span()? },
                "restart" => Trouble::BrokerRestart,
                _ => {
                    return w
                        .wrong("cut-reply, cut-confirm, cut-delivery, delay, deaf, blocked, flow or restart")
                }
            },
        ),
        "list" => Ok(match w.word("fails, lags, flaps or index-resets")? {
            "fails" => Trouble::ListFails { span: w.span()? },
            "lags" => Trouble::ListLags { by: w.duration()?, span: w.span()? },
            "flaps" => {
                let worker = w.word("a worker's name")?.to_string();
                Trouble::ListFlaps { worker, span: w.span()? }
            }
            "index-resets" => Trouble::ListIndexResets,
            _ => return w.wrong("fails, lags, flaps or index-resets"),
        }),
        "flood" => Ok(Trouble::Flood { times: w.number("x", "a multiple such as 5x")?, span: w.span()? }),
        "front-end" => {
            let front_end = w.number("", "a front end's number")?;
            Ok(match w.word("stop, terminate or kill")? {
                "stop" => Trouble::Stop { front_end, span: w.span()? },
                "terminate" => Trouble::Terminate { front_end },
                "kill" => Trouble::Kill { front_end },
                _ => return w.wrong("stop, terminate or kill"),
            })
        }
        _ => w.wrong("worker, hall, store, answers, broker, list, flood or front-end"),
    }
}
