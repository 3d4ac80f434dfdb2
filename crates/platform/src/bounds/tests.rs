//! Tests of `bounds`.

use super::*;

#[test]
fn descriptors_are_shared_out_within_the_limit() {
    for sockets in [64, 256, 512, 1024, 4096] {
        let b = Bounds::new(&Limits { cores: 0.5, memory_mb: 64.0, sockets });
        assert!(b.clients as u64 * 3 >= sockets, "clients get less than a third of the descriptors");
        assert!(
            (b.clients + b.executors) as u64 + RESERVED_DESCRIPTORS.min(16) <= sockets,
            "{sockets}: {b:?}"
        );
        assert!((1..500).all(|n| b.per_executor(n) * n <= b.executors.max(n)));
    }
}

#[test]
fn connections_without_a_request_are_evicted_first_and_those_with_open_requests_never() {
    let s = |requested, open_count, last_active| ConnectionActivity {
        has_requested: requested,
        is_verified: false,
        open_requests: open_count,
        active_at: last_active,
    };
    let all = [s(true, 0, 1), s(false, 0, 7), s(false, 0, 5), s(true, 1, 0)];
    let late = 2 * FIRST_REQUEST_TRANSIT;
    assert_eq!(victim(all.iter().copied().enumerate(), late), Some(2));
    assert_eq!(victim([s(true, 0, 9), s(true, 0, 3)].into_iter().enumerate(), late), Some(1));
    assert_eq!(victim([s(true, 1, 1)].into_iter().enumerate(), late), None);
    let verified = ConnectionActivity { is_verified: true, ..s(true, 0, 1) };
    assert_eq!(victim([verified, s(true, 0, 9)].into_iter().enumerate(), late), Some(1));
    assert_eq!(victim([verified].into_iter().enumerate(), late), Some(0));
    // A connection that was just accepted had no time to send a request, so it ranks by its age like those that did.
    let young = [s(false, 0, late - 1), s(true, 0, 9), s(true, 0, 8)];
    assert_eq!(victim(young.into_iter().enumerate(), late), Some(2));
    assert_eq!(victim(young[..1].iter().copied().enumerate(), late), Some(0));
    assert_eq!(victim(young.into_iter().enumerate(), 2 * late), Some(0));
}

#[test]
fn inactive_connections_expire_and_an_open_request_keeps_its_connection() {
    let s = |requested, open_count, last_active| ConnectionActivity {
        has_requested: requested,
        is_verified: false,
        open_requests: open_count,
        active_at: last_active,
    };
    assert!(is_expired(&s(false, 0, 0), 0, None, FIRST_REQUEST_TIMEOUT));
    assert!(is_expired(&s(true, 1, 0), 0, Some(0), FIRST_REQUEST_TIMEOUT));
    assert!(is_expired(&s(true, 0, 0), 0, None, IDLE_TIMEOUT));
    assert!(!is_expired(&s(true, 1, 0), 0, None, 10 * IDLE_TIMEOUT));
    assert!(!is_expired(&s(true, 0, IDLE_TIMEOUT), 0, None, IDLE_TIMEOUT + 1));
}
