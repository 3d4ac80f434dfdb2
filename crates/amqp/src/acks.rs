//! Deliveries of one channel that are not acknowledged yet, and the fewest acknowledgements that settle those which may be
//! (AMQP 0-9-1, `basic.ack` with `multiple`: all up to and including the tag).

use std::collections::BTreeMap;

/// Tags of one channel.
#[derive(Clone, Debug, Default)]
pub struct Acks {
    /// Whether each open tag waits to be acknowledged.
    open: BTreeMap<u64, bool>,
    waiting: usize,
}

impl Acks {
    /// A message came with this tag.
    pub fn delivered(&mut self, tag: u64) {
        self.open.insert(tag, false);
    }

    /// The tag may be acknowledged.
    pub fn settle(&mut self, tag: u64) {
        if let Some(settled) = self.open.get_mut(&tag) {
            self.waiting += usize::from(!std::mem::replace(settled, true));
        }
    }

    /// The tag was settled otherwise: rejected.
    pub fn remove(&mut self, tag: u64) {
        self.waiting -= usize::from(self.open.remove(&tag) == Some(true));
    }

    /// Tags that are neither settled nor removed.
    pub fn unsettled(&self) -> usize {
        self.open.len() - self.waiting
    }

    /// Tags that wait for [`Acks::take`].
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// What to send now: tags, and whether each stands for all open ones below it too. An acknowledgement with `multiple`
    /// never covers a tag that was not settled.
    pub fn take(&mut self) -> Vec<(u64, bool)> {
        let mut out: Vec<(u64, bool)> = Vec::new();
        if self.waiting == 0 {
            return out;
        }
        let front = self.open.iter().take_while(|t| *t.1).map(|t| *t.0);
        let (count, last) = front.fold((0, 0), |(n, _), tag| (n + 1, tag));
        if count > 0 {
            out.push((last, count > 1));
            self.open = self.open.split_off(&(last + 1));
        }
        if self.waiting > count {
            out.extend(self.open.iter().filter(|t| *t.1).map(|t| (*t.0, false)));
            self.open.retain(|_, settled| !*settled);
        }
        self.waiting = 0;
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    #[test]
    fn a_run_at_the_front_goes_in_one_and_what_is_behind_a_gap_alone() {
        let mut acks = Acks::default();
        (1..=6).for_each(|t| acks.delivered(t));
        [2, 1, 3, 5].iter().for_each(|t| acks.settle(*t));
        assert_eq!(acks.take(), [(3, true), (5, false)]);
        assert_eq!(acks.take(), []);
        acks.remove(4);
        acks.settle(6);
        assert_eq!((acks.waiting(), acks.take()), (1, vec![(6, false)]));
        // A tag of another channel, or settled twice, changes nothing.
        acks.settle(99);
        assert_eq!(acks.take(), []);
    }

    proptest! {
        /// Against a broker's own reading of `multiple`: exactly the settled tags are acknowledged, each once.
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
                            acks.settle(tag);
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
                                prop_assert!(settled.remove(&t), "{t} was not settled");
                                at_broker.remove(&t);
                            }
                        }
                        prop_assert!(settled.is_empty());
                    }
                }
            }
        }
    }
}
