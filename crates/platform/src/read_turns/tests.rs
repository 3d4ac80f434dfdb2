use super::queue::{Grant, TurnQueue, MAX_QUEUED_BESIDE_PREFERRED, MAX_QUEUED_INPUTS};
use super::source::{ReadCost, SourceId, SourceKind};

/// What a read of small messages contains.
const READ: ReadCost = ReadCost { bytes: 1024, messages: 44, unproductive: 0 };
const ONE_REQUEST: ReadCost = ReadCost { bytes: 150, messages: 1, unproductive: 0 };
/// Number of rounds within which an idle connection gets its turn, and from one of its requests to the next.
const MAX_ROUNDS: usize = 2;
const REQUEST_INTERVAL: usize = 4;

fn sources(queue: &mut TurnQueue, count: usize) -> Vec<SourceId> {
    (0..count).map(|_| queue.add(SourceKind::Client)).collect()
}

/// Begins a round in which each granted source reads and requests its next turn, except `once`. Returns who read.
fn play_round(queue: &mut TurnQueue, cost: ReadCost, once: Option<SourceId>) -> Vec<SourceId> {
    let granted = queue.begin_round(0, 0).granted;
    for &id in &granted {
        queue.charge(id, if Some(id) == once { ONE_REQUEST } else { cost }, 0);
        if Some(id) != once {
            queue.request(id, 0);
        }
    }
    granted
}

fn flooded_queue(flooders: usize) -> (TurnQueue, Vec<SourceId>) {
    let mut queue = TurnQueue::new(0);
    let flooding = sources(&mut queue, flooders);
    for &id in &flooding {
        while queue.request(id, 0) == Grant::Now {
            queue.charge(id, READ, 0);
        }
    }
    for _ in 0..10 * flooders {
        play_round(&mut queue, READ, None);
    }
    (queue, flooding)
}

#[test]
fn an_idle_connection_reads_at_once() {
    let mut queue = TurnQueue::new(0);
    let id = queue.add(SourceKind::Client);
    for _ in 0..100 {
        assert_eq!(queue.request(id, 0), Grant::Now);
        queue.charge(id, ONE_REQUEST, 0);
        if queue.needs_round() {
            assert_eq!(queue.begin_round(0, 0).next_at, None);
        }
    }
}

#[test]
fn a_connection_that_always_has_input_does_not_read_for_longer_than_a_round() {
    let mut queue = TurnQueue::new(0);
    let id = queue.add(SourceKind::Client);
    let mut reads = 0;
    while queue.request(id, 0) == Grant::Now {
        queue.charge(id, READ, 0);
        reads += 1;
        assert!(reads < 20, "the connection reads without end");
    }
    assert_eq!(queue.begin_round(0, 0).granted, [id]);
}

#[test]
fn an_idle_connection_comes_before_all_that_always_have_input() {
    for flooders in [1, 6, 30, 300] {
        let (mut queue, _) = flooded_queue(flooders);
        let ordinary = queue.add(SourceKind::Client);
        queue.prefer(ordinary);
        for request in 0..50 {
            (0..REQUEST_INTERVAL).for_each(|_| drop(play_round(&mut queue, READ, None)));
            if queue.request(ordinary, 0) == Grant::Now {
                queue.charge(ordinary, ONE_REQUEST, 0);
                continue;
            }
            let rounds = (0..MAX_ROUNDS)
                .take_while(|_| !play_round(&mut queue, READ, Some(ordinary)).contains(&ordinary))
                .count();
            assert!(rounds < MAX_ROUNDS, "request {request} waits behind {flooders} connections");
        }
    }
}

#[test]
fn connections_that_always_have_input_get_equal_shares() {
    let (mut queue, flooding) = flooded_queue(30);
    let mut reads = vec![0; flooding.len()];
    for _ in 0..300 {
        for id in play_round(&mut queue, READ, None) {
            reads[flooding.iter().position(|other| *other == id).unwrap()] += 1;
        }
    }
    let (least, most) = (reads.iter().min().unwrap(), reads.iter().max().unwrap());
    assert!(most - least <= 1, "{reads:?}");
}

#[test]
fn clients_wait_while_the_driver_is_behind_and_peers_do_not() {
    let mut queue = TurnQueue::new(0);
    let (client, peer) = (queue.add(SourceKind::Client), queue.add(SourceKind::Peer));
    queue.begin_round(10_000, 0);
    assert_eq!(queue.request(client, 0), Grant::Later);
    assert_eq!(queue.request(peer, 0), Grant::Now);
    let round = queue.begin_round(10_000, 5);
    assert_eq!((round.granted, round.next_at), (vec![], Some(5)));
    assert_eq!(queue.begin_round(0, 6).granted, [client]);
}

#[test]
fn a_connection_with_very_many_messages_without_effect_is_limited_until_it_rests() {
    const UNSOUND: ReadCost = ReadCost { bytes: 1024, messages: 44, unproductive: 44 };
    let mut queue = TurnQueue::new(0);
    let id = queue.add(SourceKind::Client);
    let limited_after = (1..1000).find(|_| queue.charge(id, UNSOUND, 0)).unwrap();
    assert_eq!(limited_after, 24, "1,024 messages are read without a limit");
    // For a second it reads whenever it may.
    let (mut now, mut read) = (0, 0);
    while now < 1_000_000 {
        queue.request(id, now);
        let round = queue.begin_round(0, now);
        for _ in &round.granted {
            queue.charge(id, UNSOUND, now);
            read += 44;
        }
        now = round.next_at.unwrap_or(now).max(now + 10);
    }
    assert!((20_000..=22_000).contains(&read), "{read} messages in a second");
    let rested = now + 30_000_000;
    queue.begin_round(0, rested);
    queue.request(id, rested);
    queue.begin_round(0, rested);
    assert_eq!(queue.request(id, rested), Grant::Now);
}

#[test]
fn a_connection_that_ended_gets_no_turn() {
    let (mut queue, flooding) = flooded_queue(3);
    for &id in &flooding {
        queue.remove(id);
    }
    let round = queue.begin_round(0, 0);
    assert_eq!((round.granted, round.next_at), (vec![], None));
}

/// The listener accepts connection after connection, and clients that always have input wait.
#[test]
fn the_work_of_peers_puts_no_idle_client_behind_others() {
    let (mut queue, _) = flooded_queue(30);
    let listener = queue.add(SourceKind::Peer);
    for _ in 0..1_000 {
        if queue.request(listener, 0) == Grant::Later {
            for id in queue.begin_round(0, 0).granted.into_iter().filter(|id| *id != listener) {
                queue.charge(id, READ, 0);
                queue.request(id, 0);
            }
        }
        queue.charge(listener, READ, 0);
    }
    let ordinary = queue.add(SourceKind::Client);
    assert_eq!(queue.request(ordinary, 0), Grant::Later);
    let granted = play_round(&mut queue, READ, Some(ordinary));
    assert!(granted.contains(&ordinary), "{granted:?}");
}

/// A drain may be behind the frames of the event bus, and answers behind those that nothing awaits.
#[test]
fn peers_are_never_limited() {
    const UNEXPECTED: ReadCost = ReadCost { bytes: 16 << 10, messages: 500, unproductive: 500 };
    let mut queue = TurnQueue::new(0);
    let peer = queue.add(SourceKind::Peer);
    for _ in 0..100 {
        assert_eq!(queue.request(peer, 0), Grant::Now);
        queue.charge(peer, UNEXPECTED, 0);
        queue.begin_round(0, 0);
    }
}

/// Guards against a wait of seconds of the requests that are to be refused at once, while a flood fills the driver's queue.
#[test]
fn clients_that_were_served_are_read_while_the_driver_is_behind() {
    let (mut queue, flooding) = flooded_queue(30);
    let served = queue.add(SourceKind::Client);
    queue.prefer(served);
    queue.begin_round(MAX_QUEUED_INPUTS + 1, 0);
    assert_eq!(queue.request(served, 0), Grant::Later);
    assert_eq!(queue.begin_round(MAX_QUEUED_INPUTS + 1, 0).granted, [served]);
    queue.charge(served, ONE_REQUEST, 0);
    // The driver has far too many inputs.
    assert_eq!(queue.request(served, 0), Grant::Later);
    assert_eq!(queue.begin_round(MAX_QUEUED_BESIDE_PREFERRED + 1, 0).granted, []);
    let granted = queue.begin_round(0, 0).granted;
    assert_eq!(granted[0], served);
    assert!(granted[1..].iter().all(|id| flooding.contains(id)) && granted.len() > 1);
}
