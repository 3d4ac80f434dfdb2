//! The event bus' socket: one connection at a time, from the last event taken, anew after a break, silence, or word of
//! another address.

use crate::clients::Shared;
use crate::descriptors::{is_want, Refusal};
use crate::endpoint_events::EndpointEvent;
use crate::executors::Executors;
use crate::sockets::uninterrupted;
use crate::start_times::StartTimes;
use crate::subscription::EventSubscription;
use stagehoist::{EndpointUpdate, Micros};
use stagehoist_gateway::state::Input;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};

const CONNECT: Duration = Duration::from_millis(500);

/// Follows until dropped. A change of `address`, even to the same, means a new connection at once.
pub async fn watch_events(
    shared: Rc<Shared>,
    executors: Rc<Executors>,
    mut subscription: EventSubscription,
    mut starts: StartTimes,
    mut address: watch::Receiver<SocketAddr>,
) {
    // Read and not yet handed to the driver. It outlives the connection: the next one is asked for later events only.
    let mut waiting = VecDeque::new();
    // Until when the list was last reported to be valid.
    let mut reported = Micros::MIN;
    loop {
        // Made in the instant in which the one before it was let go of, with nothing awaited between: whatever else may want
        // its descriptor, the event subscription has it.
        let to = *address.borrow_and_update();
        let socket = unconnected(to);
        if let Err(error) = &socket {
            if is_want(error) {
                shared.descriptors.refused(Refusal::Bus);
            }
            shared.descriptors.release_one();
        }
        report_validity(&subscription, &mut reported, &mut waiting);
        if !hand_over(&shared.inputs, &mut waiting).await {
            return;
        }
        let pause = Duration::from_micros(subscription.pause() as u64);
        let connecting = async {
            tokio::time::sleep(pause).await;
            tokio::time::timeout(CONNECT, socket?.connect(to)).await?
        };
        let stream = tokio::select! {
            done = connecting => done.ok(),
            changed = address.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let Some(stream) = stream else { continue };
        let asks = subscription.connected(shared.clock.now());
        report_validity(&subscription, &mut reported, &mut waiting);
        // The bus is asked whether or not the driver has room just now.
        hand_over_now(&shared.inputs, &mut waiting);
        let listening = Listener {
            shared: &shared,
            executors: &executors,
            subscription: &mut subscription,
            waiting: &mut waiting,
            reported: &mut reported,
            starts: &mut starts,
        };
        let why = tokio::select! {
            ended = listening.run(&stream, &asks) => match ended {
                Some(why) => why,
                None => return,
            },
            changed = address.changed() => match changed {
                Ok(()) => "told anew where it is".to_string(),
                Err(_) => return,
            },
        };
        let (now, late) = shared.earliest_time();
        subscription.ended(now, late);
        tracing::info!(subscription = %to, last = subscription.last(), why, "connecting to the event bus again");
    }
}

fn unconnected(to: SocketAddr) -> io::Result<TcpSocket> {
    if to.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
}

/// Gives the driver what waits for it; false once there is no driver. Dropped at any time it loses nothing, as nothing is
/// awaited between taking an item and handing it over.
async fn hand_over(inputs: &mpsc::Sender<Input>, waiting: &mut VecDeque<Input>) -> bool {
    while !waiting.is_empty() {
        let Ok(permit) = inputs.reserve().await else { return false };
        if let Some(item) = waiting.pop_front() {
            permit.send(item);
        }
    }
    true
}

/// Gives the driver what it has room for now.
fn hand_over_now(inputs: &mpsc::Sender<Input>, waiting: &mut VecDeque<Input>) {
    while !waiting.is_empty() {
        let Ok(permit) = inputs.try_reserve() else { return };
        if let Some(item) = waiting.pop_front() {
            permit.send(item);
        }
    }
}

/// Tells the driver until when the list is valid, where that changed: after the events that were read before it.
fn report_validity(subscription: &EventSubscription, reported: &mut Micros, waiting: &mut VecDeque<Input>) {
    let until = subscription.valid_until();
    if until != *reported {
        *reported = until;
        // One that was not handed over yet is out of date.
        if matches!(waiting.back(), Some(Input::EndpointListValid { .. })) {
            waiting.pop_back();
        }
        waiting.push_back(Input::EndpointListValid { until });
    }
}

/// One connection to the event bus.
struct Listener<'a> {
    shared: &'a Shared,
    executors: &'a Rc<Executors>,
    subscription: &'a mut EventSubscription,
    /// Read and not yet handed to the driver.
    waiting: &'a mut VecDeque<Input>,
    reported: &'a mut Micros,
    starts: &'a mut StartTimes,
}

impl Listener<'_> {
    /// Asks for what is missing and takes what comes until the connection is over: why. None once there is no driver.
    async fn run(mut self, stream: &TcpStream, asks: &[u8]) -> Option<String> {
        if let Err(error) = write_all(stream, asks).await {
            return Some(error.to_string());
        }
        let mut events = Vec::new();
        loop {
            let silent = self.shared.clock.instant(self.subscription.silent_at());
            let ready = tokio::time::timeout_at(silent, stream.readable()).await;
            let why = self.read(stream, ready.is_err(), &mut events);
            // Without a pause between the event's number and this: what counts as known is withdrawn from and on its way.
            for mut event in events.drain(..) {
                let is_full = event.kind != EndpointUpdate::Delta;
                self.starts.apply(&mut event.endpoints, is_full, self.shared.clock.now());
                let withdrawn = self.executors.apply(event.kind, &event.endpoints);
                self.waiting
                    .push_back(Input::EndpointUpdate { kind: event.kind, endpoints: event.endpoints });
                self.waiting.extend(withdrawn);
            }
            report_validity(self.subscription, self.reported, self.waiting);
            if why.is_some() {
                return why;
            }
            if !hand_over(&self.shared.inputs, self.waiting).await {
                return None;
            }
        }
    }

    /// Reads what lies in the socket; why the connection is over, if it is.
    fn read(
        &mut self,
        stream: &TcpStream,
        is_silent: bool,
        events: &mut Vec<EndpointEvent>,
    ) -> Option<String> {
        let mut scratch = self.shared.scratch.borrow_mut();
        // Also after the time ran out: this process itself may have been late.
        let read = match uninterrupted(|| stream.try_read(&mut scratch)) {
            Ok(0) => return Some("closed".into()),
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                return is_silent.then(|| "silent".into());
            }
            Err(e) => return Some(e.to_string()),
        };
        let (now, late) = self.shared.earliest_time();
        let fed = self.subscription.feed(&scratch[..read], (now, now - late), events);
        fed.err().map(|error| error.to_string())
    }
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match uninterrupted(|| stream.try_write(bytes)) {
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
