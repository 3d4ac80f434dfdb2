//! The file beside the retirements, `FILE.state`, which tells how far each has come:
//!
//! ```text
//! free-times 1 in-force 1700000000123
//! recurring 2 in-force 1700000000456 but-for b/0,b/1
//! offers 1 proposed 1700000000789
//! spares 1 not-in-force 1700000000790
//! # version 17
//! ```
//!
//! `not-in-force` is one that the cluster state has not taken, as where it is full: it is proposed again until it is.
//! The time is when a process that wrote the file first saw that state, in milliseconds since 1970. Several processes may
//! keep one file: what is there is replaced only by a later view, or where it is lost or damaged.

use stagehoist_cluster_state::{ClusterView, Tombstone, TombstoneState};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// What a file of states holds: by function its state's words and time, and the view that they are of.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct States {
    pub version: u64,
    pub lines: BTreeMap<String, (String, i64)>,
}

/// The words of a state, as they stand before and after its time.
fn words(tombstone: &Tombstone) -> (String, String) {
    let generation = tombstone.retirement.generation;
    match &tombstone.state {
        TombstoneState::Proposed => (format!("{generation} proposed"), String::new()),
        TombstoneState::InForce { but_for } if but_for.is_empty() => {
            (format!("{generation} in-force"), String::new())
        }
        TombstoneState::InForce { but_for } => {
            let names: Vec<&str> = but_for.iter().map(|m| m.name.as_str()).collect();
            (format!("{generation} in-force"), format!(" but-for {}", names.join(",")))
        }
    }
}

/// Reads a file; None where it is damaged.
pub fn parse(text: &str) -> Option<States> {
    let mut states = States::default();
    let mut lines = text.strip_suffix('\n')?.split('\n').rev();
    states.version = lines.next()?.strip_prefix("# version ")?.parse().ok()?;
    for line in lines {
        let mut parts = line.split(' ');
        let (name, generation, state) = (parts.next()?, parts.next()?, parts.next()?);
        let ms: i64 = parts.next()?.parse().ok()?;
        let rest: Vec<&str> = parts.collect();
        generation.parse::<u32>().ok()?;
        let known = match (state, &rest[..]) {
            ("proposed" | "in-force" | "not-in-force", []) => format!("{generation} {state}"),
            ("in-force", ["but-for", names]) => format!("{generation} {state} but-for {names}"),
            _ => return None,
        };
        states.lines.insert(name.into(), (known, ms));
    }
    Some(states)
}

/// The state of what the cluster state has not taken.
fn unmet(generation: u32) -> (String, String) {
    (format!("{generation} not-in-force"), String::new())
}

/// The file of a view and of what it does not show though it was asked for; a state that stood before keeps its time.
pub fn render(
    view: &ClusterView,
    outstanding: &BTreeMap<String, u32>,
    before: &States,
    now_ms: i64,
) -> String {
    let mut text = String::new();
    let mut states: BTreeMap<&String, _> = outstanding.iter().map(|(name, g)| (name, unmet(*g))).collect();
    // A lower generation that is in force says more than a higher one that waits.
    states.extend(view.tombstones.iter().map(|(name, tombstone)| (name, words(tombstone))));
    for (name, (state, rest)) in states {
        let since = before.lines.get(name).filter(|(known, _)| *known == format!("{state}{rest}"));
        let ms = since.map_or(now_ms, |(_, ms)| *ms);
        text.push_str(&format!("{name} {state} {ms}{rest}\n"));
    }
    text.push_str(&format!("# version {}\n", view.version));
    text
}

/// Brings the file up to date, if its view is older, it lacks something outstanding, or it is lost or damaged. What
/// another process wrote of the same view as outstanding stays. Nothing is written before any view came.
pub async fn keep(
    retirements: &Path,
    view: &ClusterView,
    outstanding: &BTreeMap<String, u32>,
    now_ms: i64,
) -> io::Result<()> {
    if view.version == 0 {
        return Ok(());
    }
    let path = beside(retirements, ".state");
    let known = match tokio::fs::read(&path).await {
        Ok(bytes) => String::from_utf8(bytes).ok().and_then(|text| parse(&text)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => return Err(e),
    };
    let known = known.unwrap_or_default();
    let mut outstanding = outstanding.clone();
    if known.version == view.version {
        let told = known.lines.iter().filter_map(|(name, (words, _))| {
            Some((name, words.strip_suffix(" not-in-force")?.parse::<u32>().ok()?))
        });
        for (name, generation) in told {
            let highest = outstanding.entry(name.clone()).or_default();
            *highest = generation.max(*highest);
        }
    }
    let lacks = |(name, generation): (&String, &u32)| {
        !view.tombstones.contains_key(name)
            && known.lines.get(name).is_none_or(|(words, _)| *words != unmet(*generation).0)
    };
    if known.version > view.version || known.version == view.version && !outstanding.iter().any(lacks) {
        return Ok(());
    }
    let text = render(view, &outstanding, &known, now_ms);
    let temp = beside(retirements, &format!(".state.{}.new", std::process::id()));
    let written = write(&temp, &path, text.as_bytes()).await;
    if written.is_err() {
        // What is left of it is of no use; the file itself still stands.
        let _ = tokio::fs::remove_file(&temp).await;
    }
    written
}

async fn write(temp: &Path, path: &Path, bytes: &[u8]) -> io::Result<()> {
    // Not flushed to the disk: that took over a second where others wrote much, and the cluster state is what is kept. What a power
    // loss leaves is whole and older, or shows that it is damaged; either is replaced.
    tokio::fs::write(temp, bytes).await?;
    tokio::fs::rename(temp, path).await
}

fn beside(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(ending);
    name.into()
}
