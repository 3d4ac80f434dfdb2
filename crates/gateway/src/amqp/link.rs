//! The socket of a front. The configured brokers are tried in turn, with seeded pauses between the attempts.

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

/// How often the loop reads the clock. If a reading is late by more than [`MAX_TICK_DELAY`], this process was
/// stopped, and the data that it reads next may have waited in the socket for all that time.
const POLL_INTERVAL: Micros = 100_000;
const MAX_TICK_DELAY: Micros = 200_000;
/// Size of a single read.
const READ_BUFFER: usize = 64 << 10;
/// Number of bytes read after which other tasks get their turn. A read that yields no call does not count against the
/// runtime's cooperative budget, so a broker that always has something to send would keep the thread.
const MAX_BYTES_IN_TURN: usize = READ_BUFFER;
/// If waiting for the socket took longer than this, the socket was empty until then.
const BATCH_WAIT: Micros = 1000;
/// Maximum time for a connection to be established, and for a broker to accept bytes.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs until the driver drops its sender, or until all calls are answered after [`LinkCommand::Drain`]. `inquiry` is
/// set if attempts are recorded.
pub async fn run(
    config: Rc<Config>,
    (seed, clock): (u64, Clock),
    inquiry: Option<InquirySettings>,
    inputs: mpsc::Sender<Input>,
    from_driver: mpsc::UnboundedReceiver<LinkCommand>,
    state: watch::Sender<LinkState>,
) {
    let mut front = Front::new(config.clone(), seed, clock.now());
    // With `list-subscribe yes`, the module requests the first list only when calls arrive. If the front end waited for
    // that list, no call would arrive, so it does not wait.
    if config.list_initial_wait > 0 && !config.list_subscribe {
        front.await_endpoints(clock.now() + config.list_initial_wait);
    }
    let inquiries = Inquiries::new(inquiry, &mut front);
    let link = Link { config, clock, front, inquiries, inputs, from_driver, state, draining: false };
    link.run().await;
}

/// Why a connection ended.
enum ConnectionEnd {
    /// Closed in order, or the driver has exited.
    Finished,
    Lost(String),
}

/// A front and its broker connections, of which one is open at a time.
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
            if self.draining && self.front.calls_in_progress() == 0 {
                return publish_state(&self.front, &self.state, true);
            }
            let Some(stream) = self.connect(&broker.address).await else { return };
            match stream {
                Ok(stream) => {
                    tracing::info!(broker = broker.address, "connected to broker");
                    self.front.on_connected(broker, self.clock.now());
                    if self.draining {
                        self.front.drain();
                    }
                    let end = self.exchange(stream).await;
                    self.front.on_disconnected(self.clock.now());
                    match end {
                        ConnectionEnd::Finished => return publish_state(&self.front, &self.state, true),
                        ConnectionEnd::Lost(why) => {
                            tracing::warn!(broker = broker.address, why, "connection to broker lost")
                        }
                    }
                }
                Err(error) => tracing::warn!(broker = broker.address, %error, "can't connect to broker"),
            }
            publish_state(&self.front, &self.state, false);
            let pause = self.front.pause();
            if !self.wait(pause).await {
                return;
            }
        }
    }

    /// Connects to a broker; returns `None` if the driver has exited.
    async fn connect(&mut self, address: &str) -> Option<io::Result<TcpStream>> {
        let connecting = tokio::time::timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(address));
        tokio::pin!(connecting);
        loop {
            tokio::select! {
                input = self.inquiries.next(), if self.inquiries.are_on() => {
                    self.inquiries.on_input(input, &mut self.front, self.clock);
                }
                done = &mut connecting => {
                    return Some(done.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())));
                }
                command = self.from_driver.recv() => self.on_command(command?),
            }
        }
    }

    /// Waits without a connection; returns false if the driver has exited.
    async fn wait(&mut self, pause: Micros) -> bool {
        let until = self.clock.instant(self.clock.now() + pause);
        loop {
            tokio::select! {
                _ = tokio::time::sleep_until(until) => return true,
                input = self.inquiries.next(), if self.inquiries.are_on() => {
                    self.inquiries.on_input(input, &mut self.front, self.clock);
                }
                command = self.from_driver.recv() => match command {
                    None => return false,
                    Some(command) => self.on_command(command),
                },
            }
        }
    }

    fn on_command(&mut self, command: LinkCommand) {
        self.draining |= command.apply(&mut self.front, self.clock.now());
    }

    /// Exchanges bytes with a broker until the connection ends.
    async fn exchange(&mut self, stream: TcpStream) -> ConnectionEnd {
        if let Err(error) = stream.set_nodelay(true) {
            return ConnectionEnd::Lost(error.to_string());
        }
        let mut socket = Socket::new(stream, self.clock);
        loop {
            if self.inquiries.are_on() {
                self.inquiries.send_questions(&mut self.front, self.clock);
            }
            for arrival in self.front.take_arrivals() {
                // If the driver's queue is full, reading stops, which applies backpressure to the broker.
                if self.inputs.send(Input::Call(arrival)).await.is_err() {
                    return ConnectionEnd::Finished;
                }
            }
            self.update_state(&mut socket);
            let has_output = match self.write(&mut socket) {
                Ok(has_output) => has_output,
                Err(end) => return end,
            };
            if self.front.is_over() && !has_output {
                let _ = socket.stream.shutdown().await;
                return if socket.closing {
                    ConnectionEnd::Finished
                } else {
                    ConnectionEnd::Lost("the AMQP connection ended".into())
                };
            }
            let due = self.front.due().unwrap_or(Micros::MAX).min(socket.last_tick + POLL_INTERVAL);
            socket.alarm.set(due);
            let waits_from = self.clock.now();
            tokio::select! {
                biased;
                command = self.from_driver.recv() => match command {
                    None => return ConnectionEnd::Finished,
                    Some(command) => self.on_commands(command),
                },
                // Polled before the socket, which may have input all the time.
                input = self.inquiries.next(), if self.inquiries.are_on() => {
                    self.inquiries.on_input(input, &mut self.front, self.clock);
                }
                ready = socket.stream.readable() => {
                    if let Err(error) = ready {
                        return ConnectionEnd::Lost(error.to_string());
                    }
                    if let Err(end) = self.read(&mut socket, waits_from) {
                        return end;
                    }
                    // The alarm is not polled while the socket always has input.
                    let now = self.clock.now();
                    if now >= due {
                        self.front.tick(now);
                    }
                    if socket.read_in_turn >= MAX_BYTES_IN_TURN {
                        socket.read_in_turn = 0;
                        tokio::task::yield_now().await;
                    }
                }
                _ = socket.stream.writable(), if has_output => {}
                () = socket.alarm.wait() => {
                    let now = self.clock.now();
                    socket.record_tick(now);
                    self.front.tick(now);
                }
            }
        }
    }

    /// Publishes the state, and closes the connection in order once the front is drained.
    fn update_state(&mut self, socket: &mut Socket) {
        // Counting iterates over all deliveries, so it is not done in every turn.
        if self.draining || self.clock.now() - socket.published_at >= POLL_INTERVAL {
            socket.published_at = self.clock.now();
            publish_state(&self.front, &self.state, false);
        }
        if self.draining && !socket.closing && self.front.is_drained() {
            self.front.close(self.clock.now());
            socket.closing = true;
        }
    }

    /// Applies all queued commands, so that the replies of one batch go out in one write.
    fn on_commands(&mut self, first: LinkCommand) {
        let mut next = Some(first);
        while let Some(command) = next {
            if command.apply(&mut self.front, self.clock.now()) {
                self.draining = true;
                self.front.drain();
            }
            next = self.from_driver.try_recv().ok();
        }
    }

    /// Writes as much of the output as the socket accepts; returns whether some is left.
    fn write(&mut self, socket: &mut Socket) -> Result<bool, ConnectionEnd> {
        let now = self.clock.now();
        self.front.flush(now);
        let Some(client) = self.front.client() else { return Err(ConnectionEnd::Lost("no client".into())) };
        let closed_since = if client.is_open() { None } else { Some(socket.closed_since.unwrap_or(now)) };
        socket.closed_since = closed_since;
        if is_timed_out(closed_since, now) {
            return Err(ConnectionEnd::Lost(
                "broker did not complete the handshake or the close in time".into(),
            ));
        }
        if client.output().is_empty() {
            return Ok(false);
        }
        match socket.stream.try_write(client.output()) {
            Ok(written) => {
                let _ = client.output().split_to(written);
                client.record_written(written, now);
                socket.write_blocked_since = None;
                Ok(!client.output().is_empty())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                socket.write_blocked_since.get_or_insert(now);
                if is_timed_out(socket.write_blocked_since, now) {
                    return Err(ConnectionEnd::Lost("the broker is not reading".into()));
                }
                Ok(true)
            }
            Err(error) => Err(ConnectionEnd::Lost(error.to_string())),
        }
    }

    /// Reads the available bytes; `waits_from` is when the wait for the socket began.
    fn read(&mut self, socket: &mut Socket, waits_from: Micros) -> Result<(), ConnectionEnd> {
        let now = self.clock.now();
        if socket.record_tick(now) {
            let ms = socket.stopped_for / 1000;
            tracing::warn!(
                ms,
                "process was stopped; messages read now are counted as having waited that long"
            );
        }
        if socket.stopped_for == 0 && now - waits_from > BATCH_WAIT {
            // The socket was empty until now, and so was the queue at the broker.
            self.front.on_socket_drained(now);
        }
        match socket.stream.try_read(&mut socket.buffer) {
            Ok(0) => return Err(ConnectionEnd::Lost("the broker closed the connection".into())),
            Ok(read) => {
                socket.read_in_turn += read;
                let stopped_for = std::mem::take(&mut socket.stopped_for);
                self.front.receive(&socket.buffer[..read], now, stopped_for);
                if read < socket.buffer.len() {
                    self.front.on_socket_drained(now);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                if socket.stopped_for == 0 {
                    self.front.on_socket_drained(now);
                }
            }
            Err(error) => return Err(ConnectionEnd::Lost(error.to_string())),
        }
        Ok(())
    }
}

/// Returns whether a state has lasted longer than [`HANDSHAKE_TIMEOUT`].
fn is_timed_out(since: Option<Micros>, now: Micros) -> bool {
    since.is_some_and(|since| now - since > HANDSHAKE_TIMEOUT.as_micros() as Micros)
}

/// A connection's socket and the times of its last events.
struct Socket {
    stream: TcpStream,
    buffer: Vec<u8>,
    alarm: Alarm,
    /// Number of bytes read since other tasks had their turn.
    read_in_turn: usize,
    /// The connection is being closed in order.
    closing: bool,
    /// When the state was last published.
    published_at: Micros,
    /// When the loop last read the clock.
    last_tick: Micros,
    /// How long this process was stopped before the data that is read next.
    stopped_for: Micros,
    /// Since when the broker has accepted no bytes.
    write_blocked_since: Option<Micros>,
    /// Set while the connection is not open: before its handshake completes and after its close begins. In these
    /// times heartbeats do not detect a dead peer, so [`HANDSHAKE_TIMEOUT`] applies.
    closed_since: Option<Micros>,
}

impl Socket {
    fn new(stream: TcpStream, clock: Clock) -> Socket {
        Socket {
            stream,
            buffer: vec![0u8; READ_BUFFER],
            alarm: Alarm::new(clock),
            read_in_turn: 0,
            closing: false,
            published_at: 0,
            last_tick: clock.now(),
            stopped_for: 0,
            write_blocked_since: None,
            closed_since: None,
        }
    }

    /// Records a clock reading; returns whether this process was stopped for a long time before it.
    fn record_tick(&mut self, now: Micros) -> bool {
        let gap = now - self.last_tick;
        self.last_tick = now;
        let is_stall = gap > POLL_INTERVAL + MAX_TICK_DELAY;
        if is_stall {
            self.stopped_for = gap;
        }
        is_stall
    }
}
