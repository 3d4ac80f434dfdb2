//! The event bus' socket: one connection at a time, from the last event taken, anew after a break, silence, or word of
//! another address.

use crate::clients::Shared;
use crate::descriptors::{is_want, Refusal};
use crate::executors::Executors;
use crate::subscription::EventSubscription;
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
    mut address: watch::Receiver<SocketAddr>,
) {
    // Read and not yet handed to the driver. It outlives the connection: the next one is asked for later events only.
    let mut waiting = VecDeque::new();
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
        let why = tokio::select! {
            why = listen(&shared, &executors, &mut subscription, &mut waiting, &stream, &asks) => why,
            changed = address.changed() => match changed {
                Ok(()) => "told anew where it is".to_string(),
                Err(_) => return,
            },
        };
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

async fn listen(
    shared: &Shared,
    executors: &Rc<Executors>,
    subscription: &mut EventSubscription,
    waiting: &mut VecDeque<Input>,
    stream: &TcpStream,
    asks: &[u8],
) -> String {
    let mut asks = asks;
    while !asks.is_empty() {
        if stream.writable().await.is_err() {
            return "broke".into();
        }
        match stream.try_write(asks) {
            Ok(n) => asks = &asks[n..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return e.to_string(),
        }
    }
    let mut events = Vec::new();
    loop {
        let silent = shared.clock.instant(subscription.silent_at());
        let ready = tokio::time::timeout_at(silent, stream.readable()).await;
        let fed = {
            let mut scratch = shared.scratch.borrow_mut();
            // Also after the time ran out: this process itself may have been late.
            match stream.try_read(&mut scratch) {
                Ok(0) => return "closed".into(),
                Ok(n) => subscription.feed(&scratch[..n], shared.clock.now(), &mut events),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && ready.is_err() => return "silent".into(),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
                Err(e) => return e.to_string(),
            }
        };
        // Without a pause between the event subscription' number and this: what counts as known is withdrawn from and on its way.
        for event in events.drain(..) {
            let withdrawn = executors.apply(event.kind, &event.endpoints);
            waiting.push_back(Input::EndpointUpdate { kind: event.kind, endpoints: event.endpoints });
            waiting.extend(withdrawn);
        }
        if let Err(error) = fed {
            return error.to_string();
        }
        if !hand_over(&shared.inputs, waiting).await {
            return "over".into();
        }
    }
}

#[cfg(test)]
mod tests;
