//! What is given up, withdrawn or lost, and what the end of the connection means for each that was open.

use super::{End, Line, Open, Poison, Tag, What};
use bytes::BytesMut;
use stagehoist::{Micros, Outcome};
use stagehoist_gateway::state::{AttemptResult, News};

impl Line {
    /// Gives up a request. Nothing is written where none of it was; the line counts as silent where nothing came since it
    /// was written `patience` ago or longer.
    pub fn stop(&mut self, id: u64, text: &str, now: Micros, patience: Micros) {
        let tag = Tag::Call(id);
        let Some(open) = self.open.remove(&tag) else { return };
        self.attempts -= 1;
        match open.begun {
            None => self.queue.retain(|item| item.tag != Some(tag)),
            Some(at) => {
                self.silent |= self.read <= at && now - at >= patience;
                self.push(None, format!("STOP {text}\r\n").into_bytes(), now);
            }
        }
    }

    /// Withdraws what was not begun to be written, as the executor takes nothing new.
    pub fn withdraw(&mut self, now: Micros, news: &mut Vec<News>) {
        let unbegun = |o: &Open| o.begun.is_none() && !matches!(o.what, What::Probe { .. });
        let tags: Vec<Tag> = self.open.iter().filter(|(_, o)| unbegun(o)).map(|(t, _)| *t).collect();
        for tag in tags {
            self.queue.retain(|item| item.tag != Some(tag));
            self.finish(tag, Outcome::ConnectFailed, now, news);
        }
    }

    fn finish(&mut self, tag: Tag, outcome: Outcome, at: Micros, news: &mut Vec<News>) {
        self.answered(tag, AttemptResult { read: at, ..AttemptResult::bare(outcome) }, 0, news);
    }

    /// The connection ended: each that was open ends, by what is known of it.
    pub fn end(&mut self, how: End, now: Micros, news: &mut Vec<News>) {
        let mut tags: Vec<(Tag, bool)> = self.open.iter().map(|(t, o)| (*t, o.begun.is_some())).collect();
        tags.sort_by_key(|(tag, _)| match tag {
            Tag::Call(id) | Tag::Own(id) => *id,
        });
        for (tag, begun) in tags {
            let outcome = match how {
                _ if !begun => Outcome::ConnectFailed,
                End::NotUp => Outcome::ConnectFailed,
                End::Broken => Outcome::Reset,
                End::Poisoned => Outcome::Error,
            };
            self.finish(tag, outcome, now, news);
        }
        self.queue.clear();
        self.buffer = BytesMut::new();
    }

    /// Ends probes and orders that were never answered, and tells whether an answer stopped short on the way.
    pub fn expire(
        &mut self,
        now: Micros,
        patience: Micros,
        order: Micros,
        news: &mut Vec<News>,
    ) -> Result<(), Poison> {
        if !self.buffer.is_empty() && now - self.read >= patience {
            return Err(Poison::Short);
        }
        let over = |o: &Open| match o.what {
            What::Attempt { .. } => false,
            What::Probe { sent, .. } => now - sent >= patience,
            What::Load { sent, .. } => now - sent >= order,
        };
        // An order that counts as lost must not arrive after all: what may still lie on its way goes with the connection.
        let lies = |o: &Open| matches!(o.what, What::Load { sent, .. } if over(o) && self.read <= sent);
        if self.open.values().any(lies) {
            return Err(Poison::Silent);
        }
        let tags: Vec<Tag> = self.open.iter().filter(|(_, o)| over(o)).map(|(t, _)| *t).collect();
        for tag in tags {
            self.queue.retain(|item| item.tag != Some(tag) || item.done > 0);
            self.finish(tag, Outcome::Timeout, now, news);
        }
        Ok(())
    }
}
