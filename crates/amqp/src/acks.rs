//! Tracks the unacknowledged deliveries of one channel and computes the smallest set of acknowledgements for those that
//! are ready to be acknowledged. In AMQP 0-9-1, `basic.ack` with `multiple` covers all tags up to and including its tag.

use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Unacknowledged delivery tags of one channel.
#[derive(Clone, Debug, Default)]
pub struct Acks {
    /// Unacknowledged tags; true if the tag is ready to be acknowledged.
    open: BTreeMap<u64, bool>,
    waiting: usize,
}

impl Acks {
    /// Records a delivery with this tag.
    pub fn delivered(&mut self, tag: u64) {
        self.open.insert(tag, false);
    }

    /// Marks a tag as ready to be acknowledged.
    pub fn acknowledge(&mut self, tag: u64) {
        if let Some(ready) = self.open.get_mut(&tag) {
            self.waiting += usize::from(!std::mem::replace(ready, true));
        }
    }

    /// Removes a tag that was rejected instead of acknowledged.
    pub fn remove(&mut self, tag: u64) {
        self.waiting -= usize::from(self.open.remove(&tag) == Some(true));
    }

    /// Returns the number of tags that are neither acknowledged nor removed.
    pub fn outstanding(&self) -> usize {
        self.open.len() - self.waiting
    }

    /// Returns the number of tags that wait for [`Acks::take`].
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the acknowledgements to send now: tags, each with its `multiple` flag, which also covers all lower
    /// unacknowledged tags. An acknowledgement with `multiple` never covers a tag that is not ready.
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
            self.open.retain(|_, ready| !*ready);
        }
        self.waiting = 0;
        out
    }
}
