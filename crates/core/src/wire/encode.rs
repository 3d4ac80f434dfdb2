//! Encoding of frames of actions.

use super::fields::millis;
use super::ACTION_SIZE;
use crate::interface::*;

/// Codes of the records.
mod code {
    pub const SEND: u8 = 10;
    pub const REJECT: u8 = 20;
    pub const FAIL: u8 = 30;
    pub const CANCEL: u8 = 40;
    pub const SET_TIMER: u8 = 50;
    pub const HEALTH_CHECK: u8 = 60;
    pub const CLOSE_IDLE: u8 = 70;
    pub const GOSSIP: u8 = 80;
    pub const LOG: u8 = 90;
    pub const FAULT: u8 = 100;
    pub const SUBSCRIBE_ENDPOINTS: u8 = 110;
    pub const FETCH_ENDPOINTS: u8 = 120;
    pub const LOAD: u8 = 130;
    pub const UNLOAD: u8 = 140;
}

/// Peer number that addresses all peers.
const ALL_PEERS: u16 = u16::MAX;
/// Size of a reply's header in bytes.
const REPLY_HEADER_SIZE: usize = 8;

/// An action of one of the front ends in this process.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceAction {
    /// Number of the front end in this process.
    pub instance: u16,
    /// The action.
    pub action: Action,
}

/// The failure (panic) of one front end in this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceFault {
    /// Number of the front end in this process.
    pub instance: u16,
    /// Description of the failure.
    pub text: String,
}

/// Encodes one reply frame from the actions of several front ends, in order.
pub fn encode(actions: &[InstanceAction], faults: &[InstanceFault]) -> Vec<u8> {
    let count = actions.len() + faults.len();
    let mut frame = vec![0u8; REPLY_HEADER_SIZE];
    let mut tail: Vec<u8> = Vec::new();
    for InstanceAction { instance, action } in actions {
        let mut record = Record::new(*instance);
        record.action(action, &mut tail);
        frame.extend_from_slice(&record.0);
    }
    for InstanceFault { instance, text } in faults {
        let mut record = Record::new(*instance);
        record.code(code::FAULT).tail(3, text.as_bytes(), &mut tail);
        frame.extend_from_slice(&record.0);
    }
    frame.extend_from_slice(&tail);
    let length = frame.len() as u32;
    frame[0..4].copy_from_slice(&length.to_be_bytes());
    frame[4..8].copy_from_slice(&(count as u32).to_be_bytes());
    frame
}

struct Record([u8; ACTION_SIZE]);

impl Record {
    fn new(instance: u16) -> Record {
        let mut record = Record([0; ACTION_SIZE]);
        record.put(1, &instance.to_be_bytes());
        record
    }

    fn action(&mut self, action: &Action, tail: &mut Vec<u8>) {
        match action {
            Action::Send { request, worker, timeout, .. } => {
                let record = self.code(code::SEND).put(3, &request.to_be_bytes());
                record.millis(7, *timeout).put(15, &worker.to_be_bytes())
            }
            Action::Reject { request, retry_after } => {
                self.code(code::REJECT).put(3, &request.to_be_bytes()).millis(7, *retry_after)
            }
            Action::Fail { request } => self.code(code::FAIL).put(3, &request.to_be_bytes()),
            Action::Cancel { request, attempt } => {
                let record = self.code(code::CANCEL).put(3, &request.to_be_bytes());
                record.put(7, &attempt.to_be_bytes())
            }
            Action::SetTimer { after, token } => {
                self.code(code::SET_TIMER).millis(3, *after).put(11, &token.to_be_bytes())
            }
            Action::HealthCheck { worker } => self.code(code::HEALTH_CHECK).put(3, &worker.to_be_bytes()),
            Action::CloseIdle { worker } => self.code(code::CLOSE_IDLE).put(3, &worker.to_be_bytes()),
            Action::Gossip { peer, bytes } => {
                let peer = peer.unwrap_or(ALL_PEERS);
                self.code(code::GOSSIP).put(3, &peer.to_be_bytes()).tail(5, bytes, tail)
            }
            Action::Log { text } => self.code(code::LOG).tail(3, text.as_bytes(), tail),
            Action::SubscribeEndpoints { on } => {
                self.code(code::SUBSCRIBE_ENDPOINTS).put(3, &[u8::from(*on)])
            }
            Action::FetchEndpoints => self.code(code::FETCH_ENDPOINTS),
            Action::Load { worker, function, copies, .. } => {
                let record = self.code(code::LOAD).put(3, &worker.to_be_bytes());
                record.put(7, &function.to_be_bytes()).put(15, &[*copies])
            }
            Action::Unload { worker, function } => {
                let record = self.code(code::UNLOAD).put(3, &worker.to_be_bytes());
                record.put(7, &function.to_be_bytes())
            }
        };
    }

    fn code(&mut self, code: u8) -> &mut Record {
        self.0[0] = code;
        self
    }

    fn put(&mut self, position: usize, bytes: &[u8]) -> &mut Record {
        self.0[position..position + bytes.len()].copy_from_slice(bytes);
        self
    }

    fn millis(&mut self, position: usize, duration: Micros) -> &mut Record {
        self.put(position, &millis(duration).to_be_bytes())
    }

    /// Appends bytes to the tail and writes their offset and length into the record.
    fn tail(&mut self, position: usize, bytes: &[u8], tail: &mut Vec<u8>) -> &mut Record {
        let offset = tail.len() as u32;
        let length = bytes.len() as u32;
        tail.extend_from_slice(bytes);
        self.put(position, &offset.to_be_bytes()).put(position + 4, &length.to_be_bytes())
    }
}
