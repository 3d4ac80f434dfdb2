//! Load reports of workers.

use super::math::{update_average, GAIN};
use super::FrontEnd;
use crate::interface::*;

/// A reported queue shorter than this counts as empty.
const MIN_QUEUE: f32 = 0.5;

impl FrontEnd {
    /// Records that a worker responded, and its load if the response contains a report.
    pub(super) fn on_report(&mut self, index: usize, report: &LoadReport, now: Micros) {
        let worker = &mut self.workers[index];
        worker.estimates.last_response_at = now;
        let Some(values) = report else { return };
        let own_requests = worker.in_flight.len() as f64;
        let capacity = worker.endpoint.capacity;
        for (field, &value) in self.settings.report_fields.iter().zip(values) {
            let total = match field {
                ReportField::InFlight => f64::from(value),
                ReportField::Queue if value >= MIN_QUEUE => f64::from(value) + capacity,
                ReportField::Busy => f64::from(value).clamp(0.0, 1.0) * capacity,
                ReportField::Queue => {
                    // An empty queue only shows that the number of requests is at most the capacity.
                    worker.estimates.other_requests = None;
                    return;
                }
                ReportField::Other => continue,
            };
            update_average(&mut worker.estimates.other_requests, (total - own_requests).max(0.0), GAIN);
            worker.estimates.other_requests_at = now;
        }
    }
}
