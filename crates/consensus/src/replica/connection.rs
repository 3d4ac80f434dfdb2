//! A front end's connection at a replica: passes frames to and from the session service.

use super::service::{ServiceMessage, ServiceSender};
use crate::frames::{decode, split, Frames, WRITE_TIMEOUT};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use stagehoist_cluster_state::SessionRequest;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Maximum number of frames queued for a front end; a front end that exceeds it is disconnected.
pub const OUTPUT_CAPACITY: usize = 64;
/// A front end that sends nothing for this long is disconnected.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves one connection until either side ends it. The session service ends it by dropping its sender.
pub async fn serve_session(connection: u64, frames: Frames, hello: SessionRequest, service: ServiceSender) {
    let (responses, mut outgoing) = mpsc::channel::<Bytes>(OUTPUT_CAPACITY);
    if service.send(ServiceMessage::Connected { connection, hello, responses }).await.is_err() {
        return;
    }
    let (mut stream, mut sink) = split(frames);
    loop {
        tokio::select! {
            frame = timeout(SILENCE_TIMEOUT, stream.next()) => {
                let Ok(Some(Ok(frame))) = frame else { break };
                let Some(request) = decode::<SessionRequest>(&frame) else {
                    tracing::warn!(target: "stagehoist_consensus", event = "session", connection,
                        "malformed frame from front end; closing connection");
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
                    tracing::warn!(target: "stagehoist_consensus", event = "session", connection, "front end did not read in time; closing connection");
                    break;
                }
            }
        }
    }
    let _ = service.send(ServiceMessage::Disconnected { connection }).await;
}
