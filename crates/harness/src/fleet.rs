//! The lines that tell a front end's process of its fleet, and where its files are.

use crate::day::Fleet;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// The name of a front end as a member.
pub fn member(front_end: u32) -> String {
    format!("fe-{front_end}")
}

/// The front end of a member's name. A process may tell its only front end's number after it, as `fe-2/0`.
pub fn front_end(member: &str) -> Option<u32> {
    member.strip_prefix("fe-")?.split('/').next()?.parse().ok()
}

/// The number of the replica in a front end's process, where it has one.
pub fn keeper(fleet: &Fleet, front_end: u32) -> Option<u64> {
    (front_end < fleet.keepers).then(|| u64::from(front_end) + 1)
}

/// Where the files of a front end's process are.
#[derive(Clone, Debug)]
pub struct Files {
    /// The replica's store.
    pub store: PathBuf,
    /// What the member remembers of itself.
    pub fleet: PathBuf,
    pub marks: PathBuf,
    pub retirements: PathBuf,
}

impl Files {
    pub fn of(folder: &Path, front_end: u32) -> Files {
        Files {
            store: folder.join(format!("store-{front_end}")),
            fleet: folder.join(format!("fleet-{front_end}")),
            marks: folder.join(format!("marks-{front_end}")),
            retirements: folder.join("retirements"),
        }
    }

    /// The file in which a process tells the state of retirements.
    pub fn state(&self) -> PathBuf {
        self.retirements.with_extension("state")
    }
}

/// The lines of one front end: `keepers` are the addresses at which it reaches each, `listen` where its own replica listens.
pub fn lines(fleet: &Fleet, front_end: u32, keepers: &[String], listen: &str, files: &Files) -> String {
    let mut text = String::new();
    if fleet.keepers == 0 {
        return text;
    }
    // Writing to a string does not fail.
    let _ = writeln!(text, "member {}", member(front_end));
    for (number, address) in keepers.iter().enumerate() {
        let _ = writeln!(text, "keeper {} {address}", number + 1);
    }
    if let Some(number) = keeper(fleet, front_end) {
        let _ = writeln!(text, "keep {number} listen {listen} store {}", files.store.display());
    }
    let _ = writeln!(text, "fleet-folder {}", files.fleet.display());
    let _ = writeln!(text, "view-lease {}ms", fleet.view_lease.as_millis());
    let _ = writeln!(text, "remember {}ms", fleet.remember.as_millis());
    if front_end == 0 {
        let _ = writeln!(text, "retirements {}", files.retirements.display());
    }
    for (tenant, quota) in &fleet.tenants {
        let _ = writeln!(text, "tenant {tenant} quota {quota}");
    }
    for pool in fleet.pools.iter().filter(|_| !fleet.without_pools) {
        let _ = writeln!(
            text,
            "pool {} functions {} lanes {}",
            pool.name,
            pool.functions.join(","),
            pool.permits
        );
    }
    for reserve in fleet.reserves.iter().filter(|_| !fleet.without_pools) {
        let _ = writeln!(text, "reserve {} pool {} lanes {}", reserve.tenant, reserve.pool, reserve.lanes);
    }
    if fleet.marks {
        let _ = writeln!(text, "marks {} keep 4s", files.marks.display());
    }
    if let Some(told) = &fleet.recover {
        let _ = writeln!(text, "{}", format!("recover {told}").trim_end());
    }
    text
}

/// Which front end's replica leads, by the processes' logs: of those whose last word is that they lead, the latest. Each log
/// is given with its front end.
pub fn leader<'a>(logs: impl Iterator<Item = (u32, &'a str)>) -> Option<u32> {
    let mut latest: Option<(String, u32)> = None;
    for (front_end, log) in logs {
        let last = log.lines().rev().find_map(|line| {
            let line: serde_json::Value = serde_json::from_str(line).ok()?;
            let text = |field: &str| line.get(field).and_then(|v| v.as_str());
            // The event's name, or where there is none its words.
            let known = |word: &&str| matches!(*word, "leading" | "following");
            let event = text("event").or(text("message")).filter(known)?;
            let keeper = line.get("keeper")?.as_u64()?;
            let ours =
                text("target")?.starts_with("stagehoist_consensus") && keeper == u64::from(front_end) + 1;
            ours.then(|| (event == "leading", text("timestamp").unwrap_or_default().to_string()))
        });
        // Time stamps are of one clock and one width, so they compare as text.
        if let Some((true, at)) = last {
            if latest.as_ref().is_none_or(|l| l.0 < at) {
                latest = Some((at, front_end));
            }
        }
    }
    latest.map(|l| l.1)
}

#[cfg(test)]
mod tests;
