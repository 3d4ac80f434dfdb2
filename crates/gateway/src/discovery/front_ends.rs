//! The list of front ends, from the same kinds of sources as the worker list. With Consul's health API, an instance's
//! ID is the name, its metadata contain `zone`, and its tags `generation-N` name the divisions that it serves. A file
//! has one front end a line:
//!
//! ```text
//! # NAME generations G|G-G [zone Z]
//! front-end-7 generations 7-8 zone hall-a
//! ```

use super::{consul, file, DiscoveryCommand, ListKind};
use crate::clock::Clock;
use crate::state::Input;
use serde::Deserialize;
use stagehoist_config::{Config, ListSource};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::mpsc;

/// A front end in a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub name: String,
    pub zone: String,
    /// The first and the last generation that it reports to serve.
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

/// Parses the body of a response. A front end with a critical check or in maintenance mode is left out, because it should
/// get no more calls. A front end without a generation tag is left out too, because others can't rely on it to serve a
/// division.
pub fn parse_body(body: &[u8]) -> Result<Vec<Entry>, serde_json::Error> {
    let rows: Vec<Row> = serde_json::from_slice(body)?;
    let entry = |row: Row| {
        if row.checks.iter().any(consul::Check::is_critical) {
            return None;
        }
        let tags = row.service.tags.unwrap_or_default();
        let generations = tags.iter().filter_map(|t| t.strip_prefix("generation-")?.parse().ok());
        let serves = generations.fold(None, |range: Option<(u32, u32)>, g: u32| {
            Some(range.map_or((g, g), |(first, last)| (first.min(g), last.max(g))))
        });
        let zone = row.service.meta.and_then(|mut m| m.remove("zone")).unwrap_or_default();
        Some(Entry { name: row.service.id, zone, serves: serves? })
    };
    Ok(rows.into_iter().filter_map(entry).collect())
}

/// Parses a file. The error contains the number of the first malformed line and what is wrong with it.
pub fn parse_text(text: &str) -> Result<Vec<Entry>, (usize, String)> {
    let mut entries = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        let error = |what: String| (number + 1, what);
        let [name, rest @ ..] = &words[..] else { continue };
        if rest.len() % 2 != 0 {
            return Err(error(format!("{} has no value", rest[rest.len() - 1])));
        }
        let (mut zone, mut serves) = (String::new(), None);
        for pair in rest.chunks(2) {
            match pair[0] {
                "zone" => zone = pair[1].into(),
                "generations" => {
                    let (first, last) = pair[1].split_once('-').unwrap_or((pair[1], pair[1]));
                    let range = first.parse::<u32>().ok().zip(last.parse::<u32>().ok());
                    let range = range.filter(|(first, last)| first <= last);
                    let what = || error(format!("generations are {}, expected G or G-G", pair[1]));
                    serves = Some(range.ok_or_else(what)?);
                }
                key => return Err(error(format!("unknown key {key}"))),
            }
        }
        let serves = serves.ok_or_else(|| error("the generations are missing".into()))?;
        entries.push(Entry { name: (*name).into(), zone, serves });
    }
    Ok(entries)
}

const FRONT_ENDS: ListKind = ListKind {
    what: "front ends",
    parse_body: |body| parse_body(body).map(|list| Input::FrontEndList(Some(list))),
    parse_text: |text| parse_text(text).map(|list| Input::FrontEndList(Some(list))),
    failure: || Input::FrontEndList(None),
};

/// Watches the list of front ends until `commands` is closed; returns at once if no list is configured.
pub async fn watch(
    config: Rc<Config>,
    seed: u64,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    commands: mpsc::UnboundedReceiver<DiscoveryCommand>,
) {
    let Some(list) = &config.front_ends_list else { return };
    match &list.source {
        ListSource::Consul { address, service, wait } => {
            let watcher = consul::ListWatcher::new(address, service, *wait, seed, true).with_kind(FRONT_ENDS);
            let watcher = watcher.with_min_interval(list.pause);
            let watcher = match config.zone.as_ref().filter(|_| config.zones.len() > 1) {
                Some(zone) => watcher.with_zone_filter(zone),
                None => watcher,
            };
            watcher.run(clock, inputs, commands).await;
        }
        ListSource::File { path, poll } => file::watch(path, *poll, FRONT_ENDS, inputs, commands).await,
    }
}
