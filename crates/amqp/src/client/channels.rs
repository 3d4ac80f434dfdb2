//! Channels: methods, publishes and their confirms, and flow control by the broker.

use super::*;

impl Client {
    pub(super) fn is_unconfirmed(&self, channel: u16, seq: u64) -> bool {
        self.channels.get(&channel).is_some_and(|c| c.unconfirmed.contains(&seq))
    }

    /// Returns whether a publish certainly did not reach the broker completely: its last byte was never written to the
    /// socket, so the broker can't have routed it.
    pub fn is_certainly_unsent(&self, channel: u16, seq: u64) -> bool {
        let end = self.publish_ends.iter().find(|e| (e.1, e.2) == (channel, seq)).map(|e| e.0);
        let paused =
            self.channels.get(&channel).is_some_and(|c| c.paused.iter().any(|(number, _)| *number == seq));
        paused || self.never_sent.contains(&(channel, seq)) || end.is_some_and(|end| end > self.written)
    }

    pub(super) fn take_method(&mut self, channel: u16, method: AMQPClass) -> Result<(), Fault> {
        match method {
            AMQPClass::Basic(basic::AMQPMethod::Ack(ack)) => {
                self.confirm(channel, ack.delivery_tag, ack.multiple, true);
            }
            AMQPClass::Basic(basic::AMQPMethod::Nack(nack)) => {
                self.confirm(channel, nack.delivery_tag, nack.multiple, false);
            }
            AMQPClass::Channel(channel::AMQPMethod::Flow(flow)) => {
                let ok = channel::FlowOk { active: flow.active };
                self.method(channel, AMQPClass::Channel(channel::AMQPMethod::FlowOk(ok)));
                if let Some(state) = self.channels.get_mut(&channel) {
                    state.stopped = !flow.active;
                }
                self.resume(channel);
            }
            AMQPClass::Channel(channel::AMQPMethod::Close(close)) => {
                let ok = channel::CloseOk {};
                self.method(channel, AMQPClass::Channel(channel::AMQPMethod::CloseOk(ok)));
                if let Some(state) = self.channels.remove(&channel) {
                    self.never_sent.extend(state.paused.into_iter().map(|(seq, _)| (channel, seq)));
                }
                let text = close.reply_text.as_str().to_string();
                self.events.push_back(ClientEvent::ChannelClosed { channel, code: close.reply_code, text });
            }
            AMQPClass::Channel(channel::AMQPMethod::CloseOk(_)) => {
                self.channels.remove(&channel);
            }
            other => self.events.push_back(ClientEvent::Method(channel, other)),
        }
        Ok(())
    }

    fn confirm(&mut self, channel: u16, tag: u64, multiple: bool, ok: bool) {
        let Some(state) = self.channels.get_mut(&channel) else { return };
        let settled: Vec<u64> = if multiple {
            // Tag 0 with `multiple` confirms all outstanding publishes.
            let rest = if tag == 0 { BTreeSet::new() } else { state.unconfirmed.split_off(&(tag + 1)) };
            std::mem::replace(&mut state.unconfirmed, rest).into_iter().collect()
        } else {
            state.unconfirmed.take(&tag).into_iter().collect()
        };
        for seq in settled {
            self.events.push_back(ClientEvent::Confirmed { channel, seq, ok });
        }
    }

    pub(super) fn set_blocked(&mut self, blocked: bool) {
        self.blocked = blocked;
        self.events.push_back(ClientEvent::Blocked(blocked));
        let channels: Vec<u16> = self.channels.keys().copied().collect();
        channels.into_iter().for_each(|c| self.resume(c));
    }

    fn resume(&mut self, channel: u16) {
        let blocked = self.blocked;
        let Some(state) = self.channels.get_mut(&channel) else { return };
        if state.stopped || blocked {
            return;
        }
        for (seq, bytes) in std::mem::take(&mut state.paused) {
            self.put(|out| out.extend_from_slice(&bytes));
            self.publish_ends.push_back((self.queued, channel, seq));
        }
    }

    /// Opens the lowest free channel; `channel.open-ok` is reported as [`ClientEvent::Method`]. Returns `None` if all
    /// channels are in use or the connection is not open.
    pub fn open_channel(&mut self) -> Option<u16> {
        if self.state != State::Open {
            return None;
        }
        let number = (1..=self.channel_max).find(|c| !self.channels.contains_key(c))?;
        self.channels.insert(number, ChannelState::default());
        // The publish numbers of a new channel restart at 1.
        self.never_sent.retain(|p| p.0 != number);
        self.publish_ends.retain(|e| e.1 != number);
        self.method(number, AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {})));
        Some(number)
    }

    /// Sends a method without content on an open channel.
    pub fn send(&mut self, channel: u16, method: AMQPClass) {
        if self.state != State::Open {
            return;
        }
        if let (AMQPClass::Confirm(confirm::AMQPMethod::Select(_)), Some(state)) =
            (&method, self.channels.get_mut(&channel))
        {
            state.confirming = true;
        }
        self.method(channel, method);
    }

    /// Publishes a message. Returns its number on the channel, which its confirm carries if the channel is in confirm
    /// mode, or `None` if the channel is not open. The message is queued while the broker has stopped the flow.
    pub fn publish(
        &mut self,
        channel: u16,
        publish: basic::Publish,
        properties: &BasicProperties,
        body: &Bytes,
    ) -> Option<u64> {
        if self.state != State::Open {
            return None;
        }
        let (blocked, frame_max) = (self.blocked, self.frame_max);
        let state = self.channels.get_mut(&channel)?;
        state.published += 1;
        let seq = state.published;
        if state.confirming {
            state.unconfirmed.insert(seq);
        }
        let mut bytes = BytesMut::new();
        put_method(&mut bytes, channel, AMQPClass::Basic(basic::AMQPMethod::Publish(publish)));
        put_content(&mut bytes, channel, properties, body, frame_max);
        if blocked || state.stopped {
            state.paused.push_back((seq, bytes));
            return Some(seq);
        }
        let confirming = state.confirming;
        self.put(|out| out.extend_from_slice(&bytes));
        if confirming {
            self.publish_ends.push_back((self.queued, channel, seq));
        }
        Some(seq)
    }

    /// Returns whether messages are queued on a channel because the broker has stopped the flow.
    pub fn is_held_back(&self, channel: u16) -> bool {
        self.channels.get(&channel).is_some_and(|c| !c.paused.is_empty())
    }
}
