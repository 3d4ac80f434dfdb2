//! A replica's listener. Peers and front ends connect to the same address; the first frame identifies them.

use super::connection::serve_session;
use super::messages::{RequestFrame, ResponseFrame};
use super::peer_handler::PeerHandler;
use super::service::ServiceSender;
use crate::frames::{
    decode, decode_first, encode, frames, FirstFrame, Frames, MAX_FIRST_FRAME, MAX_PEER_FRAME, PEER_PROTOCOL,
    WRITE_TIMEOUT,
};
use futures_util::{SinkExt, StreamExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Maximum number of concurrent connections of peers and front ends.
pub const MAX_CONNECTIONS: usize = 2048;
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// A peer sends several frames per election timeout; a connection without a frame for this long is closed.
const PEER_SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Accepts connections until this future is dropped, which also closes all connections.
pub async fn accept_connections(
    listener: TcpListener,
    own: u64,
    handler: PeerHandler,
    service: ServiceSender,
) {
    let handler = Arc::new(handler);
    let mut tasks = JoinSet::new();
    let mut connection = 0;
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) if tasks.len() >= MAX_CONNECTIONS => {
                    tracing::warn!(target: "stagehoist_consensus", event = "session", %from,
                        most = MAX_CONNECTIONS,
                        "connection limit reached; connection dropped");
                    drop(stream);
                }
                Ok((stream, _)) => {
                    connection += 1;
                    tasks.spawn(handle_connection(stream, connection, own, handler.clone(), service.clone()));
                }
                Err(e) => {
                    tracing::warn!(target: "stagehoist_consensus", why = %e, "can't accept connection");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

async fn handle_connection(
    stream: TcpStream,
    connection: u64,
    own: u64,
    handler: Arc<PeerHandler>,
    service: ServiceSender,
) {
    let mut frames = frames(stream, MAX_FIRST_FRAME);
    let Ok(Some(Ok(first))) = timeout(FIRST_FRAME_TIMEOUT, frames.next()).await else { return };
    match decode_first(&first) {
        Some(FirstFrame::Member(hello)) => serve_session(connection, frames, hello, service).await,
        Some(FirstFrame::Peer { protocol: PEER_PROTOCOL, from, to }) if to == own && from != own => {
            frames.codec_mut().set_max_frame_length(MAX_PEER_FRAME);
            serve_peer(frames, from, &handler).await;
        }
        Some(FirstFrame::Peer { protocol, from, to }) => {
            tracing::error!(target: "stagehoist_consensus", protocol, from, to, own, "peer connection rejected: wrong protocol or replica number");
        }
        None => {
            tracing::warn!(target: "stagehoist_consensus", connection, "malformed first frame; connection closed")
        }
    }
}

/// Answers a peer's requests in order.
async fn serve_peer(mut frames: Frames, from: u64, handler: &PeerHandler) {
    while let Ok(Some(Ok(frame))) = timeout(PEER_SILENCE_TIMEOUT, frames.next()).await {
        let Some(request) = decode::<RequestFrame>(&frame) else { return };
        let body = handler.answer(from, request.body).await;
        let Ok(answer) = encode(&ResponseFrame { number: request.number, body }) else { return };
        if !matches!(timeout(WRITE_TIMEOUT, frames.send(answer)).await, Ok(Ok(()))) {
            return;
        }
    }
}
