//! Sends messages to front ends and closes connections.

use super::SessionService;
use crate::frames::encode;
use bytes::Bytes;
use stagehoist_cluster_state::SessionResponse;

impl SessionService {
    /// Sends the newest view if it was not sent yet.
    pub(super) fn send_view(&mut self, connection: u64) {
        let view = &self.state.state.view;
        let Some(state) = self.connections.get_mut(&connection) else { return };
        if state.sent == Some(view.version) {
            return;
        }
        state.sent = Some(view.version);
        if self.view.0 != view.version || self.view.1.is_empty() {
            let Ok(frame) = encode(&SessionResponse::View(view.clone())) else { return };
            self.view = (view.version, frame);
        }
        let frame = self.view.1.clone();
        self.send_frame(connection, frame);
    }

    /// Sends a changed view to all joined members; a member that joins later receives it then.
    pub(super) fn send_views(&mut self) {
        let newest = self.state.state.view.version;
        if self.published == newest {
            return;
        }
        self.published = newest;
        let joined: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| c.member.is_some())
            .map(|(connection, _)| *connection)
            .collect();
        for connection in joined {
            self.send_view(connection);
        }
    }

    pub(super) fn send(&mut self, connection: u64, message: &SessionResponse) {
        if let Ok(frame) = encode(message) {
            self.send_frame(connection, frame);
        }
    }

    pub(super) fn send_frame(&mut self, connection: u64, frame: Bytes) {
        let Some(state) = self.connections.get(&connection) else { return };
        if state.output.try_send(frame).is_ok() {
            self.statistics.messages_sent += 1;
        } else {
            self.close(connection, "output queue full: front end is not reading");
        }
    }

    pub(super) fn reject(&mut self, connection: u64, message: SessionResponse) {
        self.send(connection, &message);
        self.close(connection, "rejected");
    }

    /// Closes a connection; frames that are already queued are still sent.
    pub fn close(&mut self, connection: u64, why: &str) {
        let Some(state) = self.connections.remove(&connection) else { return };
        if let Some(member) = state.member {
            if self.by_name.get(&member.name) == Some(&connection) {
                self.by_name.remove(&member.name);
            }
            tracing::info!(target: "stagehoist_consensus", event = "session", name = %member.name,
                incarnation = member.incarnation, why, "session closed");
        }
    }
}
