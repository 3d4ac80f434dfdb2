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
/// Bytes read at once.
const READ_BUFFER: usize = 64 << 10;
/// A socket that was waited on for longer had nothing to read until then.
const BATCH_WAIT: Micros = 1000;
/// Longest time for a connection to stand, and for a broker to take bytes.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs until the driver drops its sender, or until all is answered after [`LinkCommand::Drain`]. `inquiry` is there where
/// attempts are recorded.
pub async fn run(
    config: Rc<Config>,
    (seed, clock): (u64, Clock),
    inquiry: Option<InquirySettings>,
    inputs: mpsc::Sender<Input>,
    from_driver: mpsc::UnboundedReceiver<LinkCommand>,
    state: watch::Sender<LinkState>,
) {
    let mut front = Front::new(config.clone(), seed, clock.now());
    // Where the module asks for the list itself it does so for calls alone, which would never come.
    if config.list_initial_wait > 0 && !config.list_subscribe {
        front.await_endpoints(clock.now() + config.list_initial_wait);
    }
    let inquiries = Inquiries::new(inquiry, &mut front);
    let link = Link { config, clock, front, inquiries, inputs, from_driver, state, draining: false };
    link.run().await;
}

/// Why a connection ended.
enum Ended {
    /// In order, or the driver is gone.
    Over,
    Lost(String),
}

/// A front and its connections to the brokers, one at a time.
struct Link {
    config: Rc<Config>,
    clock: Clock,
    front: Front,
    inquiries: Inquiries,
    inputs: mpsc::Sender<Input>,
    from_driver: mpsc::UnboundedReceiver<LinkCommand>,
    state: watch::Sender<LinkState>,
    draining: bool,
}

impl Link {
    async fn run(mut self) {
        let config = self.config.clone();
        for broker in config.brokers.iter().cycle() {
            if self.draining && self.front.at_work() == 0 {
                return publish_state(&self.front, &self.state, true);
            }
            let Some(stream) = self.connect(&broker.address).await else { return };
            match stream {
                Ok(stream) => {
                    tracing::info!(broker = broker.address, "connected");
                    self.front.connected(broker, self.clock.now());
                    if self.draining {
                        self.front.drain();
                    }
                    let ended = self.talk(stream).await;
                    self.front.lost(self.clock.now());
                    match ended {
                        Ended::Over => return publish_state(&self.front, &self.state, true),
                        Ended::Lost(why) => tracing::warn!(broker = broker.address, why, "connection lost"),
                    }
                }
                Err(error) => tracing::warn!(broker = broker.address, %error, "can't connect"),
            }
            publish_state(&self.front, &self.state, false);
            let pause = self.front.pause();
            if !self.wait(pause).await {
                return;
            }
        }
    }

    /// Connects to a broker; `None` where the driver is gone.
    async fn connect(&mut self, address: &str) -> Option<io::Result<TcpStream>> {
        let connecting = tokio::time::timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(address));
        tokio::pin!(connecting);
        loop {
            tokio::select! {
                input = self.inquiries.next(), if self.inquiries.are_on() => {
                    self.inquiries.take(input, &mut self.front, self.clock);
                }
                done = &mut connecting => {
                    return Some(done.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())));
                }
                command = self.from_driver.recv() => self.on_command(command?),
            }
        }
    }

    /// Waits without a connection; false where the driver is gone.
    async fn wait(&mut self, pause: Micros) -> bool {
        let until = self.clock.instant(self.clock.now() + pause);
        loop {
            tokio::select! {
                _ = tokio::time::sleep_until(until) => return true,
                input = self.inquiries.next(), if self.inquiries.are_on() => {
                    self.inquiries.take(input, &mut self.front, self.clock);
                }
                command = self.from_driver.recv() => match command {
                    None => return false,
                    Some(command) => self.on_command(command),
                },
            }
        }
    }

    fn on_command(&mut self, command: LinkCommand) {
        self.draining |= command.take(&mut self.front, self.clock.now());
    }

    /// Exchanges bytes with a broker until the connection ends.
    async fn talk(&mut self, stream: TcpStream) -> Ended {
        if let Err(error) = stream.set_nodelay(true) {
            return Ended::Lost(error.to_string());
        }
        let mut socket = Socket::new(stream, self.clock);
        loop {
            if self.inquiries.are_on() {
                self.inquiries.put(&mut self.front, self.clock);
            }
            for arrival in self.front.take_arrivals() {
                // A driver that is behind holds back reading, and so the broker.
                if self.inputs.send(Input::Call(arrival)).await.is_err() {
                    return Ended::Over;
                }
            }
            self.update_state(&mut socket);
            let wants_write = match self.write(&mut socket) {
                Ok(wants_write) => wants_write,
                Err(ended) => return ended,
            };
            if self.front.is_over() && !wants_write {
                let _ = socket.stream.shutdown().await;
                return if socket.closing { Ended::Over } else { Ended::Lost("closed".into()) };
            }
            let due = self.front.due().unwrap_or(Micros::MAX).min(socket.observed_at + POLL_INTERVAL);
            socket.alarm.set(due);
            let waits_from = self.clock.now();
            tokio::select! {
                biased;
                command = self.from_driver.recv() => match command {
                    None => return Ended::Over,
                    Some(command) => self.on_commands(command),
                },
                ready = socket.stream.readable() => {
                    if let Err(error) = ready {
                        return Ended::Lost(error.to_string());
                    }
                    if let Err(ended) = self.read(&mut socket, waits_from) {
                        return ended;
                    }
                }
                _ = socket.stream.writable(), if wants_write => {}
                input = self.inquiries.next(), if self.inquiries.are_on() => {
                    self.inquiries.take(input, &mut self.front, self.clock);
                }
                () = socket.alarm.wait() => {
                    let now = self.clock.now();
                    socket.observe(now);
                    self.front.tick(now);
                }
            }
        }
    }

    /// Publishes the state, and closes the connection in order once the front is drained.
    fn update_state(&mut self, socket: &mut Socket) {
        // Counting looks at every delivery: not in every turn.
        if self.draining || self.clock.now() - socket.published_at >= POLL_INTERVAL {
            socket.published_at = self.clock.now();
            publish_state(&self.front, &self.state, false);
        }
        if self.draining && !socket.closing && self.front.is_drained() {
            self.front.close(self.clock.now());
            socket.closing = true;
        }
    }

    /// All commands that are there, so that replies of one batch go out in one write.
    fn on_commands(&mut self, first: LinkCommand) {
        let mut next = Some(first);
        while let Some(command) = next {
            if command.take(&mut self.front, self.clock.now()) {
                self.draining = true;
                self.front.drain();
            }
            next = self.from_driver.try_recv().ok();
        }
    }

    /// Writes what there is, as far as the socket takes it; whether some is left.
    fn write(&mut self, socket: &mut Socket) -> Result<bool, Ended> {
        let now = self.clock.now();
        self.front.flush(now);
        let Some(client) = self.front.client() else { return Err(Ended::Lost("no client".into())) };
        let closed_since = if client.is_open() { None } else { Some(socket.closed_since.unwrap_or(now)) };
        socket.closed_since = closed_since;
        if is_past_handshake(closed_since, now) {
            return Err(Ended::Lost("the broker does not say what it has to".into()));
        }
        if client.output().is_empty() {
            return Ok(false);
        }
        match socket.stream.try_write(client.output()) {
            Ok(written) => {
                let _ = client.output().split_to(written);
                client.wrote(written, now);
                socket.stuck_since = None;
                Ok(!client.output().is_empty())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                socket.stuck_since.get_or_insert(now);
                if is_past_handshake(socket.stuck_since, now) {
                    return Err(Ended::Lost("the broker reads nothing".into()));
                }
                Ok(true)
            }
            Err(error) => Err(Ended::Lost(error.to_string())),
        }
    }

    /// Reads what there is; `waits_from` is when the socket began to be waited on.
    fn read(&mut self, socket: &mut Socket, waits_from: Micros) -> Result<(), Ended> {
        let now = self.clock.now();
        if socket.observe(now) {
            let ms = socket.unobserved / 1000;
            tracing::warn!(ms, "this process did not run; messages read now count as waiting so long");
        }
        if socket.unobserved == 0 && now - waits_from > BATCH_WAIT {
            // The socket was empty until this moment, and so the queue.
            self.front.on_socket_drained(now);
        }
        match socket.stream.try_read(&mut socket.buffer) {
            Ok(0) => return Err(Ended::Lost("closed by the broker".into())),
            Ok(read) => {
                let unobserved = std::mem::take(&mut socket.unobserved);
                self.front.receive(&socket.buffer[..read], now, unobserved);
                if read < socket.buffer.len() {
                    self.front.on_socket_drained(now);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                if socket.unobserved == 0 {
                    self.front.on_socket_drained(now);
                }
            }
            Err(error) => return Err(Ended::Lost(error.to_string())),
        }
        Ok(())
    }
}

/// Whether something has lasted for longer than a broker may take.
fn is_past_handshake(since: Option<Micros>, now: Micros) -> bool {
    since.is_some_and(|since| now - since > HANDSHAKE_TIMEOUT.as_micros() as Micros)
}

/// A connection's socket, and when what happened on it.
struct Socket {
    stream: TcpStream,
    buffer: Vec<u8>,
    alarm: Alarm,
    /// The connection is being closed in order.
    closing: bool,
    /// When the state was last published.
    published_at: Micros,
    /// When the socket was last looked at.
    observed_at: Micros,
    /// For how long this process did not run before what is read next.
    unobserved: Micros,
    /// Since when the broker takes no bytes.
    stuck_since: Option<Micros>,
    /// Until the connection stands, and again from its close on, no heartbeat need tell that nobody is there.
    closed_since: Option<Micros>,
}

impl Socket {
    fn new(stream: TcpStream, clock: Clock) -> Socket {
        Socket {
            stream,
            buffer: vec![0u8; READ_BUFFER],
            alarm: Alarm::new(clock),
            closing: false,
            published_at: 0,
            observed_at: clock.now(),
            unobserved: 0,
            stuck_since: None,
            closed_since: None,
        }
    }

    /// The socket is looked at; whether this process did not run for long before.
    fn observe(&mut self, now: Micros) -> bool {
        let gap = now - self.observed_at;
        self.observed_at = now;
        let is_stall = gap > POLL_INTERVAL + MAX_UNOBSERVED;
        if is_stall {
            self.unobserved = gap;
        }
        is_stall
    }
}
