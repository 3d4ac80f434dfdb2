//! A replica's connections to the other replicas: one persistent connection to each, reopened after it breaks.

use super::messages::{PeerRequest, PeerResponse, RequestFrame, ResponseFrame};
use crate::frames::{
    decode, encode, encode_first, frames, FirstFrame, Frames, CONNECT_TIMEOUT, MAX_PEER_FRAME, PEER_PROTOCOL,
    WRITE_TIMEOUT,
};
use crate::types::TypeConfig;
use futures_util::{SinkExt, StreamExt};
use openraft::error::{InstallSnapshotError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{Backoff, RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::EmptyNode;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{timeout, Instant};

/// Maximum numbers of requests to one replica that are queued and that are in flight.
const MAX_QUEUED: usize = 64;
const MAX_IN_FLIGHT: usize = 256;
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

type QueuedRequest = (PeerRequest, oneshot::Sender<PeerResponse>);
type RaftRpcError<E> = RPCError<u64, EmptyNode, RaftError<u64, E>>;

/// Handles for requests to the other replicas.
#[derive(Clone)]
pub struct Peers {
    queues: BTreeMap<u64, mpsc::Sender<QueuedRequest>>,
    pause: Duration,
}

impl Peers {
    /// Starts a task for each other replica. `pause` is the time between attempts to reach an unreachable replica.
    pub fn start(
        own: u64,
        replicas: &BTreeMap<u64, String>,
        pause: Duration,
        tasks: &mut JoinSet<()>,
    ) -> Peers {
        let mut queues = BTreeMap::new();
        for (number, address) in replicas.iter().filter(|(n, _)| **n != own) {
            let (requests, request_receiver) = mpsc::channel(MAX_QUEUED);
            tasks.spawn(run_peer_connection(own, *number, address.clone(), request_receiver));
            queues.insert(*number, requests);
        }
        Peers { queues, pause }
    }

    /// Numbers of the other replicas.
    pub fn numbers(&self) -> Vec<u64> {
        self.queues.keys().copied().collect()
    }

    /// Sends one request; `None` if no response arrives in time.
    pub async fn send_request(
        &self,
        to: u64,
        body: PeerRequest,
        time_limit: Duration,
    ) -> Option<PeerResponse> {
        let (response_sender, response) = oneshot::channel();
        self.queues.get(&to)?.try_send((body, response_sender)).ok()?;
        timeout(time_limit, response).await.ok()?.ok()
    }
}

/// Owns the connection to one replica; ends when all request senders are dropped.
async fn run_peer_connection(
    own: u64,
    to: u64,
    address: String,
    mut request_receiver: mpsc::Receiver<QueuedRequest>,
) {
    let mut backoff = BACKOFF.0;
    let mut next_try = Instant::now();
    while let Some(request) = request_receiver.recv().await {
        // During backoff a request fails immediately, because its response sender is dropped.
        if Instant::now() < next_try {
            continue;
        }
        match connect(own, to, &address).await {
            Some(stream) => {
                backoff = BACKOFF.0;
                exchange_messages(stream, request, &mut request_receiver).await;
                next_try = Instant::now() + backoff;
            }
            None => {
                next_try = Instant::now() + backoff;
                backoff = (backoff * 2).min(BACKOFF.1);
            }
        }
    }
}

async fn connect(own: u64, to: u64, address: &str) -> Option<Frames> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let mut frames = frames(stream, MAX_PEER_FRAME);
    let hello = encode_first(&FirstFrame::Peer { protocol: PEER_PROTOCOL, from: own, to }).ok()?;
    timeout(WRITE_TIMEOUT, frames.send(hello)).await.ok()?.ok()?;
    Some(frames)
}

/// Sends requests and passes on their responses until the connection breaks or stalls.
async fn exchange_messages(
    frames: Frames,
    first: QueuedRequest,
    request_receiver: &mut mpsc::Receiver<QueuedRequest>,
) {
    let (mut sink, mut stream) = frames.split();
    let mut in_flight: BTreeMap<u64, oneshot::Sender<PeerResponse>> = BTreeMap::new();
    let mut number = 0;
    let mut next = Some(first);
    loop {
        if let Some((body, response_sender)) = next.take() {
            in_flight.retain(|_, response_sender| !response_sender.is_closed());
            if in_flight.len() >= MAX_IN_FLIGHT {
                return;
            }
            number += 1;
            let Ok(frame) = encode(&RequestFrame { number, body }) else { continue };
            in_flight.insert(number, response_sender);
            if !matches!(timeout(WRITE_TIMEOUT, sink.send(frame)).await, Ok(Ok(()))) {
                return;
            }
        }
        tokio::select! {
            request = request_receiver.recv() => match request {
                Some(request) => next = Some(request),
                None => return,
            },
            frame = stream.next() => {
                let Some(Ok(frame)) = frame else { return };
                let Some(response) = decode::<ResponseFrame>(&frame) else { return };
                if let Some(response_sender) = in_flight.remove(&response.number) {
                    let _ = response_sender.send(response.body);
                }
            }
        }
    }
}

impl RaftNetworkFactory<TypeConfig> for Peers {
    type Network = Peer;

    async fn new_client(&mut self, target: u64, _: &EmptyNode) -> Peer {
        Peer { peers: self.clone(), to: target }
    }
}

/// Raft's network client for one replica.
pub struct Peer {
    peers: Peers,
    to: u64,
}

impl Peer {
    async fn request<E: std::error::Error>(
        &self,
        request: PeerRequest,
        option: RPCOption,
    ) -> Result<PeerResponse, RaftRpcError<E>> {
        let time_limit = option.hard_ttl();
        self.peers
            .send_request(self.to, request, time_limit)
            .await
            .ok_or_else(|| unreachable("no response from the peer was received in time"))
    }
}

fn unreachable<E: std::error::Error>(why: &str) -> RaftRpcError<E> {
    RPCError::Unreachable(Unreachable::new(&std::io::Error::other(why.to_string())))
}

impl RaftNetwork<TypeConfig> for Peer {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RaftRpcError<openraft::error::Infallible>> {
        match self.request(PeerRequest::Append(rpc), option).await? {
            PeerResponse::Append(answer) => Ok(answer),
            _ => Err(unreachable("the replica does not participate")),
        }
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, RaftRpcError<openraft::error::Infallible>> {
        match self.request(PeerRequest::Vote(rpc), option).await? {
            PeerResponse::Vote(answer) => Ok(answer),
            _ => Err(unreachable("the replica does not participate")),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, RaftRpcError<InstallSnapshotError>> {
        match self.request(PeerRequest::Snapshot(rpc), option).await? {
            PeerResponse::Snapshot(Ok(answer)) => Ok(answer),
            PeerResponse::Snapshot(Err(e)) => {
                Err(RPCError::RemoteError(RemoteError::new(self.to, RaftError::APIError(e))))
            }
            _ => Err(unreachable("the replica does not participate")),
        }
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(self.peers.pause))
    }
}
