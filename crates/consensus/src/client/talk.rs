//! A session once it is welcomed.

use super::{stopped, End, State, LEAVE_MOST};
use crate::frames::{decode, encode, Frames, WRITE_MOST};
use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use stagehoist_cluster_state::{Heard, Known, Report, Retirement, Said, ToKeeper, ToMember};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout, Instant};

impl State {
    /// Reports and hears until the connection is over.
    pub(super) async fn talk(&mut self, frames: Frames) -> End {
        let (mut sink, mut stream) = frames.split();
        let lease = Duration::from_micros(u64::try_from(self.client.terms.lease).unwrap_or(1_000_000));
        let silent_most = lease.max(Duration::from_secs(1));
        let mut report_at = Instant::now();
        self.retiring.begin();
        let mut reported = Instant::now();
        let mut granted_at = Instant::now();
        let mut stop = self.client.stop.clone();
        loop {
            let mut message = None;
            let (until_asked, asks) = (self.until_asked(), self.rounds.due().is_some());
            let again = self.retiring.due();
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
                            if !self.show(view).await {
                                return End::Broken;
                            }
                        }
                        Some(ToMember::NotRetired { function, generation, why }) => {
                            self.retiring.refused(&function, generation);
                            tracing::error!(target: "stagehoist_consensus", event = "retirement",
                                name = %self.client.name, function, generation, why, "refused by the record");
                        }
                        Some(ToMember::Elsewhere { leader }) => return End::Elsewhere(leader),
                        Some(ToMember::Refused { .. }) => return End::Refused,
                        Some(ToMember::Asked { number, turn, of }) => {
                            let heard = self.rounds.of(number, turn, of, (self.client.now)());
                            self.hear(heard);
                        }
                        Some(ToMember::Answer { from, number, known }) => {
                            let heard = self.rounds.told(number, from, &known);
                            self.hear(heard);
                        }
                        Some(ToMember::Ask { from, number, keys }) => {
                            self.hear(Some(Heard::Asked { from, number, keys }));
                        }
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
                asked = self.client.retire.recv(), if self.may_retire && self.retiring.has_room() => match asked {
                    Some(retirement) => {
                        if !self.is_shown(&retirement) {
                            message = Some(ToKeeper::Retire(retirement.clone()));
                            self.retiring.proposed(retirement);
                        }
                    }
                    None => self.may_retire = false,
                },
                said = self.client.said.recv(), if self.may_say => match said {
                    Some(Said::Answer { to, number, known }) => {
                        message = Some(ToKeeper::Answer { to, number, known });
                    }
                    Some(Said::Ask { number, keys }) => {
                        let now = (self.client.now)();
                        let unknown = vec![Some(Known::NotKnown); keys.len()];
                        if self.rounds.ask(number, keys, now) {
                            message = self.rounds.next(now);
                        } else {
                            self.hear(Some(Heard::Told { number, known: unknown }));
                        }
                    }
                    None => self.may_say = false,
                },
                () = sleep(until_asked), if asks => {
                    message = self.rounds.next((self.client.now)());
                }
                () = sleep_until(again.unwrap_or(report_at)), if again.is_some() => {
                    message = self.retiring.again(&mut self.random).map(ToKeeper::Retire);
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

    fn until_asked(&self) -> Duration {
        let due = self.rounds.due().unwrap_or(0).saturating_sub((self.client.now)());
        Duration::from_micros(due.max(0) as u64)
    }

    /// A front end that does not listen misses it: whoever asked gives up in time.
    fn hear(&self, heard: Option<Heard>) {
        if let Some(heard) = heard {
            let _ = self.client.heard.try_send(heard);
        }
    }

    fn report(&mut self) -> Report {
        let told = self.client.told.borrow_and_update().clone();
        let number = self.holder.ask((self.client.now)());
        self.reported = told.clone();
        Report { number, confirmed: told.confirmed, ready_lanes: told.ready_lanes, demand: told.demand }
    }

    /// A view came: kept on disk first, then shown.
    async fn show(&mut self, view: stagehoist_cluster_state::View) -> bool {
        if view.version > self.holder.version() {
            let shown = view.clone();
            if !self.keep(move |m| m.view = view).await {
                return false;
            }
            self.holder.view(shown);
            self.publish();
        }
        let view = self.holder.standing().view.clone();
        self.retiring.shown(&view, &mut self.random);
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
