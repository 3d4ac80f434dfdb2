//! A list of front ends, by the same sources as that of workers: Consul's health API, where an instance's ID is the name, its
//! metadata tells `zone` and its tags `generation-N` the divisions that it serves; or a file, one front end a line:
//!
//! ```text
//! # NAME generations G|G-G [zone Z]
//! front-end-7 generations 7-8 zone hall-a
//! ```

use super::{consul, file, DiscoveryCommand, Kind};
use crate::clock::Clock;
use crate::state::Input;
use serde::Deserialize;
use stagehoist_config::{Config, ListSource};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::mpsc;

/// A front end as a list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub name: String,
    pub zone: String,
    /// The first and the last generation that it says it serves.
    pub serves: (u32, u32),
}

#[derive(Deserialize)]
struct Row {
    #[serde(rename = "Service")]
    service: Service,
    #[serde(rename = "Checks", default)]
    checks: Vec<consul::Check>,
}

#[derive(Deserialize)]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "Tags", default)]
    tags: Option<Vec<String>>,
    #[serde(rename = "Meta", default)]
    meta: Option<BTreeMap<String, String>>,
}

/// Reads the body of an answer. One with a critical check is left out, as is one in maintenance mode: it is to take no more.
/// One without a tag of a generation serves nothing that others may count on.
pub fn of_body(body: &[u8]) -> Result<Vec<Entry>, serde_json::Error> {
    let rows: Vec<Row> = serde_json::from_slice(body)?;
    let entry = |row: Row| {
        if row.checks.iter().any(consul::Check::is_critical) {
            return None;
        }
        let tags = row.service.tags.unwrap_or_default();
        let told = tags.iter().filter_map(|t| t.strip_prefix("generation-")?.parse().ok());
        let serves = told.fold(None, |range: Option<(u32, u32)>, g: u32| {
            Some(range.map_or((g, g), |(first, last)| (first.min(g), last.max(g))))
        });
        let zone = row.service.meta.and_then(|mut m| m.remove("zone")).unwrap_or_default();
        Some(Entry { name: row.service.id, zone, serves: serves? })
    };
    Ok(rows.into_iter().filter_map(entry).collect())
}

/// Reads a file; a malformed one gives its first line at fault and why.
pub fn of_text(text: &str) -> Result<Vec<Entry>, (usize, String)> {
    let mut entries = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        let wrong = |what: String| (number + 1, what);
        let [name, rest @ ..] = &words[..] else { continue };
        if rest.len() % 2 != 0 {
            return Err(wrong(format!("{} lacks its value", rest[rest.len() - 1])));
        }
        let (mut zone, mut serves) = (String::new(), None);
        for pair in rest.chunks(2) {
            match pair[0] {
                "zone" => zone = pair[1].into(),
                "generations" => {
                    let (first, last) = pair[1].split_once('-').unwrap_or((pair[1], pair[1]));
                    let range = first.parse::<u32>().ok().zip(last.parse::<u32>().ok());
                    let range = range.filter(|(first, last)| first <= last);
                    let what = || wrong(format!("generations are {}, expected G or G-G", pair[1]));
                    serves = Some(range.ok_or_else(what)?);
                }
                word => return Err(wrong(format!("unknown word {word}"))),
            }
        }
        let serves = serves.ok_or_else(|| wrong("no generations".into()))?;
        entries.push(Entry { name: (*name).into(), zone, serves });
    }
    Ok(entries)
}

const FRONT_ENDS: Kind = Kind {
    what: "front ends",
    body: |body| of_body(body).map(|list| Input::FrontEndList(Some(list))),
    text: |text| of_text(text).map(|list| Input::FrontEndList(Some(list))),
    failed: || Input::FrontEndList(None),
};

/// Follows the list until the driver is gone; returns at once where none is configured. `asks` ends it.
pub async fn follow(
    config: Rc<Config>,
    seed: u64,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    asks: mpsc::UnboundedReceiver<DiscoveryCommand>,
) {
    let Some(list) = &config.front_ends_list else { return };
    match &list.source {
        ListSource::Consul { address, service, wait } => {
            let follower = consul::Follower::new(address, service, *wait, seed, true).of(FRONT_ENDS);
            let follower = follower.paced(list.pause);
            let follower = match config.zone.as_ref().filter(|_| config.zones.len() > 1) {
                Some(zone) => follower.only_zone(zone),
                None => follower,
            };
            follower.run(clock, inputs, asks).await;
        }
        ListSource::File { path, poll } => file::follow(path, *poll, FRONT_ENDS, inputs, asks).await,
    }
}
