//! A front end's connection at a replica: frames in to the desk, frames out from it.

use super::service::{Notes, ServiceMessage};
use crate::frames::{decode, split, Frames, WRITE_TIMEOUT};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use stagehoist_cluster_state::SessionRequest;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Frames that a front end has not taken yet; one that lets more come is cut off.
pub const OUTPUT_CAPACITY: usize = 64;
/// How long one may say nothing.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves one connection until either side ends it. The desk ends it by dropping its sender.
pub async fn serve_session(connection: u64, frames: Frames, hello: SessionRequest, service: Notes) {
    let (out, mut outgoing) = mpsc::channel::<Bytes>(OUTPUT_CAPACITY);
    if service.send(ServiceMessage::Connected { connection, hello, out }).await.is_err() {
        return;
    }
    let (mut stream, mut sink) = split(frames);
    loop {
        tokio::select! {
            frame = timeout(SILENCE_TIMEOUT, stream.next()) => {
                let Ok(Some(Ok(frame))) = frame else { break };
                let Some(request) = decode::<SessionRequest>(&frame) else {
                    tracing::warn!(target: "stagehoist_consensus", event = "session", connection,
                        "a frame that says nothing");
                    break;
                };
                if service.send(ServiceMessage::Received { connection, request }).await.is_err() {
                    break;
                }
            }
            frame = outgoing.recv() => {
                let Some(frame) = frame else { break };
                let written = timeout(WRITE_TIMEOUT, async {
                    SinkExt::<Bytes>::feed(&mut sink, frame).await?;
                    while let Ok(frame) = outgoing.try_recv() {
                        SinkExt::<Bytes>::feed(&mut sink, frame).await?;
                    }
                    SinkExt::<Bytes>::flush(&mut sink).await
                });
                if !matches!(written.await, Ok(Ok(()))) {
                    tracing::warn!(target: "stagehoist_consensus", event = "session", connection, "it does not read");
                    break;
                }
            }
        }
    }
    let _ = service.send(ServiceMessage::Disconnected { connection }).await;
}
