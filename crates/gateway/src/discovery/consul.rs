//! The worker list from Consul's health API, `GET /v1/health/service/NAME`, by blocking queries. Metadata of a service
//! instance tells `kind`, `zone`, `cell`, `capacity`, `started` (Unix time in milliseconds) and `state draining`; one in
//! maintenance mode drains, one with another critical check is left out.

use super::{DiscoveryCommand, Kind, LIST_MOST, WORKERS};
use crate::clock::Clock;
use crate::state::Input;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::rt::TokioIo;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde::Deserialize;
use stagehoist::Micros;
use stagehoist_endpoints::blocking_query::{BlockingQuery, QueryOutcome};
use stagehoist_endpoints::ListedWorker;
use stagehoist_recovery::Backoff;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

#[derive(Deserialize)]
struct Row {
    #[serde(rename = "Node")]
    node: Node,
    #[serde(rename = "Service")]
    service: Service,
    #[serde(rename = "Checks", default)]
    checks: Vec<Check>,
}

#[derive(Deserialize)]
struct Node {
    #[serde(rename = "Address", default)]
    address: String,
}

#[derive(Deserialize)]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "Address", default)]
    address: String,
    #[serde(rename = "Port")]
    port: u16,
    #[serde(rename = "Meta", default)]
    meta: Option<BTreeMap<String, String>>,
}

#[derive(Deserialize)]
pub(super) struct Check {
    #[serde(rename = "CheckID", default)]
    id: String,
    #[serde(rename = "Status", default)]
    status: String,
}

impl Check {
    fn is_maintenance(&self) -> bool {
        self.id.starts_with("_service_maintenance") || self.id == "_node_maintenance"
    }

    pub(super) fn is_critical(&self) -> bool {
        self.status == "critical" || self.status == "maintenance"
    }
}

/// Reads the body of an answer.
pub fn parse(body: &[u8]) -> Result<Vec<ListedWorker>, serde_json::Error> {
    let rows: Vec<Row> = serde_json::from_slice(body)?;
    let entry = |row: Row| {
        if row.checks.iter().any(|c| c.is_critical() && !c.is_maintenance()) {
            return None;
        }
        let address = if row.service.address.is_empty() { row.node.address } else { row.service.address };
        let meta = row.service.meta.unwrap_or_default();
        let text = |key: &str| meta.get(key).cloned().unwrap_or_default();
        let number = |key: &str| meta.get(key).and_then(|v| v.parse::<f64>().ok());
        let maintained = row.checks.iter().any(|c| c.is_critical() && c.is_maintenance());
        Some(ListedWorker {
            address: format!("{address}:{}", row.service.port),
            draining: maintained || text("state") == "draining",
            kind: text("kind"),
            zone: text("zone"),
            cell: number("cell").unwrap_or(0.0) as u16,
            capacity: number("capacity").unwrap_or(1.0),
            started: (number("started").unwrap_or(0.0) * 1000.0) as Micros,
            name: row.service.id,
        })
    };
    Ok(rows.into_iter().filter_map(entry).collect())
}

pub(super) struct Follower {
    address: String,
    service: String,
    wait: Micros,
    blocking: BlockingQuery,
    spread: Backoff,
    watching: bool,
    kind: Kind,
    /// Least time from an answer to the next query.
    pause: Micros,
    /// What narrows the query.
    filter: String,
    /// A query failed since the last answer: the source may have lost its place, and its numbers tell nothing.
    lost: bool,
}

impl Follower {
    /// A follower of a service's health list at Consul's API.
    pub fn new(address: &str, service: &str, wait: Micros, seed: u64, watching: bool) -> Follower {
        Follower {
            address: address.into(),
            service: service.into(),
            wait,
            blocking: BlockingQuery::new(100_000, 5_000_000),
            spread: Backoff::new(1, 1, seed),
            watching,
            kind: WORKERS,
            pause: 0,
            filter: String::new(),
            lost: false,
        }
    }

    /// Follows another list than that of workers.
    pub fn of(self, kind: Kind) -> Follower {
        Follower { kind, ..self }
    }

    /// Asks again so long after a change at the earliest.
    pub fn paced(self, pause: Micros) -> Follower {
        Follower { pause, ..self }
    }

    /// Asks for rows of one zone alone. What a source that knows no filters gives beyond is left out later.
    pub fn only_zone(self, zone: &str) -> Follower {
        let quoted = zone.replace('\\', "\\\\").replace('"', "\\\"");
        let expression = format!("Service.Meta.zone == \"{quoted}\"");
        let encoded = utf8_percent_encode(&expression, NON_ALPHANUMERIC);
        Follower { filter: format!("&filter={encoded}"), ..self }
    }

    /// Follows the list until the sender of commands is dropped.
    pub async fn run(
        mut self,
        clock: Clock,
        inputs: mpsc::Sender<Input>,
        mut asks: mpsc::UnboundedReceiver<DiscoveryCommand>,
    ) {
        loop {
            let mut once = false;
            while !self.watching && !once {
                match asks.recv().await {
                    None => return,
                    Some(DiscoveryCommand::Subscribe(on)) => self.watching = on,
                    Some(DiscoveryCommand::Fetch) => once = true,
                }
            }
            let index = if once || self.lost { 0 } else { self.blocking.index() };
            // Consul adds up to a sixteenth of the wait; two seconds more are for the way.
            let limit = Duration::from_micros((self.wait + self.wait / 16) as u64 + 2_000_000);
            let got = tokio::select! {
                got = tokio::time::timeout(limit, self.query(index)) => got,
                asked = asks.recv() => match asked {
                    None => return,
                    Some(DiscoveryCommand::Subscribe(on)) => {
                        self.watching = on;
                        continue;
                    }
                    Some(DiscoveryCommand::Fetch) => {
                        // The whole list at once: the next query must not block.
                        self.blocking.on_answer(None);
                        continue;
                    }
                },
            };
            let told = match got {
                Ok(Ok((index, told))) => {
                    // One after a failure is used whatever its number is.
                    let lost = std::mem::take(&mut self.lost);
                    let changed = if once { QueryOutcome::Changed } else { self.blocking.on_answer(index) };
                    (changed == QueryOutcome::Changed || lost).then_some(told)
                }
                failed => {
                    let why = match failed {
                        Ok(Err(e)) => e,
                        _ => "no answer in time".into(),
                    };
                    tracing::warn!(
                        address = self.address,
                        why,
                        list = self.kind.what,
                        "the list can't be had; the old one stands"
                    );
                    self.lost = true;
                    let _ = inputs.send((self.kind.failed)()).await;
                    let part = self.spread.next_fraction();
                    let pause = self.blocking.on_failure(part);
                    tokio::time::sleep_until(clock.instant(clock.now() + pause)).await;
                    None
                }
            };
            if let Some(told) = told {
                if inputs.send(told).await.is_err() {
                    return;
                }
                if self.pause > 0 {
                    tokio::time::sleep_until(clock.instant(clock.now() + self.pause)).await;
                }
            }
        }
    }

    async fn query(&self, index: u64) -> Result<(Option<u64>, Input), String> {
        let text = |e: &dyn std::fmt::Display| e.to_string();
        let stream = TcpStream::connect(&self.address).await.map_err(|e| text(&e))?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(|e| text(&e))?;
        let driving = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        let uri = format!(
            "/v1/health/service/{}?index={index}&wait={}ms{}",
            utf8_percent_encode(&self.service, NON_ALPHANUMERIC),
            self.wait / 1000,
            self.filter
        );
        let request = Request::get(uri).header("host", &self.address).body(Empty::<Bytes>::new());
        let asked = async {
            let request = request.map_err(|e| text(&e))?;
            let response = sender.send_request(request).await.map_err(|e| text(&e))?;
            if !response.status().is_success() {
                return Err(format!("status {}", response.status()));
            }
            let index = response.headers().get("x-consul-index");
            let index = index.and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
            let body = Limited::new(response.into_body(), LIST_MOST).collect().await.map_err(|e| text(&e))?;
            let told = (self.kind.body)(&body.to_bytes()).map_err(|e| text(&e))?;
            Ok((index, told))
        };
        let result = asked.await;
        driving.abort();
        result
    }
}
