//! What the event bus says of executors, translated: records of a frame and their JSON form become rows of the list, times
//! the module's microseconds, places numbers of the settings.

use serde::Deserialize;
use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, WorkerId};
use stagehoist_endpoints::NumberedEndpoint;
use std::net::Ipv4Addr;

/// Bytes of one record in a frame.
pub const RECORD: usize = 27;

/// What can't be understood of an event.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointEventError {
    #[error("{0} bytes are no whole number of records")]
    Records(usize),
    #[error("unknown state {0}")]
    State(u8),
    #[error("unknown kind of event {0}")]
    Kind(u8),
    #[error("{field} '{value}' can't be read")]
    Field { field: &'static str, value: String },
}

/// One event: the whole list or what has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEvent {
    pub number: u64,
    pub kind: EndpointUpdate,
    pub endpoints: Vec<NumberedEndpoint>,
}

/// An executor's id as it stands in text.
pub fn name(id: WorkerId) -> String {
    format!("s-{id:08x}")
}

fn whole(whole: bool) -> EndpointUpdate {
    if whole {
        EndpointUpdate::Full
    } else {
        EndpointUpdate::Delta
    }
}

/// Microseconds of a Unix millisecond; what is absurd counts as long ago.
fn started(ms: u64) -> Micros {
    Micros::try_from(ms).ok().and_then(|ms| ms.checked_mul(1000)).unwrap_or(0)
}

/// An event from the payload of a frame of kind 1 (whole) or 2 (changes).
pub fn decode(number: u64, kind: u8, payload: &[u8]) -> Result<EndpointEvent, EndpointEventError> {
    if kind != 1 && kind != 2 {
        return Err(EndpointEventError::Kind(kind));
    }
    if !payload.len().is_multiple_of(RECORD) {
        return Err(EndpointEventError::Records(payload.len()));
    }
    let settings = payload.chunks_exact(RECORD).map(record).collect::<Result<Vec<_>, _>>()?;
    Ok(EndpointEvent { number, kind: whole(kind == 1), endpoints: settings })
}

/// What can be read of an event that [`decode`] finds fault with. It is no whole list then: whom it does not name may be in
/// what can't be read.
pub fn readable(number: u64, kind: u8, payload: &[u8]) -> EndpointEvent {
    let known = kind == 1 || kind == 2;
    let records = payload.chunks_exact(RECORD).filter(|_| known);
    EndpointEvent {
        number,
        kind: EndpointUpdate::Delta,
        endpoints: records.filter_map(|r| record(r).ok()).collect(),
    }
}

fn record(b: &[u8]) -> Result<NumberedEndpoint, EndpointEventError> {
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
        name: name(worker),
        address: format!("{}:{}", Ipv4Addr::from(u32_at(4)), u16_at(8)),
        endpoint: Endpoint {
            worker,
            kind: u16::from(b[12]),
            lifecycle,
            zone: b[11],
            started: started(ms),
            cell: u16_at(13),
            capacity: f64::from(u32_at(15)) / 1000.0,
        },
    })
}

/// The events of the start, as the configuration holds them.
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
    /// The event with the places that `kinds` and `zones` give.
    pub fn event(&self, kinds: &[String], zones: &[String]) -> Result<EndpointEvent, EndpointEventError> {
        let settings =
            self.topology.hosts.iter().map(|h| h.told(kinds, zones)).collect::<Result<Vec<_>, _>>()?;
        Ok(EndpointEvent { number: self.offset, kind: whole(self.topology.whole), endpoints: settings })
    }
}

impl Host {
    fn told(&self, kinds: &[String], zones: &[String]) -> Result<NumberedEndpoint, EndpointEventError> {
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
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        Ok(NumberedEndpoint {
            name: name(worker),
            address: self.dial.clone(),
            endpoint: Endpoint {
                worker,
                kind: place(kinds, &self.class).map_or(u16::MAX, |i| i as u16),
                lifecycle,
                zone: place(zones, &self.site).map_or(u8::MAX, |i| i.min(255) as u8),
                started: started(self.born_ms),
                cell: self.block,
                capacity: if self.share.is_finite() { self.share.max(0.0) } else { 0.0 },
            },
        })
    }
}

#[cfg(test)]
mod tests;
