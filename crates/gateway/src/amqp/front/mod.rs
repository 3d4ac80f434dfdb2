//! One front end's side of its broker, without I/O: deliveries become calls, answers become replies, and a delivery is
//! acknowledged only once its reply is confirmed or known to be impossible. What a lost connection leaves behind is kept:
//! calls in progress go on, and their messages are answered from memory when they are delivered again.

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

use super::message::{reply, stamp, with_home, Reader, Unusable};
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

/// Times that a reply is published again after the broker said it can't take it (`basic.nack`).
const MAX_NACKS: u32 = 3;
/// Begins the tags of this front's consumers.
const TAG: &str = "stagehoist-";
/// How often the depth of a queue is asked for while it was not seen empty.
const CHECK_INTERVAL: Micros = 250_000;

struct Delivery {
    /// Which connection and channel it came on; its tag means something there only.
    generation: u64,
    tag: u64,
    reply_to: Rc<str>,
    correlation: Rc<str>,
    key: Option<Key>,
    answer: Option<Answer>,
    /// Number of its reply on the channel, and when it was published.
    published: Option<(u64, Micros)>,
    nacks: u32,
    /// Its room among the held calls.
    held: Option<Held>,
    /// Generation and shard that it should have been sent to, where it is refused for that.
    home: Option<(u32, Shard)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No connection.
    Disconnected,
    Opening,
    /// The channel is to be opened (again) at this time.
    Waiting(Micros),
    /// The channel stands; consumes once the first endpoint list came.
    Awaiting,
    Setup,
    Ready,
}

/// The state of one front.
pub struct Front {
    config: Rc<Config>,
    reader: Reader,
    memory: DeliveryCache<Answer>,
    /// Where attempts are recorded on disk.
    inquiries: Option<inquiries::PendingInquiries>,
    backoff: Backoff,
    client: Option<Client>,
    phase: Phase,
    channel: u16,
    generation: u64,
    /// Its channel stands.
    is_open: bool,
    queues: Vec<Queue>,
    /// Queues whose consumer the broker has said to stand.
    consuming: BTreeSet<usize>,
    /// Queues whose consumer the broker cancelled, and when to consume again.
    retry_at: BTreeMap<usize, Micros>,
    deliveries: HashMap<Ticket, Delivery>,
    replies: BTreeMap<u64, Ticket>,
    /// In transactions: replies of the one that is open, whether it holds anything, and those being committed.
    open: (Vec<Ticket>, bool),
    committing: VecDeque<(Micros, Vec<Ticket>)>,
    next_ticket: Ticket,
    arrivals: Vec<Arrival>,
    draining: bool,
    /// Until when the first endpoint list is awaited; None: no more, or not at all.
    list_by: Option<Micros>,
    /// Queues whose consumer was ordered to stop and has not said so, as often as it was reported: deliveries of it may be on
    /// their way.
    stopping: Vec<usize>,
    /// Deliveries of the present channel; their acknowledgements go out together, with the next replies.
    acks: Acks,
    /// Of the present channel, where a queue is consumed without a told prefetch.
    window: Option<Window>,
    ages: Vec<QueueAge>,
    depth_requested_at: Micros,
    /// This process did not run from then on; ends for a queue once the broker answered a question about it.
    blind_from: Micros,
    intake: Intake,
    advice: Advice,
    /// None: the fleet isn't divided.
    places: Option<Places>,
    pub counters: FrontCounters,
}

impl Front {
    /// A front without a connection. `seed` spreads its reconnects and its advice.
    pub fn new(config: Rc<Config>, seed: u64, now: Micros) -> Front {
        let (most, keep) = config.answer_memory;
        let places = Places::new(&config);
        let queues = queues::at_start(&config);
        let bounds = Bounds { calls: config.held_most, bytes: config.held_bytes_most };
        Front {
            reader: Reader::new(config.clone()),
            acks: Acks::default(),
            window: None,
            ages: vec![QueueAge::default(); queues.len()],
            depth_requested_at: 0,
            blind_from: 0,
            intake: Intake::new(bounds),
            advice: Advice::new(config.retry_after_most, seed, now),
            memory: DeliveryCache::new(most as usize, keep, config.resend_doubtful),
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
            open: (Vec::new(), false),
            committing: VecDeque::new(),
            next_ticket: 1,
            arrivals: Vec::new(),
            draining: false,
            list_by: None,
            stopping: Vec::new(),
            places,
            counters: FrontCounters::default(),
        }
    }

    /// A socket to a broker stands.
    pub fn connected(&mut self, broker: &Broker, now: Micros) {
        let options = ClientOptions {
            user: broker.user.clone(),
            password: broker.password.clone(),
            vhost: broker.vhost.clone(),
            heartbeat: (self.config.heartbeat / 1_000_000).clamp(0, 65_535) as u16,
            body_limit: self.config.body_most as usize,
            ..ClientOptions::default()
        };
        self.client = Some(Client::new(options, now));
        self.phase = Phase::Opening;
    }

    /// Whether messages are being consumed.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// The pause before the next attempt to connect.
    pub fn pause(&mut self) -> Micros {
        self.backoff.next_pause()
    }

    /// The connection, while there is one.
    pub fn client(&mut self) -> Option<&mut Client> {
        self.client.as_mut()
    }

    /// Whether the connection is over and its output only waits to be written.
    pub fn is_over(&self) -> bool {
        self.client.as_ref().is_none_or(Client::is_over)
    }

    /// Calls that came since last asked.
    pub fn take_arrivals(&mut self) -> Vec<Arrival> {
        std::mem::take(&mut self.arrivals)
    }

    /// Deliveries of the present connection that are not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.deliveries.values().filter(|d| d.generation == self.generation).count()
    }

    /// Calls in progress, of lost connections too.
    pub fn at_work(&self) -> usize {
        self.deliveries.values().filter(|d| d.answer.is_none()).count()
    }

    /// When [`Front::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        let client = self.client.as_ref().and_then(Client::due);
        let waiting = match self.phase {
            Phase::Waiting(at) => Some(at),
            _ => None,
        };
        let again = self.retry_at.values().min().copied();
        let confirm = self.confirm_due();
        let unsure =
            |i: usize| self.ages[i].needs_depth(self.depth_requested_at + CHECK_INTERVAL, CHECK_INTERVAL);
        let look = self.phase == Phase::Ready && self.consumed().any(unsure);
        let look = look.then_some(self.depth_requested_at + CHECK_INTERVAL);
        let asking = self.inquiries.as_ref().and_then(inquiries::PendingInquiries::due);
        [client, waiting, again, confirm, look, asking, self.endpoints_due()].into_iter().flatten().min()
    }

    /// The connection is gone.
    pub fn lost(&mut self, _now: Micros) {
        if self.client.is_none() {
            return;
        }
        self.counters.connections_lost += 1;
        self.leave_channel();
        self.client = None;
        self.phase = Phase::Disconnected;
    }
}
