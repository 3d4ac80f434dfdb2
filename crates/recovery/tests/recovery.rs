//! Redelivery of messages in every state of their first delivery, and backoff pauses that grow and are spread.

use proptest::prelude::*;
use stagehoist::{DeduplicationScope, Effect};
use stagehoist_recovery::{Backoff, DeliveryCache, Key, ReplyState, Verdict};

const S: i64 = 1_000_000;
const KEYED: Effect = Effect::IdempotentWithKey { scope: DeduplicationScope::All, window: 5 * S };

fn key(n: u32) -> Key {
    Key::new("replies", &format!("c{n}"), "").unwrap()
}

fn cache(resend: bool) -> DeliveryCache<&'static str> {
    DeliveryCache::new(100, 60 * S, resend)
}

#[test]
fn a_known_message_is_joined_answered_or_settled_but_never_run_again() {
    let mut m = cache(false);
    for effect in [Effect::Idempotent, Effect::NonIdempotent, KEYED] {
        let k = key(1);
        assert_eq!(m.on_delivery(Some(&k), false, effect, 7, 0), Verdict::Run);
        assert_eq!(m.on_delivery(Some(&k), true, effect, 8, 1), Verdict::Join(7));
        m.on_answer(&k, 7, "yes", ReplyState::NotSent);
        assert_eq!(m.on_delivery(Some(&k), true, effect, 9, 2), Verdict::Resend("yes"));
        // The answer sent again may have arrived.
        assert_eq!(m.on_delivery(Some(&k), true, effect, 9, 3), Verdict::Settle { doubtful: true });
        m.on_reply_state(&k, ReplyState::NotSent);
        assert_eq!(m.on_delivery(Some(&k), true, effect, 9, 4), Verdict::Resend("yes"));
        m.on_reply_state(&k, ReplyState::Confirmed);
        m.on_reply_state(&k, ReplyState::NotSent);
        assert_eq!(m.on_delivery(Some(&k), true, effect, 9, 5), Verdict::Settle { doubtful: false });
    }
}

#[test]
fn an_unknown_message_that_was_delivered_before_runs_only_if_safe() {
    let mut m = cache(false);
    assert_eq!(m.on_delivery(Some(&key(1)), true, Effect::NonIdempotent, 1, 0), Verdict::Fail);
    assert_eq!(m.on_delivery(Some(&key(2)), true, KEYED, 2, 0), Verdict::Fail);
    assert_eq!(m.on_delivery(Some(&key(3)), true, Effect::Idempotent, 3, 0), Verdict::Run);
    assert_eq!(m.on_delivery(None, true, Effect::NonIdempotent, 4, 0), Verdict::Fail);
    assert_eq!(m.on_delivery(None, false, Effect::NonIdempotent, 5, 0), Verdict::Run);
    assert!(Key::new("replies", "", "").is_none());
}

#[test]
fn a_doubtful_reply_is_resent_only_if_configured() {
    let mut m = cache(true);
    m.on_delivery(Some(&key(1)), false, Effect::NonIdempotent, 1, 0);
    m.on_answer(&key(1), 1, "yes", ReplyState::Doubtful);
    assert_eq!(m.on_delivery(Some(&key(1)), true, Effect::NonIdempotent, 2, 0), Verdict::Resend("yes"));
}

#[test]
fn an_id_used_twice_is_two_messages_and_an_old_answer_does_not_affect_the_new_one() {
    let mut m = cache(false);
    assert_eq!(m.on_delivery(Some(&key(1)), false, Effect::Idempotent, 1, 0), Verdict::Run);
    assert_eq!(m.on_delivery(Some(&key(1)), false, Effect::Idempotent, 2, 5), Verdict::Run);
    m.on_answer(&key(1), 1, "old", ReplyState::Confirmed);
    assert_eq!(m.on_delivery(Some(&key(1)), true, Effect::Idempotent, 3, 6), Verdict::Join(2));
}

#[test]
fn entries_are_evicted_by_age_and_number() {
    let mut m = cache(false);
    for n in 0..1000 {
        m.on_delivery(Some(&key(n)), false, Effect::NonIdempotent, u64::from(n), i64::from(n));
        assert!(m.len() <= 100);
    }
    assert_eq!(m.on_delivery(Some(&key(5)), true, Effect::NonIdempotent, 1, 1000), Verdict::Fail);
    assert_eq!(m.on_delivery(Some(&key(999)), true, Effect::NonIdempotent, 1, 1000), Verdict::Join(999));
    assert_eq!(m.on_delivery(Some(&key(999)), true, Effect::NonIdempotent, 1, 70 * S), Verdict::Fail);
    assert!(m.is_empty());
}

#[test]
fn pauses_double_up_to_the_maximum_and_reset_after_a_connection() {
    let mut b = Backoff::new(100, 1000, 3);
    for max in [100, 200, 400, 800, 1000, 1000] {
        let pause = b.next_pause();
        assert!((max / 2..=max).contains(&pause), "{pause} of {max}");
    }
    b.reset();
    assert!(b.next_pause() <= 100);
}

proptest! {
    /// A thousand clients with different seeds are disconnected at once: no tenth of the pause range gets a quarter of them.
    #[test]
    fn clients_disconnected_together_reconnect_at_different_times(seed in any::<u64>()) {
        let pauses: Vec<i64> =
            (0..1000).map(|i| Backoff::new(S, 8 * S, seed ^ (i * 7919)).next_pause()).collect();
        for tenth in 0..10 {
            let from = S / 2 + tenth * S / 20;
            let inside = pauses.iter().filter(|p| (from..from + S / 20).contains(*p)).count();
            prop_assert!(inside < 250);
        }
    }

    /// In any sequence of deliveries of one message, exactly one runs while the message is in the cache.
    #[test]
    fn one_run_for_each_message(steps in prop::collection::vec(0u8..5, 1..40)) {
        let mut m = cache(true);
        let k = key(1);
        let mut runs = u32::from(m.on_delivery(Some(&k), false, Effect::NonIdempotent, 0, 0) == Verdict::Run);
        for (at, step) in steps.into_iter().enumerate() {
            match step {
                0 | 1 => {
                    let verdict = m.on_delivery(Some(&k), true, Effect::NonIdempotent, 9, at as i64);
                    runs += u32::from(verdict == Verdict::Run);
                }
                2 => m.on_answer(&k, 0, "a", ReplyState::Doubtful),
                3 => m.on_reply_state(&k, ReplyState::NotSent),
                _ => m.on_reply_state(&k, ReplyState::Confirmed),
            }
        }
        prop_assert_eq!(runs, 1);
    }
}
