//! Translates the events of the bus: records of a frame, or their JSON form, become endpoints; times become the
//! module's microseconds, and names become indexes into the settings.

use serde::Deserialize;
use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, WorkerId};
use stagehoist_endpoints::NumberedEndpoint;
use std::net::Ipv4Addr;

/// Length of one record in a frame, in bytes.
pub const RECORD_LENGTH: usize = 27;

/// Why an event can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointEventError {
    #[error("the event's payload of {0} bytes is not a whole number of records")]
    Records(usize),
    #[error("the event contains an executor with unknown state {0}")]
    State(u8),
    #[error("the event has unknown kind {0}")]
    Kind(u8),
    #[error("the executor's field {field} has the invalid value '{value}'")]
    Field { field: &'static str, value: String },
}

/// One event: the full list or the changes.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEvent {
    pub number: u64,
    pub kind: EndpointUpdate,
    pub endpoints: Vec<NumberedEndpoint>,
}

/// Formats an executor's id.
pub fn worker_name(id: WorkerId) -> String {
    format!("s-{id:08x}")
}

fn update_kind(is_full: bool) -> EndpointUpdate {
    if is_full {
        EndpointUpdate::Full
    } else {
        EndpointUpdate::Delta
    }
}

/// Converts Unix milliseconds to microseconds; values out of range count as long ago (0).
fn start_time(ms: u64) -> Micros {
    Micros::try_from(ms).ok().and_then(|ms| ms.checked_mul(1000)).unwrap_or(0)
}

/// Decodes an event from the payload of a frame of kind 1 (full list) or 2 (changes).
pub fn decode(number: u64, kind: u8, payload: &[u8]) -> Result<EndpointEvent, EndpointEventError> {
    if kind != 1 && kind != 2 {
        return Err(EndpointEventError::Kind(kind));
    }
    if !payload.len().is_multiple_of(RECORD_LENGTH) {
        return Err(EndpointEventError::Records(payload.len()));
    }
    let endpoints = payload.chunks_exact(RECORD_LENGTH).map(decode_record).collect::<Result<Vec<_>, _>>()?;
    Ok(EndpointEvent { number, kind: update_kind(kind == 1), endpoints })
}

/// Decodes the valid records of an event that [`decode`] rejects. The result is never a full list, because an
/// executor that it does not contain may be in the malformed part.
pub fn decode_lossy(number: u64, kind: u8, payload: &[u8]) -> EndpointEvent {
    let known = kind == 1 || kind == 2;
    let records = payload.chunks_exact(RECORD_LENGTH).filter(|_| known);
    EndpointEvent {
        number,
        kind: EndpointUpdate::Delta,
        endpoints: records.filter_map(|r| decode_record(r).ok()).collect(),
    }
}

fn decode_record(b: &[u8]) -> Result<NumberedEndpoint, EndpointEventError> {
    let u32_at = |at: usize| u32::from_be_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]]);
    let u16_at = |at: usize| u16::from_be_bytes([b[at], b[at + 1]]);
    let lifecycle = match b[10] {
        0 => Lifecycle::Ready,
        1 => Lifecycle::Draining,
        2 => Lifecycle::Gone,
        other => return Err(EndpointEventError::State(other)),
    };
    let ms = (u64::from(u32_at(19)) << 32) | u64::from(u32_at(23));
    let worker = u32_at(0);
    Ok(NumberedEndpoint {
        name: worker_name(worker),
        address: format!("{}:{}", Ipv4Addr::from(u32_at(4)), u16_at(8)),
        endpoint: Endpoint {
            worker,
            kind: u16::from(b[12]),
            lifecycle,
            zone: b[11],
            started: start_time(ms),
            cell: u16_at(13),
            capacity: f64::from(u32_at(15)) / 1000.0,
        },
    })
}

/// The initial endpoint events, as the configuration holds them.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct KnownEndpoints {
    pub offset: u64,
    #[serde(default)]
    pub batch: Vec<InitialEvent>,
}

/// An event of the configuration's initial list. Field names are those of the settings document.
#[derive(Clone, Debug, Deserialize)]
pub struct InitialEvent {
    pub offset: u64,
    pub topology: Topology,
}

/// A list of endpoints. Field names are those of the settings document.
#[derive(Clone, Debug, Deserialize)]
pub struct Topology {
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Host>,
}

/// An executor in JSON.
#[derive(Clone, Debug, Deserialize)]
pub struct Host {
    pub host: String,
    #[serde(default)]
    pub dial: String,
    #[serde(default)]
    pub site: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub block: u16,
    pub health: String,
    #[serde(default)]
    pub share: f64,
    #[serde(default)]
    pub born_ms: u64,
}

impl InitialEvent {
    /// Returns the event, with the indexes of names in `kinds` and `zones`.
    pub fn event(&self, kinds: &[String], zones: &[String]) -> Result<EndpointEvent, EndpointEventError> {
        let endpoints =
            self.topology.hosts.iter().map(|h| h.endpoint(kinds, zones)).collect::<Result<Vec<_>, _>>()?;
        Ok(EndpointEvent { number: self.offset, kind: update_kind(self.topology.whole), endpoints })
    }
}

impl Host {
    fn endpoint(&self, kinds: &[String], zones: &[String]) -> Result<NumberedEndpoint, EndpointEventError> {
        let field = |field, value: &str| EndpointEventError::Field { field, value: value.to_string() };
        let digits = self.host.strip_prefix("s-").filter(|d| d.len() == 8);
        let worker = digits.and_then(|d| u32::from_str_radix(d, 16).ok());
        let worker = worker.ok_or_else(|| field("host", &self.host))?;
        let lifecycle = match &*self.health {
            "ready" => Lifecycle::Ready,
            "draining" => Lifecycle::Draining,
            "gone" => Lifecycle::Gone,
            other => return Err(field("health", other)),
        };
        if lifecycle != Lifecycle::Gone && self.dial.parse::<std::net::SocketAddr>().is_err() {
            return Err(field("dial", &self.dial));
        }
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name);
        Ok(NumberedEndpoint {
            name: worker_name(worker),
            address: self.dial.clone(),
            endpoint: Endpoint {
                worker,
                kind: index(kinds, &self.class).map_or(u16::MAX, |i| i as u16),
                lifecycle,
                zone: index(zones, &self.site).map_or(u8::MAX, |i| i.min(255) as u8),
                started: start_time(self.born_ms),
                cell: self.block,
                capacity: if self.share.is_finite() { self.share.max(0.0) } else { 0.0 },
            },
        })
    }
}

#[cfg(test)]
mod tests;
