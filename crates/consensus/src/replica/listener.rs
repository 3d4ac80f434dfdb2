//! The one address of a replica: peers and front ends come here; their first frame tells which they are.

use super::connection::serve_session;
use super::messages::{RequestFrame, ResponseFrame};
use super::peer_handler::PeerHandler;
use super::service::Notes;
use crate::frames::{
    decode, decode_first, encode, frames, First, Frames, MAX_FIRST_FRAME, MAX_PEER_FRAME, PEER_PROTOCOL,
    WRITE_TIMEOUT,
};
use futures_util::{SinkExt, StreamExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Connections at a time, of peers and front ends.
pub const MAX_CONNECTIONS: usize = 2048;
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// A peer is heard several times in each election time; one that says nothing for this long is gone.
const PEER_SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Accepts until it is dropped, and with it all connections.
pub async fn accept_connections(listener: TcpListener, own: u64, host: PeerHandler, service: Notes) {
    let host = Arc::new(host);
    let mut tasks = JoinSet::new();
    let mut connection = 0;
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) if tasks.len() >= MAX_CONNECTIONS => {
                    tracing::warn!(target: "stagehoist_consensus", event = "session", %from,
                        most = MAX_CONNECTIONS,
                        "too many connections");
                    drop(stream);
                }
                Ok((stream, _)) => {
                    connection += 1;
                    tasks.spawn(greet(stream, connection, own, host.clone(), service.clone()));
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

async fn greet(stream: TcpStream, connection: u64, own: u64, host: Arc<PeerHandler>, service: Notes) {
    let mut frames = frames(stream, MAX_FIRST_FRAME);
    let Ok(Some(Ok(first))) = timeout(FIRST_FRAME_TIMEOUT, frames.next()).await else { return };
    match decode_first(&first) {
        Some(First::Member(hello)) => serve_session(connection, frames, hello, service).await,
        Some(First::Peer { protocol: PEER_PROTOCOL, from, to }) if to == own && from != own => {
            frames.codec_mut().set_max_frame_length(MAX_PEER_FRAME);
            peer(frames, from, &host).await;
        }
        Some(First::Peer { protocol, from, to }) => {
            tracing::error!(target: "stagehoist_consensus", protocol, from, to, own, "a replica was rejected");
        }
        None => tracing::warn!(target: "stagehoist_consensus", connection, "a first frame that says nothing"),
    }
}

/// Answers a peer's calls in order.
async fn peer(mut frames: Frames, from: u64, host: &PeerHandler) {
    while let Ok(Some(Ok(frame))) = timeout(PEER_SILENCE_TIMEOUT, frames.next()).await {
        let Some(call) = decode::<RequestFrame>(&frame) else { return };
        let body = host.answer(from, call.body).await;
        let Ok(answer) = encode(&ResponseFrame { number: call.number, body }) else { return };
        if !matches!(timeout(WRITE_TIMEOUT, frames.send(answer)).await, Ok(Ok(()))) {
            return;
        }
    }
}
