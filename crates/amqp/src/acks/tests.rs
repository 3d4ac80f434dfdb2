//! Tests of [`Acks`].

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

#[test]
fn consecutive_lowest_tags_share_one_ack_and_tags_after_a_gap_are_acked_one_by_one() {
    let mut acks = Acks::default();
    (1..=6).for_each(|t| acks.delivered(t));
    [2, 1, 3, 5].iter().for_each(|t| acks.acknowledge(*t));
    assert_eq!(acks.take(), [(3, true), (5, false)]);
    assert_eq!(acks.take(), []);
    acks.remove(4);
    acks.acknowledge(6);
    assert_eq!((acks.waiting(), acks.take()), (1, vec![(6, false)]));
    // A tag of another channel, or one acknowledged twice, is ignored.
    acks.acknowledge(99);
    assert_eq!(acks.take(), []);
}

proptest! {
    /// Compares with a model of how a broker interprets `multiple`: exactly the settled tags are acknowledged, each once.
    #[test]
    fn a_broker_sees_each_settled_tag_once_and_no_other(ops in prop::collection::vec((0u8..4, 0u64..40), 1..200)) {
        let mut acks = Acks::default();
        let (mut next, mut at_broker, mut settled) = (1, BTreeSet::new(), BTreeSet::new());
        for (op, pick) in ops {
            match op {
                0 => {
                    acks.delivered(next);
                    at_broker.insert(next);
                    next += 1;
                }
                1 | 2 => {
                    let Some(&tag) = at_broker.iter().nth(pick as usize % at_broker.len().max(1)) else { continue };
                    if op == 1 {
                        acks.acknowledge(tag);
                        settled.insert(tag);
                    } else if !settled.contains(&tag) {
                        acks.remove(tag);
                        at_broker.remove(&tag);
                    }
                }
                _ => {
                    for (tag, multiple) in acks.take() {
                        let covered: Vec<u64> =
                            at_broker.iter().copied().filter(|t| *t == tag || multiple && *t < tag).collect();
                        prop_assert!(covered.contains(&tag));
                        for t in covered {
                            prop_assert!(settled.remove(&t), "tag {t} is acknowledged but was not settled");
                            at_broker.remove(&t);
                        }
                    }
                    prop_assert!(settled.is_empty());
                }
            }
        }
    }
}
