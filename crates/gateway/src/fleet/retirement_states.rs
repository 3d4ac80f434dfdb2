//! The file `FILE.state` beside the file of retirements. It holds the state of each retirement:
//!
//! ```text
//! free-times 1 in-force 1700000000123
//! recurring 2 in-force 1700000000456 but-for b/0,b/1
//! offers 1 proposed 1700000000789
//! spares 1 not-in-force 1700000000790
//! # version 17
//! ```
//!
//! `not-in-force` marks a retirement that the cluster state has not accepted, for example because it is full; it is
//! proposed again until it is accepted. The time is when a process that wrote the file first saw that state, in
//! milliseconds since 1970. Several processes may maintain the same file: its content is replaced only by that of a
//! later view, or if it is lost or damaged.

use stagehoist_cluster_state::{ClusterView, Tombstone, TombstoneState};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// Content of a state file: the state's text and time by function, and the version of the view that they belong to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct States {
    pub version: u64,
    pub lines: BTreeMap<String, (String, i64)>,
}

/// Returns the text of a state before and after its time.
fn state_text(tombstone: &Tombstone) -> (String, String) {
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

/// Parses a state file; returns `None` if it is damaged.
pub fn parse(text: &str) -> Option<States> {
    let mut states = States::default();
    let mut lines = text.strip_suffix('\n')?.split('\n').rev();
    states.version = lines.next()?.strip_prefix("# version ")?.parse().ok()?;
    for line in lines {
        let mut parts = line.split(' ');
        let (name, generation, state) = (parts.next()?, parts.next()?, parts.next()?);
        let ms: i64 = parts.next()?.parse().ok()?;
        let exceptions: Vec<&str> = parts.collect();
        generation.parse::<u32>().ok()?;
        let known = match (state, &exceptions[..]) {
            ("proposed" | "in-force" | "not-in-force", []) => format!("{generation} {state}"),
            ("in-force", ["but-for", names]) => format!("{generation} {state} but-for {names}"),
            _ => return None,
        };
        states.lines.insert(name.into(), (known, ms));
    }
    Some(states)
}

/// Returns the state's text of a retirement that the cluster state has not accepted.
fn not_in_force(generation: u32) -> (String, String) {
    (format!("{generation} not-in-force"), String::new())
}

/// Renders the file for a view and for the requested retirements that the view does not show yet. An unchanged state
/// keeps its time.
pub fn render(
    view: &ClusterView,
    outstanding: &BTreeMap<String, u32>,
    previous: &States,
    now_ms: i64,
) -> String {
    let mut text = String::new();
    let mut states: BTreeMap<&String, _> =
        outstanding.iter().map(|(name, g)| (name, not_in_force(*g))).collect();
    // A lower generation that is in force is more informative than a higher one that is outstanding.
    states.extend(view.tombstones.iter().map(|(name, tombstone)| (name, state_text(tombstone))));
    for (name, (state, suffix)) in states {
        let unchanged = previous.lines.get(name).filter(|(known, _)| *known == format!("{state}{suffix}"));
        let ms = unchanged.map_or(now_ms, |(_, ms)| *ms);
        text.push_str(&format!("{name} {state} {ms}{suffix}\n"));
    }
    text.push_str(&format!("# version {}\n", view.version));
    text
}

/// Updates the file if its view is older, it lacks an outstanding retirement, or it is lost or damaged. Outstanding
/// retirements that another process wrote for the same view stay. Nothing is written before the first view was
/// received.
pub async fn update(
    retirements: &Path,
    view: &ClusterView,
    outstanding: &BTreeMap<String, u32>,
    now_ms: i64,
) -> io::Result<()> {
    if view.version == 0 {
        return Ok(());
    }
    let path = with_suffix(retirements, ".state");
    let known = match tokio::fs::read(&path).await {
        Ok(bytes) => String::from_utf8(bytes).ok().and_then(|text| parse(&text)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => return Err(e),
    };
    let known = known.unwrap_or_default();
    let mut outstanding = outstanding.clone();
    if known.version == view.version {
        let known_outstanding = known.lines.iter().filter_map(|(name, (state_text, _))| {
            Some((name, state_text.strip_suffix(" not-in-force")?.parse::<u32>().ok()?))
        });
        for (name, generation) in known_outstanding {
            let highest = outstanding.entry(name.clone()).or_default();
            *highest = generation.max(*highest);
        }
    }
    let lacks = |(name, generation): (&String, &u32)| {
        !view.tombstones.contains_key(name)
            && known.lines.get(name).is_none_or(|(state_text, _)| *state_text != not_in_force(*generation).0)
    };
    if known.version > view.version || known.version == view.version && !outstanding.iter().any(lacks) {
        return Ok(());
    }
    let text = render(view, &outstanding, &known, now_ms);
    let temporary = with_suffix(retirements, &format!(".state.{}.new", std::process::id()));
    let result = write(&temporary, &path, text.as_bytes()).await;
    if result.is_err() {
        // The temporary file is useless; the previous file is unchanged.
        let _ = tokio::fs::remove_file(&temporary).await;
    }
    result
}

async fn write(temporary: &Path, path: &Path, bytes: &[u8]) -> io::Result<()> {
    // The file is not flushed to the disk: a flush took over a second while other processes wrote much, and the
    // cluster state is the durable copy. After a power loss the file is either complete and older, or recognized as
    // damaged; both are replaced.
    tokio::fs::write(temporary, bytes).await?;
    tokio::fs::rename(temporary, path).await
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(suffix);
    name.into()
}
