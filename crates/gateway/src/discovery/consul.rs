//! The worker list from Consul's health API, `GET /v1/health/service/NAME`, by blocking queries. The metadata of a service
//! instance contains `kind`, `zone`, `cell`, `capacity`, `started` (Unix time in milliseconds) and `state draining`. An
//! instance in maintenance mode is draining; an instance with another critical check is left out.

use super::{DiscoveryCommand, ListKind, MAX_LIST_BYTES, WORKERS};
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

/// Parses the body of a response.
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
        let in_maintenance = row.checks.iter().any(|c| c.is_critical() && c.is_maintenance());
        Some(ListedWorker {
            address: format!("{address}:{}", row.service.port),
            draining: in_maintenance || text("state") == "draining",
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

pub(super) struct ListWatcher {
    address: String,
    service: String,
    wait: Micros,
    blocking: BlockingQuery,
    jitter: Backoff,
    watching: bool,
    kind: ListKind,
    /// Minimum time from a response to the next query.
    min_interval: Micros,
    /// Filter parameter of the query; may be empty.
    filter: String,
    /// Whether the last query failed. The source may have restarted since, so that its index can't be compared with ours.
    failed: bool,
}

impl ListWatcher {
    /// Creates a watcher of a service's health list at Consul's API.
    pub fn new(address: &str, service: &str, wait: Micros, seed: u64, watching: bool) -> ListWatcher {
        ListWatcher {
            address: address.into(),
            service: service.into(),
            wait,
            blocking: BlockingQuery::new(100_000, 5_000_000),
            jitter: Backoff::new(1, 1, seed),
            watching,
            kind: WORKERS,
            min_interval: 0,
            filter: String::new(),
            failed: false,
        }
    }

    /// Watches a list of another kind than workers.
    pub fn with_kind(self, kind: ListKind) -> ListWatcher {
        ListWatcher { kind, ..self }
    }

    /// Sets the minimum time from a change to the next query.
    pub fn with_min_interval(self, min_interval: Micros) -> ListWatcher {
        ListWatcher { min_interval, ..self }
    }

    /// Queries rows of one zone only. If the source ignores the filter, rows of other zones are left out later.
    pub fn with_zone_filter(self, zone: &str) -> ListWatcher {
        let quoted = zone.replace('\\', "\\\\").replace('"', "\\\"");
        let expression = format!("Service.Meta.zone == \"{quoted}\"");
        let encoded = utf8_percent_encode(&expression, NON_ALPHANUMERIC);
        ListWatcher { filter: format!("&filter={encoded}"), ..self }
    }

    /// Watches the list until the sender of commands is dropped.
    pub async fn run(
        mut self,
        clock: Clock,
        inputs: mpsc::Sender<Input>,
        mut commands: mpsc::UnboundedReceiver<DiscoveryCommand>,
    ) {
        loop {
            let mut once = false;
            while !self.watching && !once {
                match commands.recv().await {
                    None => return,
                    Some(DiscoveryCommand::Subscribe(on)) => self.watching = on,
                    Some(DiscoveryCommand::Fetch) => once = true,
                }
            }
            let index = if once || self.failed { 0 } else { self.blocking.index() };
            // Consul adds up to a sixteenth of the wait; two more seconds are for the network.
            let timeout = Duration::from_micros((self.wait + self.wait / 16) as u64 + 2_000_000);
            let response = tokio::select! {
                response = tokio::time::timeout(timeout, self.query(index)) => response,
                command = commands.recv() => match command {
                    None => return,
                    Some(DiscoveryCommand::Subscribe(on)) => {
                        self.watching = on;
                        continue;
                    }
                    Some(DiscoveryCommand::Fetch) => {
                        // Fetches the full list at once: the next query must not block.
                        self.blocking.on_answer(None);
                        continue;
                    }
                },
            };
            let input = match response {
                Ok(Ok((index, input))) => {
                    // The first response after a failure is used whatever its index is.
                    let had_failed = std::mem::take(&mut self.failed);
                    let changed = if once { QueryOutcome::Changed } else { self.blocking.on_answer(index) };
                    (changed == QueryOutcome::Changed || had_failed).then_some(input)
                }
                error => {
                    let why = match error {
                        Ok(Err(e)) => e,
                        _ => "no answer in time".into(),
                    };
                    tracing::warn!(
                        address = self.address,
                        why,
                        list = self.kind.what,
                        "list query failed; the last list stays in use"
                    );
                    self.failed = true;
                    let _ = inputs.send((self.kind.failure)()).await;
                    let fraction = self.jitter.next_fraction();
                    let pause = self.blocking.on_failure(fraction);
                    tokio::time::sleep_until(clock.instant(clock.now() + pause)).await;
                    None
                }
            };
            if let Some(input) = input {
                if inputs.send(input).await.is_err() {
                    return;
                }
                if self.min_interval > 0 {
                    tokio::time::sleep_until(clock.instant(clock.now() + self.min_interval)).await;
                }
            }
        }
    }

    async fn query(&self, index: u64) -> Result<(Option<u64>, Input), String> {
        let to_text = |e: &dyn std::fmt::Display| e.to_string();
        let stream = TcpStream::connect(&self.address).await.map_err(|e| to_text(&e))?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(|e| to_text(&e))?;
        let connection_task = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        let uri = format!(
            "/v1/health/service/{}?index={index}&wait={}ms{}",
            utf8_percent_encode(&self.service, NON_ALPHANUMERIC),
            self.wait / 1000,
            self.filter
        );
        let request = Request::get(uri).header("host", &self.address).body(Empty::<Bytes>::new());
        let send = async {
            let request = request.map_err(|e| to_text(&e))?;
            let response = sender.send_request(request).await.map_err(|e| to_text(&e))?;
            if !response.status().is_success() {
                return Err(format!("Consul responded with status {}", response.status()));
            }
            let index = response.headers().get("x-consul-index");
            let index = index.and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
            let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
                .collect()
                .await
                .map_err(|e| to_text(&e))?;
            let input = (self.kind.parse_body)(&body.to_bytes()).map_err(|e| to_text(&e))?;
            Ok((index, input))
        };
        let result = send.await;
        connection_task.abort();
        result
    }
}
