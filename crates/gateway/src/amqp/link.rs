//! The socket of a front: brokers tried in turn, with seeded pauses between attempts.

use super::commands::publish_state;
pub use super::commands::{LinkCommand, LinkState};
use super::inquiries::{Inquiries, InquirySettings};
use super::Front;
use crate::clock::{Alarm, Clock};
use crate::state::Input;
use stagehoist::Micros;
use stagehoist_config::Config;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// How often the loop looks at its own clock; a look that comes later by more than [`MAX_UNOBSERVED`] means that this process was
/// stopped, and that what it reads next may have waited so long.
const POLL_INTERVAL: Micros = 100_000;
const MAX_UNOBSERVED: Micros = 200_000;
/// A socket that was waited on for longer had nothing to read until then.
const BATCH_WAIT: Micros = 1000;
/// Longest time for a connection to stand, and for a broker to take bytes.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs until the driver lets go of its sender, or until all is answered after [`LinkCommand::Drain`]. `marking` is there
/// where attempts are recorded.
pub async fn run(
    config: Rc<Config>,
    (seed, clock): (u64, Clock),
    marking: Option<InquirySettings>,
    inputs: mpsc::Sender<Input>,
    mut from_driver: mpsc::UnboundedReceiver<LinkCommand>,
    state: watch::Sender<LinkState>,
) {
    let mut front = Front::new(config.clone(), seed, clock.now());
    // Where the module asks for the list itself it does so for calls alone, which would never come.
    if config.list_initial_wait > 0 && !config.list_subscribe {
        front.await_endpoints(clock.now() + config.list_initial_wait);
    }
    let mut asks = Inquiries::new(marking, &mut front);
    let mut turn = 0usize;
    let mut draining = false;
    loop {
        if draining && front.at_work() == 0 {
            return publish_state(&front, &state, true);
        }
        let broker = &config.brokers[turn % config.brokers.len()];
        turn += 1;
        let connecting = tokio::time::timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(&broker.address));
        tokio::pin!(connecting);
        let stream = loop {
            tokio::select! {
                came = asks.next(), if asks.are_on() => asks.take(came, &mut front, clock),
                done = &mut connecting => break done.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())),
                said = from_driver.recv() => match said {
                    None => return,
                    Some(said) => draining |= said.take(&mut front, clock.now()),
                },
            }
        };
        match stream {
            Ok(stream) => {
                tracing::info!(broker = broker.address, "connected");
                front.connected(broker, clock.now());
                if draining {
                    front.drain();
                }
                let ended = talk(
                    &mut front,
                    stream,
                    (clock, &mut asks),
                    &inputs,
                    &mut from_driver,
                    &state,
                    &mut draining,
                )
                .await;
                front.lost(clock.now());
                match ended {
                    Ended::Over => return publish_state(&front, &state, true),
                    Ended::Lost(why) => tracing::warn!(broker = broker.address, why, "connection lost"),
                }
            }
            Err(e) => tracing::warn!(broker = broker.address, error = %e, "can't connect"),
        }
        publish_state(&front, &state, false);
        let until = clock.instant(clock.now() + front.pause());
        loop {
            tokio::select! {
                _ = tokio::time::sleep_until(until) => break,
                came = asks.next(), if asks.are_on() => asks.take(came, &mut front, clock),
                said = from_driver.recv() => match said {
                    None => return,
                    Some(said) => draining |= said.take(&mut front, clock.now()),
                },
            }
        }
    }
}

enum Ended {
    Over,
    Lost(String),
}

async fn talk(
    front: &mut Front,
    mut stream: TcpStream,
    (clock, asks): (Clock, &mut Inquiries),
    inputs: &mpsc::Sender<Input>,
    from_driver: &mut mpsc::UnboundedReceiver<LinkCommand>,
    state: &watch::Sender<LinkState>,
    draining: &mut bool,
) -> Ended {
    if let Err(e) = stream.set_nodelay(true) {
        return Ended::Lost(e.to_string());
    }
    let mut buffer = vec![0u8; 64 << 10];
    let mut closing = false;
    let mut looked = clock.now();
    let mut shown = 0;
    let mut blind = 0;
    let mut stuck_since: Option<Micros> = None;
    // Until the connection stands, and again from its close on, no heartbeat need tell that nobody is there.
    let mut closed_since: Option<Micros> = None;
    let mut alarm = Alarm::new(clock);
    loop {
        if asks.are_on() {
            asks.put(front, clock);
        }
        for arrival in front.take_arrivals() {
            // A driver that is behind holds back reading, and so the broker.
            if inputs.send(Input::Call(arrival)).await.is_err() {
                return Ended::Over;
            }
        }
        // Counting takes a look at every delivery: not in every turn.
        if *draining || clock.now() - shown >= POLL_INTERVAL {
            shown = clock.now();
            publish_state(front, state, false);
        }
        if *draining && !closing && front.is_drained() {
            front.close(clock.now());
            closing = true;
        }
        // Write what there is, as far as the socket takes it.
        let now = clock.now();
        front.flush(now);
        let Some(client) = front.client() else { return Ended::Lost("no client".into()) };
        let since = if client.is_open() { None } else { Some(closed_since.unwrap_or(now)) };
        closed_since = since;
        if since.is_some_and(|since| now - since > HANDSHAKE_TIMEOUT.as_micros() as Micros) {
            return Ended::Lost("the broker does not say what it has to".into());
        }
        let mut wants_write = !client.output().is_empty();
        if wants_write {
            match stream.try_write(client.output()) {
                Ok(n) => {
                    let _ = client.output().split_to(n);
                    client.wrote(n, now);
                    wants_write = !client.output().is_empty();
                    stuck_since = None;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    let since = *stuck_since.get_or_insert(now);
                    if now - since > HANDSHAKE_TIMEOUT.as_micros() as Micros {
                        return Ended::Lost("the broker reads nothing".into());
                    }
                }
                Err(e) => return Ended::Lost(e.to_string()),
            }
        }
        if front.is_over() && !wants_write {
            let _ = stream.shutdown().await;
            return if closing { Ended::Over } else { Ended::Lost("closed".into()) };
        }
        let due = front.due().unwrap_or(Micros::MAX).min(looked + POLL_INTERVAL);
        alarm.set(due);
        let waits_from = clock.now();
        tokio::select! {
            biased;
            said = from_driver.recv() => match said {
                None => return Ended::Over,
                Some(first) => {
                    // All that is there, so that replies of one batch go out in one write.
                    let mut next = Some(first);
                    while let Some(said) = next {
                        if said.take(front, clock.now()) {
                            *draining = true;
                            front.drain();
                        }
                        next = from_driver.try_recv().ok();
                    }
                }
            },
            ready = stream.readable() => {
                if let Err(e) = ready {
                    return Ended::Lost(e.to_string());
                }
                let now = clock.now();
                if now - looked > POLL_INTERVAL + MAX_UNOBSERVED {
                    blind = now - looked;
                    tracing::warn!(ms = blind / 1000, "this process did not run; messages read now count as waiting so long");
                }
                looked = now;
                if blind == 0 && now - waits_from > BATCH_WAIT {
                    // The socket was empty until this moment, and so the queue.
                    front.on_socket_drained(now);
                }
                match stream.try_read(&mut buffer) {
                    Ok(0) => return Ended::Lost("closed by the broker".into()),
                    Ok(n) => {
                        front.receive(&buffer[..n], now, std::mem::take(&mut blind));
                        if n < buffer.len() {
                            front.on_socket_drained(now);
                        }
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                        if blind == 0 {
                            front.on_socket_drained(now);
                        }
                    }
                    Err(e) => return Ended::Lost(e.to_string()),
                }
            }
            _ = stream.writable(), if wants_write => {}
            came = asks.next(), if asks.are_on() => asks.take(came, front, clock),
            () = alarm.rings() => {
                let now = clock.now();
                if now - looked > POLL_INTERVAL + MAX_UNOBSERVED {
                    blind = now - looked;
                }
                looked = now;
                front.tick(now);
            }
        }
    }
}
