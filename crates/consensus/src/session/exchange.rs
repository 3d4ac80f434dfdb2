//! The exchange of a session once the leader has welcomed it: reports and grants, views, retirements, inquiries.

use super::{stopped, End, State, LEAVE_TIMEOUT};
use crate::frames::{decode, encode, Frames, WRITE_TIMEOUT};
use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use stagehoist_cluster_state::{
    InquiryEvent, InquiryMessage, MessageKnowledge, Report, Retirement, SessionRequest, SessionResponse,
};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Shortest silence of a leader, in lease time, after which another may lead.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// The lease that is assumed where the configured one does not fit.
const DEFAULT_LEASE_MICROS: u64 = 1_000_000;
/// Percent of the report period that a report is sent after, drawn, so that front ends do not report together.
const REPORT_JITTER: std::ops::RangeInclusive<u32> = 80..=100;

type Output = SplitSink<Frames, Bytes>;
type Responses = SplitStream<Frames>;

/// When reports are sent, and when the leader last answered one.
struct ReportSchedule {
    lease: Duration,
    next_at: Instant,
    reported_at: Instant,
    granted_at: Instant,
}

impl ReportSchedule {
    fn new(lease: Duration) -> ReportSchedule {
        let now = Instant::now();
        ReportSchedule { lease, next_at: now, reported_at: now, granted_at: now }
    }

    /// A leader that gives no lease may be cut off from the others; another may lead by now.
    fn is_leader_silent(&self) -> bool {
        self.granted_at.elapsed() > self.lease.max(MIN_SILENCE)
    }
}

impl State {
    /// Exchanges messages with the leader until the connection is over.
    pub(super) async fn talk(&mut self, frames: Frames) -> End {
        let (mut output, mut responses) = frames.split();
        let lease = u64::try_from(self.client.terms.lease).unwrap_or(DEFAULT_LEASE_MICROS);
        let mut schedule = ReportSchedule::new(Duration::from_micros(lease));
        self.retirements.begin();
        let mut stop = self.client.stop.clone();
        loop {
            let (until_inquiry, inquires) = (self.next_inquiry(), self.inquiries.next_due().is_some());
            let retirement_due = self.retirements.due();
            let may_retire = self.may_retire && self.retirements.has_capacity();
            let message = tokio::select! {
                () = stopped(&mut stop) => {
                    leave(&mut output, &mut responses).await;
                    return End::Stopped;
                }
                frame = responses.next() => {
                    let Some(Ok(frame)) = frame else { return End::Broken };
                    match self.on_response(&frame, &mut schedule).await {
                        Some(end) => return end,
                        None => None,
                    }
                }
                changed = self.client.report.changed() => {
                    if changed.is_err() {
                        return End::Stopped;
                    }
                    self.on_report_changed(&mut schedule);
                    None
                }
                retirement = self.client.retire.recv(), if may_retire => self.on_retirement(retirement),
                inquiry = self.client.inquiries.recv(), if self.may_inquire => self.on_inquiry(inquiry),
                () = sleep(until_inquiry), if inquires => self.inquiries.next_request((self.client.now)()),
                () = sleep_until(retirement_due.unwrap_or(schedule.next_at)), if retirement_due.is_some() => {
                    self.retirements.next_due(&mut self.random).map(SessionRequest::Retire)
                }
                () = sleep_until(schedule.next_at) => {
                    if schedule.is_leader_silent() {
                        return End::Broken;
                    }
                    Some(self.next_report(&mut schedule))
                }
            };
            if let Some(message) = message {
                if !send(&mut output, &message).await {
                    return End::Broken;
                }
            }
        }
    }

    /// The leader sent a frame; the end of the exchange where it brings that.
    async fn on_response(&mut self, frame: &[u8], schedule: &mut ReportSchedule) -> Option<End> {
        match decode::<SessionResponse>(frame) {
            Some(SessionResponse::Grant(grant)) => {
                schedule.granted_at = Instant::now();
                self.on_grant(grant);
            }
            Some(SessionResponse::View(view)) => {
                if !self.save_view(view).await {
                    return Some(End::Broken);
                }
            }
            Some(SessionResponse::RetirementRejected { function, generation, reason }) => {
                self.retirements.on_rejected(&function, generation);
                tracing::error!(target: "stagehoist_consensus", event = "retirement",
                    name = %self.client.name, function, generation, why = reason, "retirement rejected");
            }
            Some(SessionResponse::Elsewhere { leader }) => return Some(End::Elsewhere(leader)),
            Some(SessionResponse::Rejected { .. }) => return Some(End::Refused),
            Some(SessionResponse::InquiryMembers { number, round, members }) => {
                let event = self.inquiries.on_members(number, round, members, (self.client.now)());
                self.pass_event(event);
            }
            Some(SessionResponse::Answer { from, number, known }) => {
                let event = self.inquiries.on_answer(number, from, &known);
                self.pass_event(event);
            }
            Some(SessionResponse::Inquire { from, number, keys }) => {
                self.pass_event(Some(InquiryEvent::Inquired { from, number, keys }));
            }
            Some(SessionResponse::Welcome { .. }) | None => return Some(End::Broken),
        }
        None
    }

    /// The front end has a new report; it is sent early where it is urgent.
    fn on_report_changed(&mut self, schedule: &mut ReportSchedule) {
        let report = self.client.report.borrow_and_update().clone();
        if let Some(delay) = self.report_delay(&report) {
            schedule.next_at = schedule.next_at.min(schedule.reported_at + delay);
        }
    }

    /// The front end wants a function retired; `None`: it will want nothing more.
    fn on_retirement(&mut self, retirement: Option<Retirement>) -> Option<SessionRequest> {
        let Some(retirement) = retirement else {
            self.may_retire = false;
            return None;
        };
        if self.is_in_view(&retirement) {
            return None;
        }
        self.retirements.proposed(retirement.clone());
        Some(SessionRequest::Retire(retirement))
    }

    /// The front end inquires or answers an inquiry; `None`: it will do neither any more.
    fn on_inquiry(&mut self, message: Option<InquiryMessage>) -> Option<SessionRequest> {
        match message {
            Some(InquiryMessage::Answer { to, number, known }) => {
                Some(SessionRequest::Answer { to, number, known })
            }
            Some(InquiryMessage::Inquire { number, keys }) => {
                let now = (self.client.now)();
                let unknown = vec![Some(MessageKnowledge::NotKnown); keys.len()];
                if self.inquiries.start(number, keys, now) {
                    return self.inquiries.next_request(now);
                }
                self.pass_event(Some(InquiryEvent::Answered { number, known: unknown }));
                None
            }
            None => {
                self.may_inquire = false;
                None
            }
        }
    }

    /// The next report, and the time of the one after it.
    fn next_report(&mut self, schedule: &mut ReportSchedule) -> SessionRequest {
        schedule.reported_at = Instant::now();
        let period = self.period(schedule.lease) * self.random.random_range(REPORT_JITTER) / 100;
        schedule.next_at = schedule.reported_at + period;
        SessionRequest::Report(self.report())
    }

    fn next_inquiry(&self) -> Duration {
        let due = self.inquiries.next_due().unwrap_or(0).saturating_sub((self.client.now)());
        Duration::from_micros(due.max(0) as u64)
    }

    /// A front end that does not listen misses it: whoever asked times out in time.
    fn pass_event(&self, event: Option<InquiryEvent>) {
        if let Some(event) = event {
            let _ = self.client.inquiry_events.try_send(event);
        }
    }

    fn report(&mut self) -> Report {
        let report = self.client.report.borrow_and_update().clone();
        let number = self.holder.begin_report((self.client.now)());
        self.reported = report.clone();
        Report {
            number,
            confirmed: report.confirmed,
            ready_capacity: report.ready_capacity,
            demand: report.demand,
        }
    }

    /// A view came: kept on disk first, then shown.
    async fn save_view(&mut self, view: stagehoist_cluster_state::ClusterView) -> bool {
        if view.version > self.holder.version() {
            let shown = view.clone();
            if !self.save(move |m| m.view = view).await {
                return false;
            }
            self.holder.on_view(shown);
            self.publish();
        }
        let view = self.holder.status().view.clone();
        self.retirements.on_view(&view, &mut self.random);
        true
    }

    fn is_in_view(&self, retirement: &Retirement) -> bool {
        self.holder.status().view.retired(&retirement.function, retirement.generation).is_some()
    }

    pub(super) fn publish(&mut self) {
        let newest = self.holder.status();
        self.client.status.send_if_modified(|standing| {
            let differs = standing != newest;
            if differs {
                standing.clone_from(newest);
            }
            differs
        });
    }
}

/// Tells the leader that this run ends, and waits until that is agreed on.
async fn leave(output: &mut Output, responses: &mut Responses) {
    let Ok(frame) = encode(&SessionRequest::Leave) else { return };
    let left = async {
        output.send(frame).await?;
        // The replica ends the connection once it is agreed on.
        while let Some(Ok(_)) = responses.next().await {}
        Ok::<(), std::io::Error>(())
    };
    // A leader that does not answer in time is left all the same.
    let _ = timeout(LEAVE_TIMEOUT, left).await;
}

/// Sends a request; false where the connection is broken.
async fn send(output: &mut Output, message: &SessionRequest) -> bool {
    let Ok(frame) = encode(message) else { return false };
    matches!(timeout(WRITE_TIMEOUT, output.send(frame)).await, Ok(Ok(())))
}
