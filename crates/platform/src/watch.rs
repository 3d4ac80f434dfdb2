//! The socket of the event bus: one connection at a time, which resumes after the last received event. It reconnects
//! after a break, a silence or a change of the bus address.

use crate::clients::Shared;
use crate::descriptors::{is_descriptor_limit, DescriptorUse};
use crate::endpoint_events::EndpointEvent;
use crate::executors::Executors;
use crate::read_turns::{ReadCost, SourceKind, Turn};
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

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of bytes read in one turn, and the minimum length of a frame.
const READ_SIZE: usize = 16 << 10;
const MIN_FRAME: usize = 13;

/// Watches the event bus until dropped. A change of `address`, even to the same value, causes a new connection at
/// once.
pub async fn watch_events(
    shared: Rc<Shared>,
    executors: Rc<Executors>,
    mut subscription: EventSubscription,
    mut starts: StartTimes,
    mut address: watch::Receiver<SocketAddr>,
) {
    // Inputs that were read and not yet passed to the driver. They outlive the connection, because the next one
    // requests later events only.
    let mut queued = VecDeque::new();
    let mut reported = ListValidity::default();
    let turn = shared.read_turns.add(SourceKind::Peer);
    loop {
        // The new socket is created right after the previous one was closed, with no await between, so that nothing
        // else can take its descriptor.
        let bus_address = *address.borrow_and_update();
        let socket = new_socket(bus_address);
        if let Err(error) = &socket {
            if is_descriptor_limit(error) {
                shared.descriptors.refused(DescriptorUse::Bus);
            }
            shared.descriptors.release_one();
        }
        report_validity(&subscription, &mut reported, &mut queued);
        if !forward(&shared.inputs, &mut queued).await {
            return;
        }
        let pause = Duration::from_micros(subscription.next_pause() as u64);
        let connecting = async {
            tokio::time::sleep(pause).await;
            tokio::time::timeout(CONNECT_TIMEOUT, socket?.connect(bus_address)).await?
        };
        let stream = tokio::select! {
            done = connecting => done.ok(),
            changed = address.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let Some(stream) = stream else { continue };
        let request = subscription.connected(shared.clock.now());
        report_validity(&subscription, &mut reported, &mut queued);
        // The request is written to the bus whether or not the driver's queue has room.
        forward_available(&shared.inputs, &mut queued);
        let connection = BusConnection {
            shared: &shared,
            executors: &executors,
            subscription: &mut subscription,
            queued: &mut queued,
            reported: &mut reported,
            starts: &mut starts,
            turn: &turn,
        };
        let why = tokio::select! {
            ended = connection.run(&stream, &request) => match ended {
                Some(why) => why,
                None => return,
            },
            changed = address.changed() => match changed {
                Ok(()) => "bus address reloaded".to_string(),
                Err(_) => return,
            },
        };
        let (now, late) = shared.earliest_time();
        subscription.ended(now, late);
        tracing::info!(subscription = %bus_address, last = subscription.last(), why, "event bus connection ended; reconnecting");
    }
}

fn new_socket(bus_address: SocketAddr) -> io::Result<TcpSocket> {
    if bus_address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
}

/// Passes the queued inputs to the driver; returns false once the driver has ended. It is cancel-safe: nothing is
/// awaited between removing an input from the queue and sending it.
async fn forward(inputs: &mpsc::Sender<Input>, queued: &mut VecDeque<Input>) -> bool {
    while !queued.is_empty() {
        let Ok(permit) = inputs.reserve().await else { return false };
        if let Some(item) = queued.pop_front() {
            permit.send(item);
        }
    }
    true
}

/// Passes queued inputs to the driver as far as its queue has room.
fn forward_available(inputs: &mpsc::Sender<Input>, queued: &mut VecDeque<Input>) {
    while !queued.is_empty() {
        let Ok(permit) = inputs.try_reserve() else { return };
        if let Some(item) = queued.pop_front() {
            permit.send(item);
        }
    }
}

/// The validity of the list that was last reported to the driver; none at first.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct ListValidity {
    until: Micros,
    complete_at: Micros,
}

/// Queues the validity of the list for the driver if it changed, after the events that were read before it.
fn report_validity(
    subscription: &EventSubscription,
    reported: &mut ListValidity,
    queued: &mut VecDeque<Input>,
) {
    let validity =
        ListValidity { until: subscription.valid_until(), complete_at: subscription.complete_at() };
    if validity != *reported {
        *reported = validity;
        // A queued validity is outdated.
        if matches!(queued.back(), Some(Input::EndpointListValid { .. })) {
            queued.pop_back();
        }
        let ListValidity { until, complete_at } = validity;
        queued.push_back(Input::EndpointListValid { until, complete_at });
    }
}

/// One connection to the event bus.
struct BusConnection<'a> {
    shared: &'a Shared,
    executors: &'a Rc<Executors>,
    subscription: &'a mut EventSubscription,
    /// Inputs that were read and not yet passed to the driver.
    queued: &'a mut VecDeque<Input>,
    reported: &'a mut ListValidity,
    starts: &'a mut StartTimes,
    turn: &'a Turn,
}

impl BusConnection<'_> {
    /// Requests the missing events and handles the input until the connection ends. Returns the reason, or None once
    /// the driver has ended.
    async fn run(mut self, stream: &TcpStream, request: &[u8]) -> Option<String> {
        if let Err(error) = write_all(stream, request).await {
            return Some(error.to_string());
        }
        let mut events = Vec::new();
        loop {
            let deadline = self.shared.clock.instant(self.subscription.silence_deadline());
            let ready = tokio::time::timeout_at(deadline, stream.readable()).await;
            if ready.is_ok() {
                self.shared.read_turns.acquire(self.turn).await;
            }
            let why = self.read(stream, ready.is_err(), &mut events);
            // No await between the event's number and this: requests are withdrawn from the moment the event is read.
            for mut event in events.drain(..) {
                let is_full = event.kind != EndpointUpdate::Delta;
                self.starts.apply(&mut event.endpoints, is_full, self.shared.clock.now());
                let withdrawn = self.executors.apply(event.kind, &event.endpoints);
                self.queued.push_back(Input::EndpointUpdate { kind: event.kind, endpoints: event.endpoints });
                self.queued.extend(withdrawn);
            }
            report_validity(self.subscription, self.reported, self.queued);
            if why.is_some() {
                return why;
            }
            if !forward(&self.shared.inputs, self.queued).await {
                return None;
            }
        }
    }

    /// Reads the pending input of the socket; returns why the connection ended, if it did.
    fn read(
        &mut self,
        stream: &TcpStream,
        is_silent: bool,
        events: &mut Vec<EndpointEvent>,
    ) -> Option<String> {
        let mut read_buffer = self.shared.read_buffer.borrow_mut();
        // Also read after the timeout, because this process itself may have been late.
        let length = match uninterrupted(|| stream.try_read(&mut read_buffer[..READ_SIZE])) {
            Ok(0) => return Some("the event bus closed the connection".into()),
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                return is_silent.then(|| "the event bus sent nothing before the timeout".into());
            }
            Err(e) => return Some(e.to_string()),
        };
        let cost = ReadCost { bytes: length, messages: (length / MIN_FRAME) as u32, unproductive: 0 };
        self.shared.read_turns.charge(self.turn, cost);
        let (now, late) = self.shared.earliest_time();
        let result = self.subscription.feed(&read_buffer[..length], (now, now - late), events);
        result.err().map(|error| error.to_string())
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
