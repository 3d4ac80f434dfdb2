//! The watched file of retired functions, one per line, and the task that proposes each new line:
//!
//! ```text
//! # NAME GENERATION [successor=NAME] [reason=WORDS]
//! free-times 1 successor=free-times-two reason=replaced by the new model
//! ```
//!
//! A last line without a line end is still being written and is ignored. A line that was proposed stays proposed even
//! if it is removed from the file: a retirement is permanent.

use super::retirement_states;
use stagehoist_cluster_state::{ClusterStatus, ClusterView, Retirement, RetirementMode};
use stagehoist_config::Config;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tokio::sync::{mpsc, watch};

/// Interval at which the file's size, modification time and inode number are checked. The file is read when they
/// changed, and once in [`POLLS_BETWEEN_READS`] checks regardless: two changes within a tick of the file system's
/// clock may look alike.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
const POLLS_BETWEEN_READS: u32 = 8;
/// Maximum size of the file in bytes, and maximum number of lines that are read from it.
const MAX_FILE_SIZE: u64 = 4 << 20;
const MAX_LINES: usize = 20_000;
/// Maximum number of recorded faults; each recorded fault is reported once.
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

/// Parses the complete lines of a text; returns them, and for each malformed line its number and the error.
pub fn parse(text: &str) -> (Vec<Line>, Vec<(usize, String)>) {
    // Text after the last line end is incomplete.
    let complete = text.rfind('\n').map_or("", |end| &text[..end]);
    let (mut lines, mut faults) = (Vec::new(), Vec::new());
    for (number, line) in complete.split('\n').enumerate() {
        if lines.len() >= MAX_LINES {
            faults
                .push((number + 1, format!("the file has more than {MAX_LINES} lines; the rest is ignored")));
            break;
        }
        match parse_line(line) {
            Ok(line) => lines.extend(line),
            Err(error) => faults.push((number + 1, error)),
        }
    }
    (lines, faults)
}

fn parse_line(line: &str) -> Result<Option<Line>, String> {
    let mut words = line.split_whitespace().take_while(|w| !w.starts_with('#'));
    let Some(function) = words.next() else { return Ok(None) };
    if function.chars().any(char::is_control) || function.len() > 255 {
        return Err("the function's name is longer than 255 bytes or contains control characters".into());
    }
    let generation = words.next().ok_or("the generation is missing")?;
    let generation = match generation.parse::<u32>() {
        Ok(n) if n > 0 => n,
        _ => return Err(format!("the generation is {generation:?}, expected a whole number of at least 1")),
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
            _ => return Err(format!("the line contains the unknown or repeated word {word:?}")),
        }
    }
    let mut reason = reason.unwrap_or_default();
    let most = (0..=200).rev().find(|n| reason.is_char_boundary(*n)).unwrap_or(0);
    reason.truncate(most);
    Ok(Some(Line { function: function.into(), generation, successor, reason }))
}

/// Tracks which lines of a file were proposed.
#[derive(Debug, Default)]
pub struct Proposer {
    text: String,
    lines: Vec<Line>,
    proposed: BTreeMap<String, u32>,
    /// Proposed retirements that no view has shown yet.
    unseen: BTreeMap<String, u32>,
    faults: BTreeSet<(usize, String)>,
}

impl Proposer {
    /// Applies the text of the file; returns the faults that were not reported before.
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

    /// Returns the lines not proposed yet, in the order of the file.
    pub fn pending(&self) -> impl Iterator<Item = &Line> + '_ {
        let known = |l: &Line| self.proposed.get(&l.function).is_some_and(|g| *g >= l.generation);
        self.lines.iter().filter(move |l| !known(l))
    }

    /// Records that a line was passed to the session.
    pub fn on_proposed(&mut self, line: &Line) {
        if self.proposed.len() < MAX_LINES || self.proposed.contains_key(&line.function) {
            self.proposed.insert(line.function.clone(), line.generation);
            self.unseen.insert(line.function.clone(), line.generation);
        }
    }

    /// Returns the requested retirements that no view has shown yet, so that they are not in force anywhere:
    /// proposed, or still to be proposed.
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

/// Returns the metadata by which a change of a file is detected without reading it.
async fn file_state(path: &PathBuf) -> Option<(u64, u64, SystemTime)> {
    use std::os::unix::fs::MetadataExt;
    let found = tokio::fs::metadata(path).await.ok()?;
    Some((found.ino(), found.len(), found.modified().ok()?))
}

async fn read(path: &PathBuf) -> std::io::Result<String> {
    use tokio::io::AsyncReadExt;
    let mut bytes = Vec::new();
    tokio::fs::File::open(path).await?.take(MAX_FILE_SIZE + 1).read_to_end(&mut bytes).await?;
    if bytes.len() as u64 > MAX_FILE_SIZE {
        return Err(std::io::Error::new(std::io::ErrorKind::FileTooLarge, "the file is too large"));
    }
    // A line that is not valid UTF-8 is a fault by itself; the other lines are still used.
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Follows the file and updates the state file beside it, until the session has ended or the future is dropped.
pub async fn follow(
    config: Config,
    path: PathBuf,
    mut status: watch::Receiver<ClusterStatus>,
    retire: mpsc::Sender<Retirement>,
) {
    let mut proposer = Proposer::default();
    let (mut read_failing, mut seen, mut polls) = (false, None, 0);
    let mut poll_timer = tokio::time::interval(POLL_INTERVAL);
    poll_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let has_new_status = tokio::select! {
            _ = poll_timer.tick() => false,
            changed = status.changed() => {
                if changed.is_err() {
                    return;
                }
                true
            }
        };
        let newest = file_state(&path).await;
        let can_propose = retire.capacity() > 0 && proposer.pending().next().is_some();
        let idle = !has_new_status && !can_propose && newest == seen && polls % POLLS_BETWEEN_READS != 0;
        polls = if has_new_status { polls } else { (polls + 1) % POLLS_BETWEEN_READS };
        if idle {
            continue;
        }
        seen = newest;
        match read(&path).await {
            Ok(text) => {
                read_failing = false;
                for (line, what) in proposer.read(text) {
                    tracing::warn!(file = %path.display(), line, what, expected = EXPECTED, "malformed line in the file of retirements");
                }
            }
            Err(e) if !std::mem::replace(&mut read_failing, true) => {
                tracing::warn!(file = %path.display(), error = %e, "can't read the file of retirements; using the last content");
            }
            Err(_) => {}
        }
        propose(&config, &mut proposer, &retire);
        let view = status.borrow_and_update().view.clone();
        if let Err(e) = retirement_states::update(&path, &view, &proposer.outstanding(&view), now_ms()).await
        {
            tracing::warn!(file = %path.display(), error = %e, "can't write the state file of the retirements");
        }
    }
}

/// Passes as many lines to the session as its channel has capacity for now; the others follow at the next check.
fn propose(config: &Config, proposer: &mut Proposer, retire: &mpsc::Sender<Retirement>) {
    let ready: Vec<Line> = proposer.pending().take(retire.capacity()).cloned().collect();
    for line in ready {
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
                "proposing the retirement of a function that is not configured"
            );
        }
        tracing::info!(function = line.function, generation = line.generation, "retirement proposed");
        proposer.on_proposed(&line);
    }
}
