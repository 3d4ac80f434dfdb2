//! What the desk sends, and how it ends a connection.

use super::Desk;
use crate::frames::encode;
use bytes::Bytes;
use stagehoist_cluster_state::ToMember;

impl Desk {
    /// Sends the newest view, where it was not sent yet.
    pub(super) fn show(&mut self, conn: u64) {
        let view = &self.record.record.view;
        let Some(at) = self.conns.get_mut(&conn) else { return };
        if at.sent == Some(view.version) {
            return;
        }
        at.sent = Some(view.version);
        if self.view.0 != view.version || self.view.1.is_empty() {
            let Ok(frame) = encode(&ToMember::View(view.clone())) else { return };
            self.view = (view.version, frame);
        }
        let frame = self.view.1.clone();
        self.hand(conn, frame);
    }

    /// Sends a view that changed to whoever has joined; who joins later is shown it then.
    pub(super) fn show_all(&mut self) {
        let newest = self.record.record.view.version;
        if self.shown == newest {
            return;
        }
        self.shown = newest;
        let joined: Vec<u64> =
            self.conns.iter().filter(|(_, c)| c.member.is_some()).map(|(conn, _)| *conn).collect();
        for conn in joined {
            self.show(conn);
        }
    }

    pub(super) fn say(&mut self, conn: u64, message: &ToMember) {
        if let Ok(frame) = encode(message) {
            self.hand(conn, frame);
        }
    }

    pub(super) fn hand(&mut self, conn: u64, frame: Bytes) {
        let Some(at) = self.conns.get(&conn) else { return };
        if at.out.try_send(frame).is_ok() {
            self.figures.messages_out += 1;
        } else {
            self.close(conn, "it does not read");
        }
    }

    pub(super) fn turn_away(&mut self, conn: u64, message: ToMember) {
        self.say(conn, &message);
        self.close(conn, "turned away");
    }

    /// Ends a connection: what was handed over still goes out.
    pub fn close(&mut self, conn: u64, why: &str) {
        let Some(at) = self.conns.remove(&conn) else { return };
        if let Some(member) = at.member {
            if self.names.get(&member.name) == Some(&conn) {
                self.names.remove(&member.name);
            }
            tracing::info!(target: "stagehoist_consensus", event = "session", name = %member.name,
                incarnation = member.incarnation, why, "left");
        }
    }
}
