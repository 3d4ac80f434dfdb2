//! A client's session and an executor's line, fed by hand.

use bytes::BytesMut;
use stagehoist::{Micros, Outcome};
use stagehoist_gateway::state::Input;
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
    pub said: Vec<ClientEvent>,
}

impl Client {
    pub fn new() -> Client {
        Client { session: Session::new(0), catalog: catalog(), ticket: 0, said: Vec::new() }
    }
    pub fn send(&mut self, words: &[&[u8]]) {
        let mut bytes = BytesMut::new();
        encode(&mut bytes, words);
        self.raw(&bytes);
    }
    pub fn raw(&mut self, bytes: &[u8]) {
        self.session.receive(bytes, MS, (&self.catalog, true), &mut self.ticket, &mut self.said);
    }
    pub fn call(&mut self, tag: &str, fields: &str) {
        self.send(&[b"REQ", tag.as_bytes(), b"look", fields.as_bytes(), b"body"]);
    }
    /// The first two words of each answer.
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

/// A request whose client waits for no more than a moment.
pub const RUN: RunRequest<'static> = RunRequest { class: "look", function: "07", deadline: 0 };

pub fn line() -> (ConnectionState, Vec<Input>) {
    let mut line = ConnectionState::new(0);
    for n in 1..=3u64 {
        let what = Exchange::Attempt { request: n as u32, attempt: 0 };
        assert!(line.send_request((n, &format!("{n:016x}")), &RUN, b"b", what, 0));
    }
    write_all(&mut line, 0);
    (line, Vec::new())
}

pub fn write_all(line: &mut ConnectionState, now: Micros) -> String {
    let mut bytes = Vec::new();
    line.fill_write(&mut bytes, now);
    line.on_written(bytes.len(), now);
    String::from_utf8_lossy(&bytes).into_owned()
}

pub fn ends(news: &[Input]) -> Vec<(u32, Outcome, Vec<u8>)> {
    let end = |n: &Input| match n {
        Input::AttemptEnded { request, result, .. } => Some((*request, result.outcome, result.body.to_vec())),
        _ => None,
    };
    news.iter().filter_map(end).collect()
}

pub fn feed(
    line: &mut ConnectionState,
    bytes: &[u8],
    news: &mut Vec<Input>,
) -> Result<(), ProtocolViolation> {
    line.receive(bytes, (MS, MS), &["rif".into()], news)
}
