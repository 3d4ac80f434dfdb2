//! Helpers that feed a client's session and an executor's connection with bytes.

use bytes::BytesMut;
use stagehoist::{Micros, Outcome};
use stagehoist_gateway::state::Input;
use stagehoist_platform::bounds::MAX_UNREAD_BYTES;
use stagehoist_platform::connection::{ConnectionState, Exchange, ProtocolViolation, RunRequest};
use stagehoist_platform::resp::{encode, Decoder};
use stagehoist_platform::session::{Catalog, ClientEvent, Session};
use stagehoist_platform::PlatformSettings;

pub const MS: Micros = 1000;

pub fn catalog() -> Catalog {
    Catalog::from(&PlatformSettings::parse(include_str!("../config.json")).unwrap())
}

pub struct Client {
    pub session: Session,
    pub catalog: Catalog,
    pub ticket: u64,
    pub events: Vec<ClientEvent>,
}

impl Client {
    pub fn new() -> Client {
        Client {
            session: Session::new(MAX_UNREAD_BYTES, 0),
            catalog: catalog(),
            ticket: 0,
            events: Vec::new(),
        }
    }
    pub fn send(&mut self, words: &[&[u8]]) {
        let mut bytes = BytesMut::new();
        encode(&mut bytes, words);
        self.raw(&bytes);
    }
    pub fn raw(&mut self, bytes: &[u8]) {
        self.session.receive(bytes, MS, (&self.catalog, true), &mut self.ticket, &mut self.events);
    }
    pub fn call(&mut self, tag: &str, fields: &str) {
        self.send(&[b"REQ", tag.as_bytes(), b"look", fields.as_bytes(), b"body"]);
    }
    /// Returns the first two words of each answer.
    pub fn answers(&mut self) -> Vec<(String, String)> {
        let mut decoder = Decoder::default();
        decoder.feed(self.session.output());
        let n = self.session.output().len();
        self.session.on_written(n, MS);
        let mut all = Vec::new();
        while let Some(words) = decoder.next_array().unwrap() {
            let text = |n: usize| String::from_utf8(words[n].clone()).unwrap();
            all.push((text(0), text(1)));
        }
        all
    }
}

pub const GOOD: &str = "ref=9b1f03aa5c7e2d41,allow=1500,project=acme,lookup=7f3a9c21e0b4d655,effort=8.2,extras=memory_mb:512;lanes:2";

/// A request whose client waits for the minimum time.
pub const RUN: RunRequest<'static> = RunRequest { class: "look", function: "07", deadline: 0 };

pub fn open_conn() -> (ConnectionState, Vec<Input>) {
    let mut conn = ConnectionState::new(0);
    for n in 1..=3u64 {
        let exchange = Exchange::Attempt { request: n as u32, attempt: 0 };
        assert!(conn.send_request((n, &format!("{n:016x}")), &RUN, b"b", exchange, 0));
    }
    write_all(&mut conn, 0);
    (conn, Vec::new())
}

pub fn write_all(conn: &mut ConnectionState, now: Micros) -> String {
    let mut bytes = Vec::new();
    conn.fill_write(&mut bytes, now);
    conn.on_written(bytes.len(), now);
    String::from_utf8_lossy(&bytes).into_owned()
}

pub fn ends(inputs: &[Input]) -> Vec<(u32, Outcome, Vec<u8>)> {
    let end = |n: &Input| match n {
        Input::AttemptEnded { request, result, .. } => Some((*request, result.outcome, result.body.to_vec())),
        _ => None,
    };
    inputs.iter().filter_map(end).collect()
}

pub fn feed(
    conn: &mut ConnectionState,
    bytes: &[u8],
    inputs: &mut Vec<Input>,
) -> Result<(), ProtocolViolation> {
    conn.receive(bytes, (MS, MS), &["rif".into()], inputs)
}
