//! The one address of a keeper: peers and front ends come here; their first frame tells which they are.

use super::desk::Notes;
use super::host::Host;
use super::serve::serve;
use super::wire::{Answer, Call};
use crate::frames::{
    decode, decode_first, encode, frames, First, Frames, FIRST_MOST, PEER_MOST, PEER_PROTOCOL, WRITE_MOST,
};
use futures_util::{SinkExt, StreamExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Connections at a time, of peers and front ends.
pub const CONNECTIONS_MOST: usize = 2048;
const FIRST_WITHIN: Duration = Duration::from_secs(2);
/// A peer is heard several times in each election time; one that says nothing for this long is gone.
const PEER_SILENT_MOST: Duration = Duration::from_secs(60);

/// Accepts until it is dropped, and with it all connections.
pub async fn listen(listener: TcpListener, own: u64, host: Host, desk: Notes) {
    let host = Arc::new(host);
    let mut tasks = JoinSet::new();
    let mut conn = 0;
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) if tasks.len() >= CONNECTIONS_MOST => {
                    tracing::warn!(target: "stagehoist_consensus", event = "session", %from,
                        most = CONNECTIONS_MOST,
                        "too many connections");
                    drop(stream);
                }
                Ok((stream, _)) => {
                    conn += 1;
                    tasks.spawn(greet(stream, conn, own, host.clone(), desk.clone()));
                }
                Err(e) => {
                    tracing::warn!(target: "stagehoist_consensus", why = %e, "can't accept");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

async fn greet(stream: TcpStream, conn: u64, own: u64, host: Arc<Host>, desk: Notes) {
    let mut frames = frames(stream, FIRST_MOST);
    let Ok(Some(Ok(first))) = timeout(FIRST_WITHIN, frames.next()).await else { return };
    match decode_first(&first) {
        Some(First::Member(hello)) => serve(conn, frames, hello, desk).await,
        Some(First::Peer { protocol: PEER_PROTOCOL, from, to }) if to == own && from != own => {
            frames.codec_mut().set_max_frame_length(PEER_MOST);
            peer(frames, from, &host).await;
        }
        Some(First::Peer { protocol, from, to }) => {
            tracing::error!(target: "stagehoist_consensus", protocol, from, to, own, "a keeper was turned away");
        }
        None => tracing::warn!(target: "stagehoist_consensus", conn, "a first frame that says nothing"),
    }
}

/// Answers a peer's calls in order.
async fn peer(mut frames: Frames, from: u64, host: &Host) {
    while let Ok(Some(Ok(frame))) = timeout(PEER_SILENT_MOST, frames.next()).await {
        let Some(call) = decode::<Call>(&frame) else { return };
        let body = host.answer(from, call.body).await;
        let Ok(answer) = encode(&Answer { number: call.number, body }) else { return };
        if !matches!(timeout(WRITE_MOST, frames.send(answer)).await, Ok(Ok(()))) {
            return;
        }
    }
}
