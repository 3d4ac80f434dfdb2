//! A session once it is welcomed.

use super::{stopped, End, State, LEAVE_TIMEOUT};
use crate::frames::{decode, encode, Frames, WRITE_TIMEOUT};
use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use stagehoist_cluster_state::{
    InquiryEvent, InquiryMessage, MessageKnowledge, Report, Retirement, SessionRequest, SessionResponse,
};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout, Instant};

impl State {
    /// Reports and hears until the connection is over.
    pub(super) async fn talk(&mut self, frames: Frames) -> End {
        let (mut sink, mut stream) = frames.split();
        let lease = Duration::from_micros(u64::try_from(self.client.terms.lease).unwrap_or(1_000_000));
        let silent_most = lease.max(Duration::from_secs(1));
        let mut report_at = Instant::now();
        self.retirements.begin();
        let mut reported = Instant::now();
        let mut granted_at = Instant::now();
        let mut stop = self.client.stop.clone();
        loop {
            let mut message = None;
            let (until_asked, asks) = (self.next_inquiry(), self.inquiries.next_due().is_some());
            let again = self.retirements.due();
            tokio::select! {
                () = stopped(&mut stop) => {
                    if let Ok(leave) = encode(&SessionRequest::Leave) {
                        let left = async {
                            sink.send(leave).await?;
                            // The replica ends the connection once it is agreed on.
                            while let Some(Ok(_)) = stream.next().await {}
                            Ok::<(), std::io::Error>(())
                        };
                        let _ = timeout(LEAVE_TIMEOUT, left).await;
                    }
                    return End::Stopped;
                }
                frame = stream.next() => {
                    let Some(Ok(frame)) = frame else { return End::Broken };
                    match decode::<SessionResponse>(&frame) {
                        Some(SessionResponse::Grant(grant)) => {
                            granted_at = Instant::now();
                            self.on_grant(grant);
                        }
                        Some(SessionResponse::View(view)) => {
                            if !self.save_view(view).await {
                                return End::Broken;
                            }
                        }
                        Some(SessionResponse::RetirementRejected { function, generation, reason: why }) => {
                            self.retirements.on_rejected(&function, generation);
                            tracing::error!(target: "stagehoist_consensus", event = "retirement",
                                name = %self.client.name, function, generation, why, "refused by the record");
                        }
                        Some(SessionResponse::Elsewhere { leader }) => return End::Elsewhere(leader),
                        Some(SessionResponse::Rejected { .. }) => return End::Refused,
                        Some(SessionResponse::InquiryMembers { number, round: turn, members: of }) => {
                            let event = self.inquiries.on_members(number, turn, of, (self.client.now)());
                            self.pass_event(event);
                        }
                        Some(SessionResponse::Answer { from, number, known }) => {
                            let event = self.inquiries.on_answer(number, from, &known);
                            self.pass_event(event);
                        }
                        Some(SessionResponse::Inquire { from, number, keys }) => {
                            self.pass_event(Some(InquiryEvent::Inquired { from, number, keys }));
                        }
                        Some(SessionResponse::Welcome { .. }) | None => return End::Broken,
                    }
                }
                changed = self.client.report.changed() => {
                    if changed.is_err() {
                        return End::Stopped;
                    }
                    let report = self.client.report.borrow_and_update().clone();
                    if let Some(gap) = self.report_delay(&report) {
                        report_at = report_at.min(reported + gap);
                    }
                }
                asked = self.client.retire.recv(), if self.may_retire && self.retirements.has_capacity() => match asked {
                    Some(retirement) => {
                        if !self.is_in_view(&retirement) {
                            message = Some(SessionRequest::Retire(retirement.clone()));
                            self.retirements.proposed(retirement);
                        }
                    }
                    None => self.may_retire = false,
                },
                said = self.client.inquiries.recv(), if self.may_inquire => match said {
                    Some(InquiryMessage::Answer { to, number, known }) => {
                        message = Some(SessionRequest::Answer { to, number, known });
                    }
                    Some(InquiryMessage::Inquire { number, keys }) => {
                        let now = (self.client.now)();
                        let unknown = vec![Some(MessageKnowledge::NotKnown); keys.len()];
                        if self.inquiries.start(number, keys, now) {
                            message = self.inquiries.next_request(now);
                        } else {
                            self.pass_event(Some(InquiryEvent::Answered { number, known: unknown }));
                        }
                    }
                    None => self.may_inquire = false,
                },
                () = sleep(until_asked), if asks => {
                    message = self.inquiries.next_request((self.client.now)());
                }
                () = sleep_until(again.unwrap_or(report_at)), if again.is_some() => {
                    message = self.retirements.next_due(&mut self.random).map(SessionRequest::Retire);
                }
                () = sleep_until(report_at) => {
                    // A leader that gives no promise may be cut off from the others; another may lead by now.
                    if granted_at.elapsed() > silent_most {
                        return End::Broken;
                    }
                    reported = Instant::now();
                    report_at = reported + self.period(lease) * self.random.random_range(80..=100) / 100;
                    message = Some(SessionRequest::Report(self.report()));
                }
            }
            if let Some(message) = message {
                let Ok(frame) = encode(&message) else { return End::Broken };
                if !matches!(timeout(WRITE_TIMEOUT, sink.send(frame)).await, Ok(Ok(()))) {
                    return End::Broken;
                }
            }
        }
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
