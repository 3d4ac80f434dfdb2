//! A session once it is welcomed.

use super::{stopped, End, State, LEAVE_MOST, RETIRES_MOST, RETIRE_EVERY};
use crate::frames::{decode, encode, Frames, WRITE_MOST};
use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use stagehoist_registry::{Report, Retirement, ToKeeper, ToMember};
use std::time::Duration;
use tokio::time::{sleep_until, timeout, Instant};

impl State {
    /// Reports and hears until the connection is over.
    pub(super) async fn talk(&mut self, frames: Frames) -> End {
        let (mut sink, mut stream) = frames.split();
        let lease = Duration::from_micros(u64::try_from(self.client.terms.lease).unwrap_or(1_000_000));
        let silent_most = lease.max(Duration::from_secs(1));
        let (mut report_at, mut retire_at) = (Instant::now(), Instant::now());
        let mut reported = Instant::now();
        let mut granted_at = Instant::now();
        let mut stop = self.client.stop.clone();
        loop {
            let mut message = None;
            tokio::select! {
                () = stopped(&mut stop) => {
                    if let Ok(leave) = encode(&ToKeeper::Leave) {
                        let left = async {
                            sink.send(leave).await?;
                            // The keeper ends the connection once it is agreed on.
                            while let Some(Ok(_)) = stream.next().await {}
                            Ok::<(), std::io::Error>(())
                        };
                        let _ = timeout(LEAVE_MOST, left).await;
                    }
                    return End::Stopped;
                }
                frame = stream.next() => {
                    let Some(Ok(frame)) = frame else { return End::Broken };
                    match decode::<ToMember>(&frame) {
                        Some(ToMember::Grant(grant)) => {
                            granted_at = Instant::now();
                            self.granted(grant);
                        }
                        Some(ToMember::View(view)) => {
                            if !self.show(view) {
                                return End::Broken;
                            }
                        }
                        Some(ToMember::Elsewhere { leader }) => return End::Elsewhere(leader),
                        Some(ToMember::Refused { .. }) => return End::Refused,
                        Some(ToMember::Welcome { .. }) | None => return End::Broken,
                    }
                }
                changed = self.client.told.changed() => {
                    if changed.is_err() {
                        return End::Stopped;
                    }
                    let told = self.client.told.borrow_and_update().clone();
                    if let Some(gap) = self.urgent(&told) {
                        report_at = report_at.min(reported + gap);
                    }
                }
                asked = self.client.retire.recv(), if self.may_retire && self.open.len() < RETIRES_MOST => match asked {
                    Some(retirement) => {
                        if !self.is_shown(&retirement) {
                            message = Some(ToKeeper::Retire(retirement.clone()));
                            self.open.push_back(retirement);
                            retire_at = Instant::now() + RETIRE_EVERY;
                        }
                    }
                    None => self.may_retire = false,
                },
                () = sleep_until(retire_at), if !self.open.is_empty() => {
                    retire_at = Instant::now() + RETIRE_EVERY;
                    // One after the other: the queue turns.
                    if let Some(retirement) = self.open.pop_front() {
                        self.open.push_back(retirement.clone());
                        message = Some(ToKeeper::Retire(retirement));
                    }
                }
                () = sleep_until(report_at) => {
                    // A leader that gives no promise may be cut off from the others; another may lead by now.
                    if granted_at.elapsed() > silent_most {
                        return End::Broken;
                    }
                    reported = Instant::now();
                    report_at = reported + self.period(lease) * self.random.random_range(80..=100) / 100;
                    message = Some(ToKeeper::Report(self.report()));
                }
            }
            if let Some(message) = message {
                let Ok(frame) = encode(&message) else { return End::Broken };
                if !matches!(timeout(WRITE_MOST, sink.send(frame)).await, Ok(Ok(()))) {
                    return End::Broken;
                }
            }
        }
    }

    fn report(&mut self) -> Report {
        let told = self.client.told.borrow_and_update().clone();
        let number = self.holder.ask((self.client.now)());
        self.reported = told.clone();
        Report { number, confirmed: told.confirmed, ready_lanes: told.ready_lanes, demand: told.demand }
    }

    /// A view came: kept on disk first, then shown.
    fn show(&mut self, view: stagehoist_registry::View) -> bool {
        if view.version > self.holder.version() {
            if let Err(e) = self.client.kept.change(|m| m.view = view.clone()) {
                tracing::error!(target: "stagehoist_keeper", event = "store", name = %self.client.name,
                    why = %e,
                    "can't keep the view");
                return false;
            }
            self.holder.view(view);
            self.publish();
        }
        let view = self.holder.standing().view.clone();
        self.open.retain(|r| view.retired(&r.function, r.generation).is_none());
        true
    }

    fn is_shown(&self, retirement: &Retirement) -> bool {
        self.holder.standing().view.retired(&retirement.function, retirement.generation).is_some()
    }

    pub(super) fn publish(&mut self) {
        let newest = self.holder.standing();
        self.client.standing.send_if_modified(|standing| {
            let differs = standing != newest;
            if differs {
                standing.clone_from(newest);
            }
            differs
        });
    }
}
