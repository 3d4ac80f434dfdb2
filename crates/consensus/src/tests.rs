//! Golden bytes: the first frames of connections, every message between replicas and a front end's session file, as
//! written by the build before the packages were renamed. `tests/golden/*` never change with the code.

use crate::frames::{decode_first, encode_first, FirstFrame, PEER_PROTOCOL};
use crate::replica::messages::{PeerRequest, PeerResponse, ReplicaStatus, RequestFrame, ResponseFrame};
use crate::session_file::{SessionFile, SessionMemory};
use crate::types::{Batch, BatchOutcome, Entry, LogId, Vote};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{EmptyNode, EntryPayload, LeaderId, Membership, SnapshotMeta, StoredMembership};
use serde::{de::DeserializeOwned, Serialize};
use stagehoist_cluster_state::{ClusterView, Command, CommandOutcome, Member, SessionRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Write};

#[derive(Default)]
struct Golden {
    text: String,
}

impl Golden {
    fn add_bytes(&mut self, name: &str, bytes: &[u8]) {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(self.text, "{name} {hex}").unwrap();
    }

    /// Encodes a value as a line, and checks that the bytes decode to the same value.
    fn add<T: Serialize + DeserializeOwned + Debug>(&mut self, name: &str, value: &T) {
        let bytes = crate::frames::encode(value).unwrap();
        let read: T = crate::frames::decode(&bytes).unwrap();
        assert_eq!(format!("{read:?}"), format!("{value:?}"));
        self.add_bytes(name, &bytes);
    }

    fn call(&mut self, name: &str, body: PeerRequest) {
        self.add(name, &RequestFrame { number: 7, body });
    }

    fn answer(&mut self, name: &str, body: PeerResponse) {
        self.add(name, &ResponseFrame { number: 7, body });
    }
}

fn log_id(index: u64) -> LogId {
    LogId::new(LeaderId::new(3, 2), index)
}

fn members() -> Membership<u64, EmptyNode> {
    let nodes: BTreeMap<u64, EmptyNode> = [1, 2, 3].map(|n| (n, EmptyNode {})).into();
    Membership::new(vec![BTreeSet::from([1, 2, 3])], nodes)
}

fn entries() -> Vec<Entry> {
    let batch = Batch(vec![Command::Join { name: "a/0".into(), at_least: 4 }]);
    let entry = |index, payload| Entry { log_id: log_id(index), payload };
    vec![
        entry(1, EntryPayload::Blank),
        entry(2, EntryPayload::Normal(batch)),
        entry(3, EntryPayload::Membership(members())),
    ]
}

fn requests(golden: &mut Golden) {
    let vote = Vote::new_committed(3, 2);
    let append = AppendEntriesRequest {
        vote,
        prev_log_id: Some(log_id(0)),
        entries: entries(),
        leader_commit: Some(log_id(2)),
    };
    golden.call("call-append", PeerRequest::Append(append));
    golden.call(
        "call-vote",
        PeerRequest::Vote(VoteRequest { vote: Vote::new(4, 1), last_log_id: Some(log_id(3)) }),
    );
    let meta = SnapshotMeta {
        last_log_id: Some(log_id(3)),
        last_membership: StoredMembership::new(Some(log_id(3)), members()),
        snapshot_id: "3-2-3".into(),
    };
    let install = InstallSnapshotRequest { vote, meta, offset: 5, data: vec![1, 2, 255], done: true };
    golden.call("call-snapshot", PeerRequest::Snapshot(install));
    golden.call("call-stand", PeerRequest::Status);
    golden.call("call-raise", PeerRequest::RaiseTerm { above: 9 });
}

fn responses(golden: &mut Golden) {
    let vote = Vote::new_committed(3, 2);
    golden.answer("answer-append", PeerResponse::Append(AppendEntriesResponse::Success));
    golden.answer("answer-append-higher-vote", PeerResponse::Append(AppendEntriesResponse::HigherVote(vote)));
    let response = VoteResponse { vote, vote_granted: true, last_log_id: Some(log_id(3)) };
    golden.answer("answer-vote", PeerResponse::Vote(response));
    golden.answer("answer-snapshot", PeerResponse::Snapshot(Ok(InstallSnapshotResponse { vote })));
    let stand = ReplicaStatus { is_new: false, is_participating: true, term: 3, is_voter: true };
    golden.answer("answer-stand", PeerResponse::Status(stand));
    golden.answer("answer-heard", PeerResponse::Acknowledged);
    golden.answer("answer-closed", PeerResponse::NotParticipating);
    let joined = CommandOutcome::Joined(Member { name: "a/0".into(), incarnation: 5 });
    golden.add("outcomes", &BatchOutcome(vec![joined, CommandOutcome::Unchanged]));
}

fn first_frames(golden: &mut Golden) {
    let first = [
        ("first-peer", FirstFrame::Peer { protocol: PEER_PROTOCOL, from: 1, to: 2 }),
        ("first-member", FirstFrame::Member(SessionRequest::Leave)),
    ];
    for (name, frame) in first {
        let bytes = encode_first(&frame).unwrap();
        assert_eq!(format!("{:?}", decode_first(&bytes).unwrap()), format!("{frame:?}"));
        golden.add_bytes(name, &bytes);
    }
}

#[test]
fn every_message_between_replicas_has_the_bytes_that_it_had() {
    let mut golden = Golden::default();
    first_frames(&mut golden);
    requests(&mut golden);
    responses(&mut golden);
    let expected = include_str!("../tests/golden/messages.txt");
    assert!(golden.text == expected, "the bytes changed; now they are\n{}", golden.text);
}

#[test]
fn a_session_file_has_the_bytes_that_it_had_and_is_read() {
    let folder = tempfile::tempdir().unwrap();
    let memory = SessionMemory {
        incarnation: 7,
        view: ClusterView { version: 12, edition: 2, ..ClusterView::default() },
    };
    let mut session_file = SessionFile::open(Some(folder.path()), "A/1").unwrap();
    session_file.change(|m| *m = memory.clone()).unwrap();
    let name = "_41_2f1.session";
    let bytes = std::fs::read(folder.path().join(name)).unwrap();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, include_str!("../tests/golden/session.txt").trim());
    assert_eq!(SessionFile::open(Some(folder.path()), "A/1").unwrap().memory, memory);
}
