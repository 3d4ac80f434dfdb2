//! The AMQP state machine of one front end, without I/O. Deliveries become calls and answers become replies. A
//! delivery is acknowledged only once its reply is confirmed or can't be delivered at all. State survives a lost
//! connection: calls in progress continue, and when their messages are redelivered they are answered from the cached
//! answers.

mod consuming;
mod counters;
mod deliveries;
mod drain;
mod inquiries;
mod queues;
mod replies;
mod start;

pub use counters::FrontCounters;
pub use inquiries::Question;

use super::message::{reply, stamp, with_home, InvalidMessage, Reader};
use crate::shards::Places;
use crate::state::{Answer, Arrival, FunctionProperties, Ticket};
use queues::Queue;
use stagehoist::{Effect, Micros};
use stagehoist_admission::{Advice, Bounds, Held, Intake, QueueAge, Window};
use stagehoist_amqp::{basic, channel, confirm, queue, short, tx};
use stagehoist_amqp::{AMQPClass, Acks, BasicProperties, Client, ClientEvent, ClientOptions, Message};
use stagehoist_config::{Broker, Config, Consume};
use stagehoist_recovery::{Backoff, DeliveryCache, Key, ReplyState, Verdict};
use stagehoist_sharding::Shard;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// Maximum number of times that a reply is published again after the broker rejected it with `basic.nack`.
const MAX_NACKS_PER_REPLY: u32 = 3;
/// Prefix of the consumer tags of this front.
const CONSUMER_TAG_PREFIX: &str = "stagehoist-";
/// Interval at which the depth of a queue is requested while the queue has not been seen empty.
const DEPTH_REQUEST_INTERVAL: Micros = 250_000;

struct Delivery {
    /// Identifies the connection and channel of the delivery; the delivery tag is valid only there.
    generation: u64,
    tag: u64,
    reply_to: Rc<str>,
    correlation: Rc<str>,
    key: Option<Key>,
    answer: Option<Answer>,
    /// Sequence number of its reply on the channel, and when the reply was published.
    published: Option<(u64, Micros)>,
    nacks: u32,
    /// The capacity that the call holds at intake.
    held: Option<Held>,
    /// Generation and shard that it should have been sent to, if it is refused because it belongs to another shard.
    home: Option<(u32, Shard)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// There is no connection.
    Disconnected,
    Opening,
    /// The channel is to be opened (again) at this time.
    Waiting(Micros),
    /// The channel is open; consuming starts once the first endpoint list is received.
    Awaiting,
    Setup,
    Ready,
}

/// The state of one front.
pub struct Front {
    config: Rc<Config>,
    reader: Reader,
    memory: DeliveryCache<Answer>,
    /// Set if attempts are recorded on disk.
    inquiries: Option<inquiries::PendingInquiries>,
    backoff: Backoff,
    client: Option<Client>,
    phase: Phase,
    channel: u16,
    generation: u64,
    /// The channel is open.
    is_open: bool,
    queues: Vec<Queue>,
    /// Queues whose consumer the broker has confirmed.
    consuming: BTreeSet<usize>,
    /// Queues whose consumer the broker cancelled, and when to consume them again.
    retry_at: BTreeMap<usize, Micros>,
    deliveries: HashMap<Ticket, Delivery>,
    replies: BTreeMap<u64, Ticket>,
    /// With transactions: the replies of the open transaction, and whether it contains anything.
    transaction: (Vec<Ticket>, bool),
    committing: VecDeque<(Micros, Vec<Ticket>)>,
    next_ticket: Ticket,
    arrivals: Vec<Arrival>,
    draining: bool,
    /// Deadline of the wait for the first endpoint list; `None` if there is no wait, or it has ended.
    endpoints_deadline: Option<Micros>,
    /// Queues whose consumer is being cancelled, once for each `basic.cancel` that the broker has not answered:
    /// deliveries of such a consumer may still arrive.
    cancelling: Vec<usize>,
    /// Deliveries of the current channel. Their acknowledgements are sent together, with the next replies.
    acks: Acks,
    /// Prefetch window of the current channel, if a queue is consumed without a configured prefetch.
    window: Option<Window>,
    ages: Vec<QueueAge>,
    depth_requested_at: Micros,
    /// When this process was last stopped. Applies to a queue until the broker answers a depth request for it.
    stopped_from: Micros,
    intake: Intake,
    advice: Advice,
    /// `None` if the fleet isn't divided.
    places: Option<Places>,
    pub counters: FrontCounters,
}

impl Front {
    /// Creates a front without a connection. `seed` randomizes its reconnect pauses and its retry advice.
    pub fn new(config: Rc<Config>, seed: u64, now: Micros) -> Front {
        let (most, retention) = config.answer_memory;
        let places = Places::new(&config);
        let queues = queues::at_start(&config);
        let bounds = Bounds { calls: config.max_held_calls, bytes: config.max_held_bytes };
        Front {
            reader: Reader::new(config.clone()),
            acks: Acks::default(),
            window: None,
            ages: vec![QueueAge::default(); queues.len()],
            depth_requested_at: 0,
            stopped_from: 0,
            intake: Intake::new(bounds),
            advice: Advice::new(config.max_retry_after, seed, now),
            memory: DeliveryCache::new(most as usize, retention, config.resend_doubtful),
            inquiries: None,
            backoff: Backoff::new(config.reconnect.0, config.reconnect.1, seed),
            config,
            client: None,
            phase: Phase::Disconnected,
            channel: 0,
            generation: 0,
            is_open: false,
            queues,
            consuming: BTreeSet::new(),
            retry_at: BTreeMap::new(),
            deliveries: HashMap::new(),
            replies: BTreeMap::new(),
            transaction: (Vec::new(), false),
            committing: VecDeque::new(),
            next_ticket: 1,
            arrivals: Vec::new(),
            draining: false,
            endpoints_deadline: None,
            cancelling: Vec::new(),
            places,
            counters: FrontCounters::default(),
        }
    }

    /// A socket to a broker is connected.
    pub fn on_connected(&mut self, broker: &Broker, now: Micros) {
        let options = ClientOptions {
            user: broker.user.clone(),
            password: broker.password.clone(),
            vhost: broker.vhost.clone(),
            heartbeat: (self.config.heartbeat / 1_000_000).clamp(0, 65_535) as u16,
            body_limit: self.config.max_body_size as usize,
            ..ClientOptions::default()
        };
        self.client = Some(Client::new(options, now));
        self.phase = Phase::Opening;
    }

    /// Returns whether messages are being consumed.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns the pause before the next connection attempt.
    pub fn pause(&mut self) -> Micros {
        self.backoff.next_pause()
    }

    /// Returns the connection, if there is one.
    pub fn client(&mut self) -> Option<&mut Client> {
        self.client.as_mut()
    }

    /// Returns whether the connection has ended, apart from output that is still to be written.
    pub fn is_over(&self) -> bool {
        self.client.as_ref().is_none_or(Client::is_over)
    }

    /// Returns the calls received since the last call of this function.
    pub fn take_arrivals(&mut self) -> Vec<Arrival> {
        std::mem::take(&mut self.arrivals)
    }

    /// Returns the number of deliveries of the current channel that are not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.deliveries.values().filter(|d| d.generation == self.generation).count()
    }

    /// Returns the number of calls in progress, including those from lost connections.
    pub fn calls_in_progress(&self) -> usize {
        self.deliveries.values().filter(|d| d.answer.is_none()).count()
    }

    /// Returns when [`Front::tick`] is to be called next.
    pub fn due(&self) -> Option<Micros> {
        let client = self.client.as_ref().and_then(Client::due);
        let channel_retry = match self.phase {
            Phase::Waiting(at) => Some(at),
            _ => None,
        };
        let next_consume = self.retry_at.values().min().copied();
        let confirm = self.confirm_due();
        let is_unsure = |i: usize| {
            self.ages[i].needs_depth(self.depth_requested_at + DEPTH_REQUEST_INTERVAL, DEPTH_REQUEST_INTERVAL)
        };
        let next_depth_request = self.phase == Phase::Ready && self.consumed().any(is_unsure);
        let next_depth_request =
            next_depth_request.then_some(self.depth_requested_at + DEPTH_REQUEST_INTERVAL);
        let inquiry = self.inquiries.as_ref().and_then(inquiries::PendingInquiries::due);
        [client, channel_retry, next_consume, confirm, next_depth_request, inquiry, self.endpoints_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// The connection is lost.
    pub fn on_disconnected(&mut self, _now: Micros) {
        if self.client.is_none() {
            return;
        }
        self.counters.connections_lost += 1;
        self.abandon_channel();
        self.client = None;
        self.phase = Phase::Disconnected;
    }
}
