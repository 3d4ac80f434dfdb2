//! Which side gets a descriptor when none is left, and that no loop spins for one.

use crate::stage::{accept, anywhere, at_the_limit, listen, own_address, read_until, Client, Full, Stage};
use stagehoist_gateway::state::{Answer, Input};
use stagehoist_platform::descriptors::RETRY_INTERVAL;
use stagehoist_platform::start_times::StartTimes;
use stagehoist_platform::subscription::EventSubscription;
use stagehoist_platform::watch::watch_events;
use std::io::Write;
use std::time::Instant;
use tokio::sync::watch;

/// Returns the maximum number of refusals by the system since `since`, with a pause after each; up to `freed` pauses
/// may have been cut short by a released descriptor.
fn refusals(since: Instant, freed: u64) -> u64 {
    (since.elapsed().as_millis() / RETRY_INTERVAL.as_millis()) as u64 + 1 + freed
}

/// The bus connection ends and the bus is unreachable while other users may take any descriptor: clients are pending,
/// an attempt waits for a descriptor, and nothing can be evicted. The bus must be followed again as soon as it is
/// back.
#[test]
fn the_bus_is_followed_again_though_no_descriptor_is_left_and_others_wait_for_one() {
    at_the_limit(|mut full| async move {
        let stage = Stage::new(8).await;
        let (executor, executor_at) = listen(anywhere());
        stage.at(&[1], executor_at);
        let (bus, bus_at) = listen(own_address());
        let (_moves, seen) = watch::channel(bus_at);
        let following = EventSubscription::new(1, stage.shared.clock.now());
        tokio::task::spawn_local(watch_events(
            stage.shared.clone(),
            stage.executors.clone(),
            following,
            StartTimes::default(),
            seen,
        ));
        let mut pending: Vec<Client> = (0..5).map(|_| Client::new()).collect();
        let mut peer = None;
        stage
            .until(|| {
                peer = bus.accept().ok();
                peer.is_some()
            })
            .await;
        full.fill();
        pending.iter_mut().for_each(|c| c.ask(stage.listen));
        full.with(|| drop((peer, bus)));
        let (before, since) = (stage.refused(), Instant::now());
        for n in 1..=10 {
            let seen = stage.refused();
            stage.until(|| stage.refused() > seen).await;
            stage.send(1, n);
        }
        assert!(stage.refused() - before <= refusals(since, 0), "{}", stage.refused() - before);
        let bus = full.with(|| listen(bus_at).0);
        accept(&stage, &mut full, &bus).await;
        assert!(
            executor.accept().is_err() && pending.iter_mut().all(|c| !c.is_serving()),
            "another user got a descriptor"
        );
    });
}

/// Idle clients hold all descriptors: new clients are answered, the same number of idle ones is evicted, and the
/// accept loop does not retry more often than its pauses allow.
#[test]
fn new_clients_are_answered_when_idle_clients_hold_all_descriptors() {
    at_the_limit(|mut full| async move {
        let stage = Stage::new(8).await;
        let _idle = stage.idle_clients(8).await;
        let mut new: Vec<Client> = (0..5).map(|_| Client::new()).collect();
        full.fill();
        let since = Instant::now();
        new.iter_mut().for_each(|c| c.ask(stage.listen));
        for client in &mut new {
            stage.until(|| client.is_serving()).await;
        }
        let counters = stage.clients.counters.get();
        // The system allocates a descriptor before it checks whether a connection is pending: one stays available.
        assert_eq!((counters.released, counters.accepted), (6, 13));
        assert!(stage.refused() <= refusals(since, 5), "{}", stage.refused());
        // Without pending connections nothing is requested from the system.
        let quiet = stage.refused();
        tokio::time::sleep(5 * RETRY_INTERVAL).await;
        assert_eq!(stage.refused(), quiet);
    });
}

/// A new client is accepted and has not sent its request yet when the next check evicts a connection: one of the idle
/// ones must be evicted.
#[test]
fn a_new_client_whose_request_is_in_transit_is_not_evicted() {
    at_the_limit(|mut full| async move {
        let stage = Stage::new(8).await;
        let _idle = stage.idle_clients(4).await;
        let mut new = Client::new();
        full.fill();
        new.connect(stage.listen);
        stage.until(|| stage.clients.counters.get().released == 2).await;
        assert_eq!(stage.clients.counters.get().accepted, 5);
        new.ask(stage.listen);
        stage.until(|| new.is_serving()).await;
    });
}

/// All clients are in progress or pending, and none can be evicted: accepting is retried with pauses, and the pending
/// clients are served once descriptors are available.
#[test]
fn accepting_is_retried_with_pauses_when_nothing_can_be_evicted() {
    at_the_limit(|mut full| async move {
        let stage = Stage::new(8).await;
        let mut pending: Vec<Client> = (0..5).map(|_| Client::new()).collect();
        full.fill();
        let since = Instant::now();
        pending.iter_mut().for_each(|c| c.ask(stage.listen));
        stage.until(|| stage.refused() >= 20).await;
        assert!(stage.refused() <= refusals(since, 0), "{}", stage.refused());
        drop(full);
        for client in &mut pending {
            stage.until(|| client.is_serving()).await;
        }
    });
}

/// One idle client, one pending client and an attempt at the same moment: the descriptor goes to the attempt. Once it
/// is answered, its connection is idle and is evicted for the pending client.
#[test]
fn a_released_descriptor_goes_to_an_executor_connection_first_and_then_to_a_client() {
    at_the_limit(|mut full| async move {
        let stage = Stage::new(8).await;
        let (listener, address) = listen(anywhere());
        stage.at(&[1], address);
        let _idle = stage.idle_clients(1).await;
        let mut new = Client::new();
        full.fill();
        new.ask(stage.listen);
        stage.send(1, 1);
        stage.until(|| stage.executors.counters.get().connected == 1).await;
        let peer = accept(&stage, &mut full, &listener).await;
        read_until(&stage, &peer, "RUN 0000000000000001").await;
        assert_eq!((stage.clients.counters.get().accepted, new.is_serving()), (1, false));
        let seen = stage.refused();
        stage.until(|| stage.refused() > seen + 3).await;
        assert_eq!(stage.executors.connections(), 1, "a connection with an open request was evicted");
        (&peer).write_all(b"0000000000000001 OK - 2\r\nhi\r\n").unwrap();
        stage.until(|| new.is_serving()).await;
        assert_eq!(stage.executors.connections(), 0);
    });
}

/// A new client has been pending for long when the only client's call is answered and an attempt needs a descriptor
/// at the same moment: the client is evicted, and its descriptor goes to the attempt.
#[test]
fn an_executor_connection_takes_precedence_over_clients_that_waited_longer() {
    at_the_limit(|mut full| async move {
        let mut stage = Stage::new(8).await;
        let (_listener, address) = listen(anywhere());
        stage.at(&[1], address);
        let mut in_progress = stage.idle_clients(1).await;
        in_progress[0].call();
        let Input::Call(call) = stage.next().await else { panic!("no call") };
        let mut new = Client::new();
        full.fill();
        new.ask(stage.listen);
        stage.until(|| stage.refused() > 1).await;
        assert_eq!(stage.clients.counters.get().released, 0, "a client with an open request was evicted");
        stage.clients.answer(call.ticket, &Answer::Refused { reason: "", retry_after: 0 });
        stage.clients.flush_all();
        stage.send(1, 1);
        stage.until(|| stage.clients.counters.get().released == 1).await;
        let seen = stage.refused();
        stage.until(|| stage.refused() > seen + 3).await;
        assert_eq!((stage.executors.counters.get().connected, new.is_serving()), (1, false));
    });
}

/// Idle clients and idle connections to executors together hold all descriptors: calls at one executor after another
/// and new clients are served alternately, and connections are evicted from the side that holds more.
#[test]
fn calls_and_new_clients_are_served_when_both_sides_hold_all_descriptors() {
    at_the_limit(|mut full| async move {
        let mut stage = Stage::new(64).await;
        let (listener, address) = listen(anywhere());
        let workers: Vec<u32> = (1..=20).collect();
        stage.at(&workers, address);
        let _idle = stage.idle_clients(8).await;
        let mut new: Vec<Client> = (0..20).map(|_| Client::new()).collect();
        full.fill();
        let (mut peers, since) = (Vec::new(), Instant::now());
        for (worker, client) in workers.iter().zip(&mut new) {
            client.ask(stage.listen);
            stage.send(*worker, *worker);
            let peer = serve(&stage, &mut full, &listener, *worker).await;
            peers.push(peer);
            stage.next().await;
            stage.until(|| client.is_serving()).await;
        }
        let (clients, connections) = (stage.clients.connections(), stage.executors.connections());
        assert!(
            clients + connections <= 8 && clients.abs_diff(connections) <= 2,
            "{clients} clients, {connections} connections"
        );
        assert!(stage.refused() <= refusals(since, 40), "{}", stage.refused());
        let ends = stage.executors.counters.get();
        assert_eq!((ends.connected, ends.not_up), (20, 0));
    });
}

/// Answers a request; the descriptor of the test's end was never available to the front end.
async fn serve(
    stage: &Stage,
    full: &mut Full,
    listener: &std::net::TcpListener,
    n: u32,
) -> std::net::TcpStream {
    let peer = accept(stage, full, listener).await;
    read_until(stage, &peer, &format!("RUN {n:016x}")).await;
    (&peer).write_all(format!("{n:016x} OK - 2\r\nhi\r\n").as_bytes()).unwrap();
    peer
}
