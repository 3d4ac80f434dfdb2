//! Counters, gauges and histograms of the front ends, and the HTTP endpoint that serves them in Prometheus' text format.

use crate::amqp::link::LinkState;
use crate::error::GatewayError;
use crate::state::{Answer, Core};
use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::{counter, gauge, histogram, Histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use stagehoist::Micros;
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::TcpListener;

/// Histogram buckets of answer times, in seconds.
const BUCKETS: [f64; 14] =
    [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.0, 2.5, 5.0];

/// Installs the metrics recorder of this process.
pub fn install() -> Result<PrometheusHandle, GatewayError> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS)
        .map_err(|e| GatewayError::Metrics(e.to_string()))?
        .install_recorder()
        .map_err(|e| GatewayError::Metrics(e.to_string()))
}

/// Serves the metrics until the future is dropped.
pub async fn serve(listener: TcpListener, handle: PrometheusHandle) {
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Accepting fails, for example, when no file descriptors are left; a later accept may succeed.
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        while tasks.try_join_next().is_some() {}
        if tasks.len() >= 64 {
            continue;
        }
        let handle = handle.clone();
        tasks.spawn(async move {
            let page = service_fn(move |_: Request<hyper::body::Incoming>| {
                handle.run_upkeep();
                let body = Full::new(Bytes::from(handle.render()));
                let response =
                    Response::builder().header("content-type", "text/plain; version=0.0.4").body(body);
                async move { Ok::<_, Infallible>(response.unwrap_or_default()) }
            });
            let mut server = hyper::server::conn::http1::Builder::new();
            server.timer(TokioTimer::new()).header_read_timeout(Duration::from_secs(5));
            let serving = server.serve_connection(TokioIo::new(stream), page);
            // A scraper that hangs or disconnects is ignored.
            let _ = tokio::time::timeout(Duration::from_secs(30), serving).await;
        });
    }
}

/// The metrics of one front end. The histograms' handles are looked up once.
pub struct Gauges {
    label: String,
    served: Histogram,
    refused: Histogram,
    failed: Histogram,
}

impl Gauges {
    /// Creates the metrics of a front end.
    pub fn new(front_end: u32) -> Gauges {
        let label = front_end.to_string();
        let answer_seconds = |outcome: &'static str| histogram!("stagehoist_answer_seconds", "front_end" => label.clone(), "outcome" => outcome);
        let (served, refused, failed) =
            (answer_seconds("served"), answer_seconds("refused"), answer_seconds("failed"));
        Gauges { served, refused, failed, label }
    }

    /// Records an answer and the time since its call was accepted.
    pub fn record_answer(&self, answer: &Answer, elapsed: Micros) {
        let histogram = match answer {
            Answer::Served { .. } | Answer::Gated(_) => &self.served,
            Answer::Refused { .. } => &self.refused,
            Answer::Failed { .. } | Answer::Retired(_) => &self.failed,
        };
        histogram.record(elapsed as f64 / 1e6);
    }

    /// Updates the counters and gauges.
    pub fn publish(&self, core: &Core, link: &LinkState) {
        let c = &core.counters;
        let f = &link.counters;
        for (name, value) in [
            ("stagehoist_calls_taken_total", c.taken),
            ("stagehoist_calls_served_total", c.served),
            ("stagehoist_calls_refused_total", c.refused),
            ("stagehoist_calls_failed_total", c.failed),
            ("stagehoist_calls_turned_away_total", c.rejected_at_intake),
            ("stagehoist_attempts_total", c.attempts),
            ("stagehoist_further_attempts_total", c.retries),
            ("stagehoist_loads_ordered_total", c.loads),
            ("stagehoist_unloads_ordered_total", c.unloads),
            ("stagehoist_probes_total", c.health_checks),
            ("stagehoist_batches_total", c.batches),
            ("stagehoist_worker_lists_total", c.endpoint_lists),
            ("stagehoist_module_microseconds_total", c.module_ns / 1000),
            ("stagehoist_amqp_delivered_total", f.delivered),
            ("stagehoist_amqp_redelivered_total", f.redelivered),
            ("stagehoist_amqp_rejected_total", f.rejected),
            ("stagehoist_amqp_replies_total", f.replies),
            ("stagehoist_amqp_acks_total", f.acks),
            ("stagehoist_amqp_confirmed_total", f.confirmed),
            ("stagehoist_amqp_unroutable_total", f.unroutable),
            ("stagehoist_amqp_from_memory_total", f.from_memory),
            ("stagehoist_amqp_turned_away_total", f.rejected_at_intake),
            ("stagehoist_amqp_windows_total", f.windows),
            ("stagehoist_amqp_joined_total", f.joined),
            ("stagehoist_amqp_withheld_total", f.withheld),
            ("stagehoist_amqp_failed_unknown_total", f.failed_unknown),
            ("stagehoist_amqp_connections_lost_total", f.connections_lost),
        ] {
            counter!(name, "front_end" => self.label.clone()).absolute(value);
        }
        for (name, value) in [
            ("stagehoist_calls_unanswered", core.unanswered() as f64),
            ("stagehoist_attempts_out", core.attempts_in_flight() as f64),
            ("stagehoist_workers_ready", core.ready_workers() as f64),
            ("stagehoist_amqp_consuming", f64::from(u8::from(link.ready))),
            ("stagehoist_amqp_awaits_list", f64::from(u8::from(link.awaits_endpoints))),
        ] {
            gauge!(name, "front_end" => self.label.clone()).set(value);
        }
        if let Some((owned, leaving)) = core.shard_workers() {
            let label = || self.label.clone();
            gauge!("stagehoist_shard_workers", "front_end" => label()).set(owned as f64);
            gauge!("stagehoist_shard_workers_leaving", "front_end" => label()).set(leaving as f64);
            counter!("stagehoist_shard_calls_leaving_total", "front_end" => label())
                .absolute(f.leaving_shard);
            counter!("stagehoist_shard_calls_other_total", "front_end" => label()).absolute(f.other_shard);
        }
        if let Some((others, changes)) = core.listed_front_ends() {
            let label = || self.label.clone();
            gauge!("stagehoist_shard_front_ends", "front_end" => label()).set(others as f64 + 1.0);
            counter!("stagehoist_shard_changes_total", "front_end" => label()).absolute(changes);
            counter!("stagehoist_shard_list_failures_total", "front_end" => label())
                .absolute(c.front_end_list_failures);
            counter!("stagehoist_shard_calls_given_back_total", "front_end" => label()).absolute(f.requeued);
        }
        if let Some(phase) = core.recovery_phase() {
            gauge!("stagehoist_recovery_stage", "front_end" => self.label.clone()).set(phase as u8 as f64);
        }
        if let Some((version, fresh, retired)) = core.fleet_state() {
            let label = || self.label.clone();
            gauge!("stagehoist_view_version", "front_end" => label()).set(version as f64);
            gauge!("stagehoist_view_fresh", "front_end" => label()).set(f64::from(u8::from(fresh)));
            counter!("stagehoist_retired_calls_total", "front_end" => label()).absolute(retired);
        }
    }
}
