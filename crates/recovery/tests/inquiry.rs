//! Inquiries about messages: limits, missing answers, and what a delivery cache may promise.

use stagehoist::Effect;
use stagehoist_recovery::inquiry::{Inquiries, InquiryLimits, Outcome};
use stagehoist_recovery::{AttemptKnowledge, DeliveryCache, Key, Verdict};

#[test]
fn missing_answers_unknown_answers_and_no_members_fail() {
    let limits = InquiryLimits { max_open: 2, max_wait: 100, share: 0.5 };
    let mut i = Inquiries::new(limits);
    assert_eq!(i.start(1, 7, [1, 2], 1000, 0), Ok(()));
    assert_eq!(i.start(2, 8, [1, 2], 100, 0), Ok(()));
    assert!(i.start(3, 9, [1], 1000, 0).is_err(), "full");
    assert_eq!(i.on_answer(1, &1, AttemptKnowledge::None), None);
    assert_eq!(i.on_answer(1, &1, AttemptKnowledge::None), None, "a repeated answer counts once");
    assert_eq!(i.awaiting(&2).count(), 2);
    assert_eq!(i.on_answer(2, &2, AttemptKnowledge::NotKnown), Some(Outcome::Fail));
    assert_eq!((i.next_deadline(), i.take_expired(99), i.take_expired(100)), (Some(100), vec![], vec![1]));
    assert_eq!(i.on_answer(1, &2, AttemptKnowledge::None), None, "the inquiry has expired");
    assert!(i.start(4, 9, [0; 0], 1000, 0).is_err(), "no member to ask");
    assert!(i.start(4, 9, [1], 0, 0).is_err(), "no time left");
    assert!(i.is_empty());
}

#[test]
fn a_cache_that_evicted_a_running_message_starts_no_inquiry_and_promises_nothing() {
    let mut m: DeliveryCache<()> = DeliveryCache::new(2, 1000, false);
    m.enable_inquiries(true);
    let other = |n: u32| Key::new("replies", &n.to_string(), "").unwrap();
    assert_eq!(m.on_delivery(Some(&other(0)), true, Effect::NonIdempotent, 1, 0), Verdict::Inquire);
    for n in 1..4 {
        m.on_delivery(Some(&other(n)), false, Effect::NonIdempotent, 9, 1);
    }
    assert_eq!(m.on_delivery(Some(&other(0)), true, Effect::NonIdempotent, 2, 2), Verdict::Fail);
    assert_eq!(m.answer_inquiry(&other(0), AttemptKnowledge::None, 2), AttemptKnowledge::NotKnown);
    assert_eq!(m.on_delivery(Some(&other(0)), true, Effect::Idempotent, 2, 2), Verdict::Run);
}

#[test]
fn identities_are_stable_and_distinguish_fields() {
    let key = Key::new("replies", "c1", "m1").unwrap();
    let others =
        [Key::new("replies", "c1m", "1"), Key::new("repliesc", "1", "m1"), Key::new("replies", "c1", "")];
    assert!(others.iter().flatten().all(|k| k.identity() != key.identity()));
    assert_eq!(format!("{:032x}", key.identity()), "2287a40dd9a3593833f67b1ea6053653");
}
