//! The watched file of retired functions, one a line, and the task that proposes each new line:
//!
//! ```text
//! # NAME GENERATION [successor=NAME] [reason=WORDS]
//! free-times 1 successor=free-times-two reason=replaced by the new model
//! ```
//!
//! A last line without its end is still being written, and not taken. A line that was proposed stays proposed though it is
//! taken out of the file: a retirement is for good.

use super::retirement_states;
use stagehoist_cluster_state::{ClusterStatus, ClusterView, Retirement, RetirementMode};
use stagehoist_config::Config;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tokio::sync::{mpsc, watch};

/// How often the file's size, time and number are looked at. It is read when they changed, and once in so many looks
/// whatever they say: two changes within a tick of the file system's clock may look alike.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
const POLLS_BETWEEN_READS: u32 = 8;
/// Largest file, in bytes, and most lines that are taken of it.
const MAX_FILE_SIZE: u64 = 4 << 20;
const MAX_LINES: usize = 20_000;
/// Faults kept in mind so that each is reported once.
const MAX_FAULTS: usize = 1000;
const EXPECTED: &str = "NAME GENERATION [successor=NAME] [reason=WORDS]";

/// A line of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    pub function: String,
    pub generation: u32,
    pub successor: Option<String>,
    pub reason: String,
}

/// The whole lines of a text; of a line at fault its number and what is wrong.
pub fn parse(text: &str) -> (Vec<Line>, Vec<(usize, String)>) {
    // What follows the last line end is not whole.
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let (mut lines, mut faults) = (Vec::new(), Vec::new());
    for (number, line) in whole.split('\n').enumerate() {
        if lines.len() >= MAX_LINES {
            faults.push((number + 1, format!("more than {MAX_LINES} lines; the rest is not taken")));
            break;
        }
        match parse_line(line) {
            Ok(line) => lines.extend(line),
            Err(what) => faults.push((number + 1, what)),
        }
    }
    (lines, faults)
}

fn parse_line(line: &str) -> Result<Option<Line>, String> {
    let mut words = line.split_whitespace().take_while(|w| !w.starts_with('#'));
    let Some(function) = words.next() else { return Ok(None) };
    if function.chars().any(char::is_control) || function.len() > 255 {
        return Err("the name is longer than 255 bytes or holds control characters".into());
    }
    let generation = words.next().ok_or("the generation is missing")?;
    let generation = match generation.parse::<u32>() {
        Ok(n) if n > 0 => n,
        _ => return Err(format!("generation is {generation:?}, expected a whole number from 1")),
    };
    let (mut successor, mut reason): (Option<String>, Option<String>) = (None, None);
    for word in words {
        match (&mut reason, word.split_once('=')) {
            (Some(reason), _) => {
                reason.push(' ');
                reason.push_str(word);
            }
            (None, Some(("successor", name))) if !name.is_empty() && successor.is_none() => {
                successor = Some(name.into());
            }
            (None, Some(("reason", first))) => reason = Some(first.into()),
            _ => return Err(format!("unknown word {word:?}")),
        }
    }
    let mut reason = reason.unwrap_or_default();
    let most = (0..=200).rev().find(|n| reason.is_char_boundary(*n)).unwrap_or(0);
    reason.truncate(most);
    Ok(Some(Line { function: function.into(), generation, successor, reason }))
}

/// What of a file was proposed already.
#[derive(Debug, Default)]
pub struct Proposer {
    text: String,
    lines: Vec<Line>,
    proposed: BTreeMap<String, u32>,
    /// Those of them that no view has shown yet.
    unseen: BTreeMap<String, u32>,
    faults: BTreeSet<(usize, String)>,
}

impl Proposer {
    /// A file was read; the faults that were not told before.
    pub fn read(&mut self, text: String) -> Vec<(usize, String)> {
        if text == self.text {
            return Vec::new();
        }
        let (lines, faults) = parse(&text);
        (self.text, self.lines) = (text, lines);
        let faults: BTreeSet<_> = faults.into_iter().take(MAX_FAULTS).collect();
        let new = faults.difference(&self.faults).cloned().collect();
        self.faults = faults;
        new
    }

    /// Lines not proposed yet, in the order of the file.
    pub fn pending(&self) -> impl Iterator<Item = &Line> + '_ {
        let known = |l: &Line| self.proposed.get(&l.function).is_some_and(|g| *g >= l.generation);
        self.lines.iter().filter(move |l| !known(l))
    }

    /// A line was handed to the session.
    pub fn on_proposed(&mut self, line: &Line) {
        if self.proposed.len() < MAX_LINES || self.proposed.contains_key(&line.function) {
            self.proposed.insert(line.function.clone(), line.generation);
            self.unseen.insert(line.function.clone(), line.generation);
        }
    }

    /// What was asked for and no view has shown so far, so that it is not in force anywhere: proposed, or still to be.
    pub fn outstanding(&mut self, view: &ClusterView) -> BTreeMap<String, u32> {
        let is_shown = |function: &str, generation| view.retired(function, generation).is_some();
        self.unseen.retain(|function, generation| !is_shown(function, *generation));
        let mut outstanding = self.unseen.clone();
        for line in self.pending().filter(|l| !is_shown(&l.function, l.generation)) {
            let highest = outstanding.entry(line.function.clone()).or_default();
            *highest = line.generation.max(*highest);
        }
        outstanding
    }
}

fn now_ms() -> i64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
}

/// What tells one state of a file from another without reading it.
async fn stamp(path: &PathBuf) -> Option<(u64, u64, SystemTime)> {
    use std::os::unix::fs::MetadataExt;
    let found = tokio::fs::metadata(path).await.ok()?;
    Some((found.ino(), found.len(), found.modified().ok()?))
}

async fn read(path: &PathBuf) -> std::io::Result<String> {
    use tokio::io::AsyncReadExt;
    let mut bytes = Vec::new();
    tokio::fs::File::open(path).await?.take(MAX_FILE_SIZE + 1).read_to_end(&mut bytes).await?;
    if bytes.len() as u64 > MAX_FILE_SIZE {
        return Err(std::io::Error::new(std::io::ErrorKind::FileTooLarge, "too large"));
    }
    // A line that is no text is at fault by itself; the others count.
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Follows the file and keeps the one beside it up to date, until the session is gone or the future is dropped.
pub async fn follow(
    config: Config,
    path: PathBuf,
    mut status: watch::Receiver<ClusterStatus>,
    retire: mpsc::Sender<Retirement>,
) {
    let mut proposer = Proposer::default();
    let (mut failing, mut seen, mut looks) = (false, None, 0);
    let mut look = tokio::time::interval(POLL_INTERVAL);
    look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let told = tokio::select! {
            _ = look.tick() => false,
            changed = status.changed() => {
                if changed.is_err() {
                    return;
                }
                true
            }
        };
        let newest = stamp(&path).await;
        let waits = retire.capacity() > 0 && proposer.pending().next().is_some();
        let idle = !told && !waits && newest == seen && looks % POLLS_BETWEEN_READS != 0;
        looks = if told { looks } else { (looks + 1) % POLLS_BETWEEN_READS };
        if idle {
            continue;
        }
        seen = newest;
        match read(&path).await {
            Ok(text) => {
                failing = false;
                for (line, what) in proposer.read(text) {
                    tracing::warn!(file = %path.display(), line, what, expected = EXPECTED, "not a retirement");
                }
            }
            Err(e) if !std::mem::replace(&mut failing, true) => {
                tracing::warn!(file = %path.display(), error = %e, "can't read the retirements; what was read stands");
            }
            Err(_) => {}
        }
        propose(&config, &mut proposer, &retire);
        let view = status.borrow_and_update().view.clone();
        if let Err(e) = retirement_states::keep(&path, &view, &proposer.outstanding(&view), now_ms()).await {
            tracing::warn!(file = %path.display(), error = %e, "can't write the states of the retirements");
        }
    }
}

/// Hands over as many lines as the session takes now; the others at the next look.
fn propose(config: &Config, proposer: &mut Proposer, retire: &mpsc::Sender<Retirement>) {
    let open: Vec<Line> = proposer.pending().take(retire.capacity()).cloned().collect();
    for line in open {
        let known = config.function(&line.function);
        let strict = known.is_some_and(|f| f.strict);
        let retirement = Retirement {
            function: line.function.clone(),
            generation: line.generation,
            successor: line.successor.clone(),
            reason: line.reason.clone(),
            mode: if strict { RetirementMode::Strict } else { RetirementMode::Available },
            requested_ms: now_ms(),
        };
        if retire.try_send(retirement).is_err() {
            return;
        }
        if known.is_none() {
            tracing::warn!(
                function = line.function,
                "retired, though this configuration has no such function"
            );
        }
        tracing::info!(function = line.function, generation = line.generation, "retirement proposed");
        proposer.on_proposed(&line);
    }
}
