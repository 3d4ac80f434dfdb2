//! A session's message exchange after the leader's welcome: reports and grants, views, retirements, inquiries.

use super::{stopped, ConnectionEnd, SessionState, LEAVE_TIMEOUT};
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

/// Minimum time without a grant after which another leader may exist; a longer lease extends it.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// Lease used if the configured one does not fit in a `u64`.
const DEFAULT_LEASE_MICROS: u64 = 1_000_000;
/// Random percentage of the report period between two reports, so that front ends do not all report at once.
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

    /// Whether the leader has granted no lease for too long: it may be partitioned, and another replica may lead.
    fn is_leader_silent(&self) -> bool {
        self.granted_at.elapsed() > self.lease.max(MIN_SILENCE)
    }
}

impl SessionState {
    /// Exchanges messages with the leader until the connection ends.
    pub(super) async fn exchange_messages(&mut self, frames: Frames) -> ConnectionEnd {
        let (mut output, mut responses) = frames.split();
        let lease = u64::try_from(self.client.terms.lease).unwrap_or(DEFAULT_LEASE_MICROS);
        let mut schedule = ReportSchedule::new(Duration::from_micros(lease));
        self.retirements.begin();
        let mut stop = self.client.stop.clone();
        loop {
            let (until_inquiry, has_inquiry) = (self.next_inquiry(), self.inquiries.next_due().is_some());
            let retirement_due = self.retirements.due();
            let may_retire = self.may_retire && self.retirements.has_capacity();
            let message = tokio::select! {
                () = stopped(&mut stop) => {
                    send_leave(&mut output, &mut responses).await;
                    return ConnectionEnd::Stopped;
                }
                frame = responses.next() => {
                    let Some(Ok(frame)) = frame else { return ConnectionEnd::Broken };
                    match self.on_response(&frame, &mut schedule).await {
                        Some(end) => return end,
                        None => None,
                    }
                }
                changed = self.client.report.changed() => {
                    if changed.is_err() {
                        return ConnectionEnd::Stopped;
                    }
                    self.on_report_changed(&mut schedule);
                    None
                }
                retirement = self.client.retire.recv(), if may_retire => self.on_retirement(retirement),
                inquiry = self.client.inquiries.recv(), if self.may_inquire => self.on_inquiry(inquiry),
                () = sleep(until_inquiry), if has_inquiry => self.inquiries.next_request((self.client.now)()),
                () = sleep_until(retirement_due.unwrap_or(schedule.next_at)), if retirement_due.is_some() => {
                    self.retirements.next_due(&mut self.random).map(SessionRequest::Retire)
                }
                () = sleep_until(schedule.next_at) => {
                    if schedule.is_leader_silent() {
                        return ConnectionEnd::Broken;
                    }
                    Some(self.next_report(&mut schedule))
                }
            };
            if let Some(message) = message {
                if !send_request(&mut output, &message).await {
                    return ConnectionEnd::Broken;
                }
            }
        }
    }

    /// Handles a frame from the leader; returns why the exchange ends, if the frame ends it.
    async fn on_response(&mut self, frame: &[u8], schedule: &mut ReportSchedule) -> Option<ConnectionEnd> {
        match decode::<SessionResponse>(frame) {
            Some(SessionResponse::Grant(grant)) => {
                schedule.granted_at = Instant::now();
                self.on_grant(grant);
            }
            Some(SessionResponse::View(view)) => {
                if !self.save_view(view).await {
                    return Some(ConnectionEnd::Broken);
                }
            }
            Some(SessionResponse::RetirementRejected { function, generation, reason }) => {
                self.retirements.on_rejected(&function, generation);
                tracing::error!(target: "stagehoist_consensus", event = "retirement",
                    name = %self.client.name, function, generation, why = reason, "retirement rejected by the leader");
            }
            Some(SessionResponse::Elsewhere { leader }) => return Some(ConnectionEnd::Elsewhere(leader)),
            Some(SessionResponse::Rejected { .. }) => return Some(ConnectionEnd::Refused),
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
            Some(SessionResponse::Welcome { .. }) | None => return Some(ConnectionEnd::Broken),
        }
        None
    }

    /// Handles a new report of the front end; schedules it earlier if it is urgent.
    fn on_report_changed(&mut self, schedule: &mut ReportSchedule) {
        let report = self.client.report.borrow_and_update().clone();
        if let Some(delay) = self.report_delay(&report) {
            schedule.next_at = schedule.next_at.min(schedule.reported_at + delay);
        }
    }

    /// Handles a retirement from the front end; `None`: the channel is closed.
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

    /// Handles an inquiry or an answer from the front end; `None`: the channel is closed.
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

    /// Returns the next report and schedules the one after it.
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

    /// Passes an event to the front end. If its queue is full the event is lost, and the inquirer's timeout covers that.
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

    /// Writes a received view to disk, then publishes it; false if the write failed.
    async fn save_view(&mut self, view: stagehoist_cluster_state::ClusterView) -> bool {
        if view.version > self.holder.version() {
            let published_view = view.clone();
            if !self.save(move |m| m.view = view).await {
                return false;
            }
            self.holder.on_view(published_view);
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
        self.client.status.send_if_modified(|status| {
            let differs = status != newest;
            if differs {
                status.clone_from(newest);
            }
            differs
        });
    }
}

/// Notifies the leader that this run ends, and waits until that is committed.
async fn send_leave(output: &mut Output, responses: &mut Responses) {
    let Ok(frame) = encode(&SessionRequest::Leave) else { return };
    let left = async {
        output.send(frame).await?;
        // The replica closes the connection once the leave is committed.
        while let Some(Ok(_)) = responses.next().await {}
        Ok::<(), std::io::Error>(())
    };
    // The session ends even if the leader does not answer in time.
    let _ = timeout(LEAVE_TIMEOUT, left).await;
}

/// Sends a request; false if the connection is broken.
async fn send_request(output: &mut Output, message: &SessionRequest) -> bool {
    let Ok(frame) = encode(message) else { return false };
    matches!(timeout(WRITE_TIMEOUT, output.send(frame)).await, Ok(Ok(())))
}
