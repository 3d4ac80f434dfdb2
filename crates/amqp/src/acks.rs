//! Deliveries of one channel that are not acknowledged yet, and the fewest acknowledgements that settle those which may be
//! (AMQP 0-9-1, `basic.ack` with `multiple`: all up to and including the tag).

use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

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
    pub fn acknowledge(&mut self, tag: u64) {
        if let Some(settled) = self.open.get_mut(&tag) {
            self.waiting += usize::from(!std::mem::replace(settled, true));
        }
    }

    /// The tag was settled otherwise: rejected.
    pub fn remove(&mut self, tag: u64) {
        self.waiting -= usize::from(self.open.remove(&tag) == Some(true));
    }

    /// Tags that are neither settled nor removed.
    pub fn outstanding(&self) -> usize {
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
