//! The connection: handshake, close, and the methods on channel 0.

use super::*;

impl Client {
    /// Closes the connection because of a fault. The reply code is sent to the broker if the specification allows it.
    pub(super) fn fail(&mut self, fault: Fault) {
        if let Fault::Connection { code, text, class, method } = &fault {
            let close = connection::Close {
                reply_code: *code,
                reply_text: short(text),
                class_id: *class,
                method_id: *method,
            };
            self.method(0, AMQPClass::Connection(connection::AMQPMethod::Close(close)));
        }
        self.state = State::Closed;
        self.events.push_back(ClientEvent::Failed(fault));
    }

    pub(super) fn take_connection(&mut self, method: connection::AMQPMethod) -> Result<(), Fault> {
        use connection::AMQPMethod as M;
        match (self.state, method) {
            (State::Start, M::Start(start)) => self.take_start(&start),
            (State::Tune, M::Secure(_)) => {
                // PLAIN and AMQPLAIN have no challenge step (2.2.4).
                Err(Fault::connection(
                    reply::NOT_ALLOWED,
                    "challenge for a mechanism without a challenge step",
                    (10, 20),
                ))
            }
            (State::Tune, M::Tune(tune)) => {
                self.take_tune(&tune);
                Ok(())
            }
            (State::OpenOk, M::OpenOk(_)) => {
                self.state = State::Open;
                self.events.push_back(ClientEvent::Open);
                Ok(())
            }
            (State::Closing, M::CloseOk(_)) => {
                self.state = State::Closed;
                let text = "closed by this side".to_string();
                self.events.push_back(ClientEvent::Closed { code: 200, text });
                Ok(())
            }
            (_, M::Close(close)) => {
                self.method(0, AMQPClass::Connection(M::CloseOk(connection::CloseOk {})));
                self.state = State::Closed;
                let text = close.reply_text.as_str().to_string();
                self.events.push_back(ClientEvent::Closed { code: close.reply_code, text });
                Ok(())
            }
            (State::Open, M::Blocked(_)) => {
                self.set_blocked(true);
                Ok(())
            }
            (State::Open, M::Unblocked(_)) => {
                self.set_blocked(false);
                Ok(())
            }
            (State::Closing, _) => Ok(()),
            (state, other) => {
                let text = format!("unexpected connection method in state {state:?}");
                Err(Fault::connection(reply::COMMAND_INVALID, text, ids(&AMQPClass::Connection(other))))
            }
        }
    }

    fn take_start(&mut self, start: &connection::Start) -> Result<(), Fault> {
        if (start.version_major, start.version_minor) != (0, 9) {
            return Err(Fault::ProtocolHeader(vec![start.version_major, start.version_minor]));
        }
        let offered = start.mechanisms.to_string();
        let offers = |name: &str| offered.split(' ').any(|m| m == name);
        let (mechanism, response): (&str, LongString) = if offers("PLAIN") {
            ("PLAIN", format!("\0{}\0{}", self.options.user, self.options.password).into())
        } else if offers("AMQPLAIN") {
            ("AMQPLAIN", self.amqplain().into())
        } else {
            let text = format!("no supported authentication mechanism; the server offers: {offered}");
            return Err(Fault::connection(reply::ACCESS_REFUSED, text, (10, 10)));
        };
        let mut capabilities = FieldTable::default();
        for name in [
            "publisher_confirms",
            "basic.nack",
            "consumer_cancel_notify",
            "connection.blocked",
            "authentication_failure_close",
        ] {
            capabilities.insert(short(name), AMQPValue::Boolean(true));
        }
        let mut client_properties = FieldTable::default();
        client_properties.insert(short("product"), long(self.options.product.clone()));
        client_properties.insert(short("version"), long(env!("CARGO_PKG_VERSION")));
        client_properties.insert(short("capabilities"), AMQPValue::FieldTable(capabilities));
        let ok = connection::StartOk {
            client_properties,
            mechanism: short(mechanism),
            response,
            locale: short("en_US"),
        };
        self.method(0, AMQPClass::Connection(connection::AMQPMethod::StartOk(ok)));
        self.state = State::Tune;
        Ok(())
    }

    /// Returns the AMQPLAIN response: a field table without the length prefix, with LOGIN and PASSWORD as long strings.
    fn amqplain(&self) -> Vec<u8> {
        let mut out = Vec::new();
        for (key, value) in [("LOGIN", &self.options.user), ("PASSWORD", &self.options.password)] {
            out.push(key.len() as u8);
            out.extend_from_slice(key.as_bytes());
            out.push(b'S');
            out.extend_from_slice(&(value.len() as u32).to_be_bytes());
            out.extend_from_slice(value.as_bytes());
        }
        out
    }

    fn take_tune(&mut self, tune: &connection::Tune) {
        // 0 means no limit on that side; otherwise the lower value applies (1.4.2.5).
        let lower = |a: u32, b: u32| if a == 0 || b == 0 { a.max(b) } else { a.min(b) };
        self.frame_max = lower(tune.frame_max, self.options.frame_max);
        self.channel_max = lower(u32::from(tune.channel_max), 2047) as u16;
        let heartbeat = lower(u32::from(tune.heartbeat), u32::from(self.options.heartbeat)) as u16;
        self.heartbeat = Micros::from(heartbeat) * 1_000_000;
        self.decoder.set_frame_max(self.frame_max);
        let ok = connection::TuneOk { channel_max: self.channel_max, frame_max: self.frame_max, heartbeat };
        self.method(0, AMQPClass::Connection(connection::AMQPMethod::TuneOk(ok)));
        let open = connection::Open { virtual_host: short(&self.options.vhost) };
        self.method(0, AMQPClass::Connection(connection::AMQPMethod::Open(open)));
        self.state = State::OpenOk;
    }

    /// Starts a graceful close; [`ClientEvent::Closed`] follows.
    pub fn close(&mut self, code: u16, text: &str) {
        if matches!(self.state, State::Closing | State::Closed) {
            return;
        }
        let close =
            connection::Close { reply_code: code, reply_text: short(text), class_id: 0, method_id: 0 };
        self.method(0, AMQPClass::Connection(connection::AMQPMethod::Close(close)));
        self.state = State::Closing;
    }
}
