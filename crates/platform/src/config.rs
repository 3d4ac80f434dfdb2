//! The configuration of a front end: the file that `GW_CONFIG` names. The settings keep the simulator's names. They
//! are flattened into the lines that [`stagehoist::wire::parse_settings`] reads, so that one mapping serves both.

use crate::endpoint_events::{EndpointEvent, KnownEndpoints};
use crate::fields;
pub use crate::flatten::flatten;
use rustix::fs::OFlags;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::Deserialize;
use serde_json::Value;
use stagehoist::{wire, Micros, Settings};
use stagehoist_gateway::state::{CoreSettings, NameLimits};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;

/// Why a configuration can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("GW_CONFIG is not set")]
    Unset,
    #[error("GW_CONFIG: {path}: {error}")]
    Read { path: String, error: std::io::Error },
    #[error("GW_CONFIG: {0}")]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    #[error("GW_CONFIG: {field}: {what}")]
    Field { field: &'static str, what: String },
}

#[derive(Deserialize)]
struct Document<L> {
    name: String,
    listen: String,
    seed: String,
    limits: Limits,
    bus: String,
    known: L,
    settings: Value,
}

/// The initial endpoint list, as a document holds it.
trait InitialList: DeserializeOwned {
    /// Returns its events, and the number of the last.
    fn events(&self, kinds: &[String], zones: &[String]) -> Result<(Vec<EndpointEvent>, u64), String>;
}

impl InitialList for KnownEndpoints {
    fn events(&self, kinds: &[String], zones: &[String]) -> Result<(Vec<EndpointEvent>, u64), String> {
        let mut events = Vec::with_capacity(self.batch.len());
        for known in &self.batch {
            events.push(known.event(kinds, zones).map_err(|error| error.to_string())?);
        }
        events.sort_by_key(|event| event.number);
        Ok((events, self.offset))
    }
}

/// Skips the list, which is used only at the start.
impl InitialList for IgnoredAny {
    fn events(&self, _: &[String], _: &[String]) -> Result<(Vec<EndpointEvent>, u64), String> {
        Ok((Vec::new(), 0))
    }
}

/// The resources that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    #[serde(default = "one")]
    pub cores: f64,
    pub memory_mb: f64,
    pub sockets: u64,
}

impl Limits {
    /// Returns these limits with at most this number of descriptors.
    pub fn at_most(self, sockets: u64) -> Limits {
        Limits { sockets: self.sockets.min(sockets), ..self }
    }
}

fn one() -> f64 {
    1.0
}

/// Minimum time after which a load order counts as lost.
const MIN_LOAD_TIMEOUT: Micros = 1_000_000;
/// Memory of a known function, in the decision module and here.
const FUNCTION_BYTES: f64 = 700.0;
/// Bounds of the number of functions that are known at once.
const MIN_FUNCTIONS: usize = 1_000;
const MAX_FUNCTIONS: usize = 50_000;

/// A class of calls, under the name that clients use.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: String,
    /// The longest time that a client of this class waits.
    pub hard_limit: Micros,
}

/// The configuration, checked and translated.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub bus: SocketAddr,
    /// The initial endpoint events in order, and the number of the last.
    pub known: (Vec<EndpointEvent>, u64),
    /// The settings as they were read, one line each.
    pub lines: String,
    pub settings: Settings,
    pub classes: Vec<Class>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    /// Names of the values in a load report, in the order of the settings.
    pub report_fields: Vec<String>,
    /// Maximum number of requests that one connection to an executor carries at once.
    pub streams: usize,
    pub idle_close: Micros,
    pub max_calls: u64,
    pub max_memory_mb: f64,
}

impl PlatformSettings {
    /// Reads the file that `GW_CONFIG` names.
    pub fn read() -> Result<PlatformSettings, ConfigError> {
        let path = std::env::var("GW_CONFIG").map_err(|_| ConfigError::Unset)?;
        let text = std::fs::read_to_string(&path).map_err(|error| ConfigError::Read { path, error })?;
        PlatformSettings::parse(&text)
    }

    /// Reads the file again while the process runs.
    pub fn read_again() -> Result<PlatformSettings, ConfigError> {
        PlatformSettings::read_regular_file(&std::env::var("GW_CONFIG").map_err(|_| ConfigError::Unset)?)
    }

    /// Reads a regular file, without its initial list, which may be long. Opening a pipe would block until it has a
    /// writer, and calls would be delayed. So the file is opened in non-blocking mode, and its type is checked after
    /// opening, because the file at this path may be replaced in between.
    pub fn read_regular_file(path: &str) -> Result<PlatformSettings, ConfigError> {
        let read = || {
            let flags = OFlags::NONBLOCK.bits() as i32;
            let mut file = File::options().read(true).custom_flags(flags).open(path)?;
            if !file.metadata()?.is_file() {
                return Err(io::Error::other("the path does not refer to a regular file"));
            }
            let mut text = String::new();
            file.read_to_string(&mut text)?;
            Ok(text)
        };
        let text = read().map_err(|error| ConfigError::Read { path: path.into(), error })?;
        PlatformSettings::parse_document::<IgnoredAny>(&text)
    }

    /// Names the fields that differ in `new`. The address of the event bus is excluded, and so are the seed and the
    /// initial events, which are new each time.
    pub fn differs(&self, new: &PlatformSettings) -> Vec<String> {
        let mut fields = Vec::new();
        let unchanged = [
            ("name", self.name == new.name),
            ("listen", self.listen == new.listen),
            ("limits", self.limits == new.limits),
        ];
        fields.extend(unchanged.iter().filter(|f| !f.1).map(|f| f.0.to_string()));
        let lines =
            |settings: &PlatformSettings| settings.lines.lines().map(str::to_string).collect::<BTreeSet<_>>();
        let (old, new) = (lines(self), lines(new));
        let path = |line: &String| format!("settings.{}", line.split('=').next().unwrap_or_default());
        let changed: BTreeSet<String> = old.symmetric_difference(&new).map(path).collect();
        fields.extend(changed);
        fields
    }

    /// Checks and translates a configuration.
    pub fn parse(text: &str) -> Result<PlatformSettings, ConfigError> {
        PlatformSettings::parse_document::<KnownEndpoints>(text)
    }

    fn parse_document<L: InitialList>(text: &str) -> Result<PlatformSettings, ConfigError> {
        let file: Document<L> =
            serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))?;
        let field =
            |field, what: &dyn std::fmt::Display| ConfigError::Field { field, what: what.to_string() };
        let address = |name, text: &str| {
            text.parse::<SocketAddr>()
                .map_err(|_| field(name, &format!("'{text}' is not an IP address with a port")))
        };
        let lines = flatten(&file.settings);
        let mut settings = wire::parse_settings(&lines).map_err(|e| field("settings", &e))?;
        // On this platform an order counts once it has arrived completely, at the latest when it counts as lost.
        settings.load_delay = settings.load_timeout.max(MIN_LOAD_TIMEOUT);
        let list = |key: &str| -> Vec<String> {
            let items = file.settings.get(key).and_then(Value::as_array);
            items.into_iter().flatten().map(name_of).collect()
        };
        let number = |group: &str, key: &str| file.settings.get(group).and_then(|g| g.get(key)?.as_f64());
        let classes = file.settings.get("classes").and_then(Value::as_array).into_iter().flatten();
        let classes: Vec<Class> = classes
            .map(|c| Class {
                name: name_of(c),
                hard_limit: (c.get("hard_limit").and_then(Value::as_f64).unwrap_or(0.0) * 1000.0) as Micros,
            })
            .collect();
        if classes.iter().any(|c| c.name.is_empty() || c.hard_limit <= 0) {
            return Err(field("settings.classes", &"a class without a name or hard_limit"));
        }
        if file.limits.sockets < 64 || !(8.0..=1e7).contains(&file.limits.memory_mb) {
            return Err(field("limits", &"fewer than 64 sockets or 8 MB"));
        }
        let (kinds, zones) = (list("machine_types"), list("areas"));
        let known = file.known.events(&kinds, &zones).map_err(|error| field("known", &error))?;
        let report = file.settings.get("load_info").and_then(|l| l.get("fields")?.as_array());
        let memory = file.settings.get("specifics").and_then(|s| s.get("ram_mb_by_kind")?.as_array());
        let memory = memory.into_iter().flatten().filter_map(Value::as_f64).fold(0.0, f64::max);
        Ok(PlatformSettings {
            listen: address("listen", &file.listen)?,
            seed: fields::hex16(file.seed.as_bytes())
                .ok_or_else(|| field("seed", &"the seed is not 16 hex digits"))?,
            bus: address("bus", &file.bus)?,
            known,
            report_fields: report.into_iter().flatten().map(name_of).collect(),
            streams: number("limits", "multiplex").map_or(1, |n| n.clamp(1.0, 1024.0) as usize),
            idle_close: (number("limits", "idle_close").unwrap_or(10_000.0).clamp(100.0, 1e9) * 1000.0)
                as Micros,
            max_calls: number("limits", "most_held").map_or(20_000, |n| n.clamp(1.0, 1e6) as u64),
            max_memory_mb: if memory > 0.0 { memory } else { 1e9 },
            name: file.name,
            limits: file.limits,
            tenants: list("parties"),
            lines,
            settings,
            classes,
            kinds,
            zones,
        })
    }

    /// Returns the settings of the front end's state.
    pub fn core_settings(&self) -> CoreSettings {
        CoreSettings {
            settings: self.settings.clone(),
            kinds: self.kinds.clone(),
            zones: self.zones.clone(),
            announcement_retention: 0,
            max_workers: None,
            max_calls: self.max_calls,
            max_retry_after: self.settings.max_retry_after,
            load_timeout: self.settings.load_delay,
            // The module removes functions after eight times the keep-alive.
            name_limits: NameLimits::new(
                self.max_functions(),
                (10 * self.settings.idle_retention).max(30_000_000),
            ),
            cancel_abandoned: true,
        }
    }

    /// Returns the maximum number of functions that are known at once: an eighth of the memory is for them.
    fn max_functions(&self) -> usize {
        let fitting = self.limits.memory_mb * 1e6 / 8.0 / FUNCTION_BYTES;
        (fitting as usize).clamp(MIN_FUNCTIONS, MAX_FUNCTIONS)
    }

    /// Returns the longest time that any client waits.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|c| c.hard_limit).max().unwrap_or(0)
    }
}

/// Returns the name of a list item: the item itself, or its `name`.
fn name_of(item: &Value) -> String {
    item.as_str().or_else(|| item.get("name")?.as_str()).unwrap_or_default().to_string()
}

#[cfg(test)]
mod tests;
