//! The event bus' socket: one connection at a time, from the last event taken, anew after a break, silence, or word of
//! another address.

use crate::bus::Bus;
use crate::clients::Shared;
use crate::executors::Executors;
use stagehoist_gateway::state::News;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

const CONNECT: Duration = Duration::from_millis(500);

/// Follows until dropped. A change of `address`, even to the same, means a new connection at once.
pub async fn follow(
    shared: Rc<Shared>,
    executors: Rc<Executors>,
    mut bus: Bus,
    mut address: watch::Receiver<SocketAddr>,
) {
    loop {
        let pause = Duration::from_micros(bus.pause() as u64);
        let to = *address.borrow_and_update();
        let connecting = async {
            tokio::time::sleep(pause).await;
            tokio::time::timeout(CONNECT, TcpStream::connect(to)).await
        };
        let stream = tokio::select! {
            done = connecting => done.ok().and_then(Result::ok),
            changed = address.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let Some(stream) = stream else { continue };
        let asks = bus.connected(shared.clock.now());
        let why = tokio::select! {
            why = listen(&shared, &executors, &mut bus, &stream, &asks) => why,
            changed = address.changed() => match changed {
                Ok(()) => "told anew where it is".to_string(),
                Err(_) => return,
            },
        };
        tracing::info!(bus = %to, last = bus.last(), why, "connecting to the event bus again");
    }
}

async fn listen(
    shared: &Shared,
    executors: &Rc<Executors>,
    bus: &mut Bus,
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
        let silent = shared.clock.instant(bus.silent_at());
        let ready = tokio::time::timeout_at(silent, stream.readable()).await;
        let fed = {
            let mut scratch = shared.scratch.borrow_mut();
            // Also after the time ran out: this process itself may have been late.
            match stream.try_read(&mut scratch) {
                Ok(0) => return "closed".into(),
                Ok(n) => bus.feed(&scratch[..n], shared.clock.now(), &mut events),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && ready.is_err() => return "silent".into(),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
                Err(e) => return e.to_string(),
            }
        };
        for event in events.drain(..) {
            let withdrawn = executors.told(event.form, &event.told);
            let roster = News::Roster { form: event.form, told: event.told };
            for item in std::iter::once(roster).chain(withdrawn) {
                if shared.news.send(item).await.is_err() {
                    return "over".into();
                }
            }
        }
        if let Err(error) = fed {
            return error.to_string();
        }
    }
}
