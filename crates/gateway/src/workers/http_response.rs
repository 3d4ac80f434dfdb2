//! Interpretation of a worker's response: outcome, copy report, load report and drain state.

use bytes::Bytes;
use hyper::header::{HeaderMap, CONTENT_TYPE};
use hyper::StatusCode;
use serde_json::Value;
use stagehoist::{CopyReport, LoadReport, Micros, Outcome};

use crate::state::AttemptResult;

pub const NOT_RUN: &str = "stagehoist-not-run";
pub const COPY: &str = "stagehoist-copy";
pub const CROWD: &str = "stagehoist-crowd";
pub const WORKER: &str = "stagehoist-worker";
/// Response header with an ORCA load report; the next constant is the request header that asks for one.
pub const LOAD_METRICS: &str = "endpoint-load-metrics";
pub const LOAD_METRICS_FORMAT: &str = "endpoint-load-metrics-format";

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the outcome that a status and its headers express.
pub fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    if status.is_success() {
        return Outcome::Ok;
    }
    match text(headers, NOT_RUN) {
        Some("not-loaded") => Outcome::Miss,
        Some("queue-full" | "no-memory" | "draining") => Outcome::Full,
        // A status alone does not prove that the call did not run: a worker may send 503 after it began the call.
        _ => Outcome::Error,
    }
}

/// Returns the headers' report on the copy that served the call.
pub fn copy_report(headers: &HeaderMap) -> CopyReport {
    let copy_state = match text(headers, COPY) {
        Some("warm") => 1,
        Some("began") => 2,
        Some("waited") => 3,
        Some("load-failed") => 4,
        _ => 0,
    };
    let crowd = text(headers, CROWD).and_then(|c| c.parse().ok()).unwrap_or(0);
    CopyReport { state: copy_state, concurrency: crowd }
}

/// Returns whether the worker announced that it is draining (true) or serving (false).
pub fn announced_draining(headers: &HeaderMap) -> Option<bool> {
    match text(headers, WORKER) {
        Some("draining") => Some(true),
        Some("serving") => Some(false),
        _ => None,
    }
}

/// Looks up a value of a report by its name.
type Lookup = Box<dyn Fn(&str) -> Option<f64>>;

/// Parses an ORCA load report in its `JSON` or `TEXT` form into the values of `fields`. `busy` is `cpu_utilization`;
/// every other name is looked up in `named_metrics`, then among the report's own fields. A missing value is 0.
pub fn load_report(headers: &HeaderMap, fields: &[String]) -> LoadReport {
    let line = text(headers, LOAD_METRICS)?;
    let (format_name, payload) = line.split_once(' ')?;
    let value: Lookup = match format_name {
        "JSON" => {
            let json: Value = serde_json::from_str(payload).ok()?;
            Box::new(move |name: &str| match name {
                "busy" => json.get("cpu_utilization")?.as_f64(),
                name => json.get("named_metrics").and_then(|m| m.get(name)).or(json.get(name))?.as_f64(),
            })
        }
        "TEXT" => {
            let pairs: Vec<(String, f64)> = payload
                .split(',')
                .filter_map(|p| p.split_once('='))
                .filter_map(|(k, v)| Some((k.trim().to_string(), v.trim().parse().ok()?)))
                .collect();
            Box::new(move |name: &str| {
                let qualified = format!("named_metrics.{name}");
                let name = if name == "busy" { "cpu_utilization" } else { name };
                pairs.iter().find(|(k, _)| *k == qualified || k == name).map(|p| p.1)
            })
        }
        _ => return None,
    };
    let mut report = [0f32; 4];
    for (slot, field) in report.iter_mut().zip(fields) {
        *slot = value(field).unwrap_or(0.0) as f32;
    }
    Some(report)
}

/// Returns the result of an attempt from its complete response.
pub fn attempt_result(
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
    fields: &[String],
) -> AttemptResult {
    AttemptResult {
        read_at: 0,
        connected_at: Micros::MAX,
        outcome: outcome(status, headers),
        copy: copy_report(headers),
        report: load_report(headers, fields),
        body,
        content_type: headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok()).map(str::to_string),
        draining: announced_draining(headers),
    }
}
