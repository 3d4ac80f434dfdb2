//! Tests of `bounds`.

use super::*;

#[test]
fn descriptors_are_shared_out_within_the_limit() {
    for sockets in [64, 256, 512, 1024, 4096] {
        let b = Bounds::new(&Limits { cores: 0.5, memory_mb: 64.0, sockets });
        assert!(b.clients as u64 * 3 >= sockets, "clients may hold a third");
        assert!((b.clients + b.executors) as u64 + RESERVE.min(16) <= sockets, "{sockets}: {b:?}");
        assert!((1..500).all(|n| b.each(n) * n <= b.executors.max(n)));
    }
}

#[test]
fn who_never_asked_makes_way_first_and_who_is_at_work_never() {
    let s = |asked, open, active| ConnectionActivity {
        has_requested: asked,
        open_requests: open,
        active_at: active,
    };
    let all = [s(true, 0, 1), s(false, 0, 7), s(false, 0, 5), s(true, 1, 0)];
    let late = 2 * CANCELLATION_TRANSIT;
    assert_eq!(victim(all.iter().copied().enumerate(), late), Some(2));
    assert_eq!(victim([s(true, 0, 9), s(true, 0, 3)].into_iter().enumerate(), late), Some(1));
    assert_eq!(victim([s(true, 1, 1)].into_iter().enumerate(), late), None);
    // Just accepted: it has had no time to ask, and goes by its age as those that did.
    let young = [s(false, 0, late - 1), s(true, 0, 9), s(true, 0, 8)];
    assert_eq!(victim(young.into_iter().enumerate(), late), Some(2));
    assert_eq!(victim(young[..1].iter().copied().enumerate(), late), Some(0));
    assert_eq!(victim(young.into_iter().enumerate(), 2 * late), Some(0));
}

#[test]
fn silence_ends_a_connection_and_a_call_at_work_keeps_it() {
    let s = |asked, open, active| ConnectionActivity {
        has_requested: asked,
        open_requests: open,
        active_at: active,
    };
    assert!(is_over(&s(false, 0, 0), 0, None, FIRST_REQUEST_TIMEOUT));
    assert!(is_over(&s(true, 1, 0), 0, Some(0), FIRST_REQUEST_TIMEOUT));
    assert!(is_over(&s(true, 0, 0), 0, None, IDLE));
    assert!(!is_over(&s(true, 1, 0), 0, None, 10 * IDLE));
    assert!(!is_over(&s(true, 0, IDLE), 0, None, IDLE + 1));
}
