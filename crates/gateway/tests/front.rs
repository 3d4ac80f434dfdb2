//! The AMQP front against the stand-in broker, both without sockets: bytes are carried by the test, which cuts them where it
//! likes.

use bytes::Bytes;
use stagehoist_amqp::{
    basic, header_text, long, queue, short, AMQPClass, BasicProperties, Client, ClientEvent, ClientOptions,
    FieldTable,
};
use stagehoist_config::{parse, Config};
use stagehoist_gateway::amqp::Front;
use stagehoist_gateway::state::{Answer, Arrival, Core, Figures, News};
use stagehoist_membership::Entry;
use stagehoist_standin::broker::{Broker, BrokerOptions, Cut};
use std::rc::Rc;

const CONF: &str = "\
class lookup aim 800ms give-up 2500ms
class record aim 800ms give-up 2500ms effect unsafe
function free-times class lookup memory 64MB
function recurring class record memory 64MB
broker amqp://127.0.0.1:1/
consume calls prefetch 10 declare durable
worker-list file none
body-most 1KB
tenant north quota 10/s
";

struct Caller {
    client: Client,
    number: u64,
    channel: u16,
    answers: Vec<(String, String, String)>,
}

struct World {
    broker: Broker,
    front: Front,
    front_at: Option<u64>,
    caller: Caller,
    now: i64,
}

fn config(more: &str) -> Rc<Config> {
    Rc::new(parse("test.conf", &format!("{CONF}{more}")).unwrap())
}

impl World {
    fn new(more: &str) -> World {
        let mut broker = Broker::new(BrokerOptions::default());
        let number = broker.connect(0);
        let client = Client::new(ClientOptions::default(), 0);
        let caller = Caller { client, number, channel: 0, answers: Vec::new() };
        let mut world = World {
            broker,
            front: Front::new(config(more), 1, 1_000_000),
            front_at: None,
            caller,
            now: 1_000_000,
        };
        world.settle();
        let declare = stagehoist_amqp::declare("replies");
        let consume = basic::Consume { no_ack: true, ..stagehoist_amqp::consume("replies", "r") };
        let channel = world.caller.client.open_channel().unwrap();
        world.caller.channel = channel;
        world.caller.client.send(channel, AMQPClass::Queue(queue::AMQPMethod::Declare(declare)));
        world.caller.client.send(channel, AMQPClass::Basic(basic::AMQPMethod::Consume(consume)));
        world.connect();
        world
    }

    fn connect(&mut self) {
        let config = config("");
        self.front_at = Some(self.broker.connect(self.now));
        self.front.connected(&config.brokers[0], self.now);
        self.settle();
        assert!(self.front.is_ready());
    }

    /// The front's socket breaks with all that is under way.
    fn cut(&mut self) {
        if let Some(number) = self.front_at.take() {
            self.broker.disconnect(number, self.now);
            self.front.lost(self.now);
        }
    }

    /// Carries bytes until nothing moves.
    fn settle(&mut self) {
        for _ in 0..50 {
            self.now += 1000;
            let mut moved = false;
            let out = self.caller.client.output().split();
            if !out.is_empty() {
                moved = true;
                self.caller.client.wrote(out.len(), self.now);
                self.broker.receive(self.caller.number, &out, self.now);
            }
            moved |= self.push_front();
            if let Some(bytes) = self.broker.take_output(self.caller.number).filter(|b| !b.is_empty()) {
                moved = true;
                self.caller.client.receive(&bytes, self.now);
            }
            if let Some(number) = self.front_at {
                if let Some(bytes) = self.broker.take_output(number).filter(|b| !b.is_empty()) {
                    moved = true;
                    self.front.receive(&bytes, self.now, 0);
                }
                if self.broker.is_over(number) {
                    self.cut();
                }
            }
            while let Some(event) = self.caller.client.event() {
                if let ClientEvent::Delivered(_, m) = event {
                    let headers = m.properties.headers().clone().unwrap();
                    let id = m.properties.correlation_id().as_ref().unwrap().as_str().to_string();
                    let text = |key| header_text(&headers, key).unwrap_or_default();
                    self.caller.answers.push((id, text("outcome"), text("reason")));
                }
            }
            if !moved {
                return;
            }
        }
        panic!("bytes go on moving");
    }

    fn push_front(&mut self) -> bool {
        let Some(number) = self.front_at else { return false };
        self.front.flush(self.now);
        let Some(client) = self.front.client() else { return false };
        let out = client.output().split();
        client.wrote(out.len(), self.now);
        self.broker.receive(number, &out, self.now);
        !out.is_empty()
    }

    fn publish(&mut self, id: &str, function: &str, edit: impl FnOnce(BasicProperties) -> BasicProperties) {
        self.publish_body(id, function, b"body", edit);
    }

    fn publish_body(
        &mut self,
        id: &str,
        function: &str,
        body: &'static [u8],
        edit: impl FnOnce(BasicProperties) -> BasicProperties,
    ) {
        let mut headers = FieldTable::default();
        headers.insert(short("function"), long(function));
        let properties = BasicProperties::default()
            .with_headers(headers)
            .with_correlation_id(short(id))
            .with_reply_to(short("replies"));
        let publish = basic::Publish {
            exchange: short(""),
            routing_key: short("calls"),
            mandatory: false,
            immediate: false,
        };
        let channel = self.caller.channel;
        self.caller.client.publish(channel, publish, &edit(properties), &Bytes::from_static(body));
        self.settle();
    }

    fn arrivals(&mut self) -> Vec<Arrival> {
        self.front.take_arrivals()
    }

    fn serve(&mut self, arrival: &Arrival) {
        let answer = Answer::Served { body: Bytes::from_static(b"yes"), content_type: None };
        self.front.answer(arrival.ticket, answer, self.now);
    }

    fn outcomes(&self) -> Vec<(&str, &str)> {
        self.caller.answers.iter().map(|a| (a.0.as_str(), a.1.as_str())).collect()
    }
}

#[test]
fn a_message_is_acknowledged_only_after_its_reply_is_confirmed() {
    for mode in ["replies confirm\n", "replies transaction\n"] {
        let mut w = World::new(mode);
        w.publish("a", "free-times", |p| p.with_expiration(short("900")));
        let calls = w.arrivals();
        // 900 ms less the margin of 20 ms; it may have come at any moment of the 2 ms since the queue was empty.
        assert_eq!((calls.len(), &*calls[0].function, calls[0].budget), (1, "free-times", 879_000));
        assert_eq!(w.broker.stats.acked, 0);
        w.serve(&calls[0]);
        w.push_front();
        if mode == "replies confirm\n" {
            assert_eq!(w.broker.stats.acked, 0, "acknowledged before the confirm came");
        }
        w.settle();
        assert_eq!((w.broker.stats.acked, w.outcomes()), (1, vec![("a", "served")]));
        assert_eq!(w.front.unsettled(), 0);
    }
}

/// Between a link that reads a backlog and the driver's turn lies the time that both need; the caller's goes on meanwhile.
#[test]
fn a_calls_time_runs_from_when_it_was_read_and_not_from_the_drivers_turn() {
    let mut w = World::new("replies confirm\n");
    w.publish("a", "free-times", |p| p.with_expiration(short("900")));
    let call = w.arrivals().remove(0);
    let (by, now) = (w.now + call.budget, w.now + 300_000);
    let mut core = Core::new(Figures::from(&*config("")), 3, w.now);
    let worker = Entry { capacity: 4.0, ..Entry::new("w1", "w1:1") };
    let mut out = Vec::new();
    core.turn(w.now, &mut vec![News::List(vec![worker])], &mut out);
    core.turn(now, &mut vec![News::Call(call)], &mut out);
    // The worker never answers.
    while let Some(due) = core.due().filter(|due| *due <= by) {
        core.turn(due.max(now), &mut Vec::new(), &mut out);
    }
    assert_eq!(core.unanswered(), 0, "its time ended at {by}: {out:?}");
}

#[test]
fn a_message_at_work_when_the_connection_breaks_is_joined_and_runs_once() {
    for mode in ["replies confirm\n", "replies transaction\n"] {
        let mut w = World::new(mode);
        w.publish("a", "recurring", |p| p);
        let calls = w.arrivals();
        w.cut();
        w.connect();
        assert!(w.arrivals().is_empty(), "it would run a second time");
        w.serve(&calls[0]);
        w.settle();
        assert_eq!(w.outcomes(), [("a", "served")]);
        assert_eq!((w.front.counters.joined, w.broker.stats.acked), (1, 1));
    }
}

#[test]
fn an_answer_that_came_while_apart_is_given_from_memory() {
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p);
    let calls = w.arrivals();
    w.cut();
    w.serve(&calls[0]);
    w.connect();
    assert!(w.arrivals().is_empty());
    assert_eq!((w.outcomes(), w.front.counters.from_memory), (vec![("a", "served")], 1));
}

#[test]
fn a_reply_in_doubt_is_withheld_or_resent_as_told_and_a_transaction_leaves_no_doubt() {
    for (mode, cut, answers) in [
        ("replies confirm\n", Cut::BeforeConfirm, 1),
        ("replies confirm\n", Cut::BeforeRouting, 0),
        ("replies confirm\ndoubtful-reply resend\n", Cut::BeforeConfirm, 2),
        ("replies transaction\n", Cut::BeforeConfirm, 1),
        ("replies transaction\n", Cut::BeforeRouting, 1),
    ] {
        let mut w = World::new(mode);
        w.publish("a", "recurring", |p| p);
        let calls = w.arrivals();
        w.broker.arm_cut(w.front_at.unwrap(), cut);
        w.serve(&calls[0]);
        w.settle();
        assert!(w.front_at.is_none(), "cut");
        w.connect();
        assert!(w.arrivals().is_empty());
        assert_eq!(w.outcomes().len(), answers, "{mode:?} {cut:?}");
        assert_eq!(w.broker.depth("calls"), Some(0));
        assert_eq!(w.front.unsettled(), 0);
    }
}

#[test]
fn a_reply_whose_last_byte_never_left_is_sent_again() {
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p);
    let calls = w.arrivals();
    w.serve(&calls[0]);
    // The reply lies in the output buffer when the socket breaks.
    w.cut();
    w.connect();
    assert_eq!((w.outcomes(), w.front.counters.from_memory), (vec![("a", "served")], 1));
}

#[test]
fn a_redelivered_message_of_which_nothing_is_known_fails_unless_it_is_safe() {
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p);
    w.publish("b", "free-times", |p| p);
    w.arrivals();
    w.cut();
    // Another process, which remembers nothing.
    w.front = Front::new(config(""), 2, w.now);
    w.connect();
    let again = w.arrivals();
    assert_eq!((again.len(), &*again[0].correlation, again[0].repeat), (1, "b", true));
    w.serve(&again[0]);
    w.settle();
    let mut outcomes = w.outcomes();
    outcomes.sort_unstable();
    assert_eq!(outcomes, [("a", "failed"), ("b", "served")]);
}

#[test]
fn what_is_no_call_gets_a_clear_answer_or_goes_to_the_dead_letters() {
    let mut w = World::new("");
    w.publish("function", "free-times", |p| {
        let mut headers = FieldTable::default();
        let inner = FieldTable::default();
        headers.insert(short("function"), stagehoist_amqp::AMQPValue::FieldTable(inner));
        p.with_headers(headers)
    });
    w.publish("tenant", "free-times", |p| {
        let mut headers = FieldTable::default();
        headers.insert(short("tenant"), long("south"));
        p.with_headers(headers)
    });
    w.publish_body("large", "free-times", &[0; 2000], |p| p);
    w.publish("late", "free-times", |p| p.with_expiration(short("10")));
    assert!(w.arrivals().is_empty());
    let told: Vec<(&str, &str)> = w.caller.answers.iter().map(|a| (a.1.as_str(), a.2.as_str())).collect();
    let reasons = ["malformed-function", "unknown-tenant", "too-large", "too-late"];
    assert_eq!(told, reasons.map(|r| ("refused", r)));
    // Without a reply queue nobody can be told.
    let publish = basic::Publish {
        exchange: short(""),
        routing_key: short("calls"),
        mandatory: false,
        immediate: false,
    };
    let channel = w.caller.channel;
    w.caller.client.publish(channel, publish, &BasicProperties::default(), &Bytes::from_static(b"x"));
    w.settle();
    assert_eq!((w.front.counters.rejected, w.broker.depth("calls"), w.front.unsettled()), (1, Some(0), 0));
}

#[test]
fn a_reply_queue_that_is_gone_settles_the_message_all_the_same() {
    let mut w = World::new("");
    w.publish("a", "free-times", |p| p.with_reply_to(short("nowhere")));
    let calls = w.arrivals();
    w.serve(&calls[0]);
    w.settle();
    assert_eq!((w.front.counters.unroutable, w.broker.stats.acked, w.front.unsettled()), (1, 1, 0));
}

#[test]
fn flow_and_blocking_hold_replies_back_and_nothing_is_lost() {
    for mode in ["replies confirm\n", "replies transaction\n"] {
        held_back(mode);
    }
}

fn held_back(mode: &str) {
    let mut w = World::new(mode);
    w.publish("a", "free-times", |p| p);
    w.publish("b", "free-times", |p| p);
    let calls = w.arrivals();
    w.broker.set_flow(false);
    w.settle();
    w.serve(&calls[0]);
    w.settle();
    assert!(w.outcomes().is_empty());
    assert_eq!(w.broker.stats.acked, 0, "acknowledged without a reply");
    w.broker.set_blocked(true);
    w.settle();
    w.broker.set_flow(true);
    w.settle();
    w.serve(&calls[1]);
    w.settle();
    assert!(w.outcomes().is_empty());
    w.broker.set_blocked(false);
    w.settle();
    assert_eq!((w.outcomes(), w.broker.stats.acked), (vec![("a", "served"), ("b", "served")], 2));
}

#[test]
fn a_deleted_queue_is_consumed_again_and_draining_answers_what_is_held() {
    let mut w = World::new("");
    w.publish("a", "free-times", |p| p);
    let calls = w.arrivals();
    let delete = queue::Delete { queue: short("calls"), if_unused: false, if_empty: false, nowait: false };
    let channel = w.caller.channel;
    w.caller.client.send(channel, AMQPClass::Queue(queue::AMQPMethod::Delete(delete)));
    w.settle();
    w.now = w.front.due().unwrap().max(w.now) + 10_000_000;
    w.front.tick(w.now);
    w.settle();
    w.publish("b", "free-times", |p| p);
    let more = w.arrivals();
    assert_eq!(more.len(), 1, "the queue stands again and is consumed");
    w.front.drain();
    w.settle();
    assert!(!w.front.is_drained());
    w.serve(&calls[0]);
    w.serve(&more[0]);
    w.settle();
    assert!(w.front.is_drained());
    w.publish("c", "free-times", |p| p);
    assert!(w.arrivals().is_empty());
    assert_eq!(w.broker.depth("calls"), Some(1));
}

#[test]
fn a_broker_that_confirms_nothing_is_given_up_in_time() {
    let mut w = World::new("confirm-timeout 2s\n");
    w.publish("a", "free-times", |p| p);
    let calls = w.arrivals();
    w.serve(&calls[0]);
    let at = w.front.due().unwrap();
    assert!(at <= w.now + 2_000_000);
    w.front.tick(w.now + 2_000_000);
    w.front.flush(w.now);
    assert!(!w.front.client().unwrap().is_open());
}

#[test]
fn a_silent_broker_is_given_up_after_two_heartbeats_and_a_quiet_one_is_kept() {
    let mut w = World::new("heartbeat 10s\n");
    // Quiet: heartbeats are sent at half the interval and the broker's own come back.
    for _ in 0..10 {
        w.now = w.front.due().unwrap();
        w.front.tick(w.now);
        w.broker.tick(w.now);
        w.settle();
    }
    assert!(w.front.is_ready());
    // Silent: nothing comes, whatever is sent.
    let from = w.now;
    while !w.front.is_over() {
        w.now = w.front.due().unwrap();
        w.front.tick(w.now);
        assert!(w.now - from < 21_000_000, "given up too late");
    }
    assert!(w.now - from > 15_000_000, "given up too early");
}

#[test]
fn without_a_told_prefetch_nothing_waits_in_the_broker() {
    let text = CONF.replace("prefetch 10 ", "");
    let config = Rc::new(parse("test.conf", &text).unwrap());
    let mut w = World::new("");
    w.cut();
    w.front = Front::new(config, 2, w.now);
    w.connect();
    for n in 0..1500 {
        w.publish(&format!("c{n}"), "free-times", |p| p);
    }
    w.front.tick(w.now);
    w.settle();
    assert_eq!(w.arrivals().len(), 1500);
    assert!(w.front.counters.windows > 0);
}

#[test]
fn beyond_the_bounds_each_message_is_refused_with_advice_and_what_was_held_is_answered() {
    let mut w = World::new("");
    w.cut();
    let text = CONF.replace("prefetch 10 ", "") + "held-most 10\nretry-after-most 2s\n";
    w.front = Front::new(Rc::new(parse("test.conf", &text).unwrap()), 2, w.now);
    w.connect();
    for n in 0..40 {
        w.publish(&format!("c{n}"), "free-times", |p| p);
    }
    let held = w.arrivals();
    assert_eq!(held.len(), 8, "one party alone fills four fifths");
    assert_eq!(w.caller.answers.len(), 32);
    assert!(w.caller.answers.iter().all(|a| a.1 == "refused" && a.2 == "too-many-held"));
    for arrival in held {
        let answer = Answer::Served { body: Bytes::new(), content_type: None };
        w.front.answer(arrival.ticket, answer, w.now);
    }
    w.settle();
    assert_eq!(w.caller.answers.len(), 40);
    w.publish("after", "free-times", |p| p);
    assert_eq!(w.arrivals().len(), 1, "the room was given back");
}

#[test]
fn a_backlog_without_stamps_is_dated_by_when_its_queue_was_last_seen_empty() {
    let mut w = World::new("");
    w.front.dry(w.now);
    w.cut();
    // Ten messages, one each 400 ms, while no front end is there.
    for n in 0..10 {
        w.now += 400_000;
        w.publish(&format!("c{n}"), "free-times", |p| p);
    }
    w.front.pause();
    w.connect();
    w.settle();
    let budgets: Vec<i64> = w.arrivals().iter().map(|a| a.budget).collect();
    let late = w.caller.answers.iter().filter(|a| a.2 == "too-late").count();
    assert_eq!(late + budgets.len(), 10);
    // Those older than 2.5 s are answered without running; the youngest have most of their time left.
    assert!((3..=5).contains(&late), "{:?}", w.caller.answers);
    assert!(budgets.windows(2).all(|b| b[0] < b[1]) && budgets[budgets.len() - 1] > 1_900_000, "{budgets:?}");
}

#[test]
fn a_stamp_from_a_wrong_clock_does_no_harm_to_a_queue_that_is_kept_empty() {
    let mut w = World::new("");
    w.front.dry(w.now);
    // A publisher whose clock is an hour behind, and one whose clock is an hour ahead.
    let seconds = |w: &World, by: i64| ((w.now + 7_200_000_000) / 1_000_000 + by) as u64;
    w.now += 7_200_000_000;
    w.front.dry(w.now);
    for (id, by) in [("behind", -3600), ("ahead", 3600)] {
        let at = seconds(&w, by) - 7200;
        w.publish(id, "free-times", |p| p.with_timestamp(at));
        let budgets: Vec<i64> = w.arrivals().iter().map(|a| a.budget).collect();
        assert!(budgets.len() == 1 && budgets[0] > 2_300_000, "{id}: {budgets:?} {:?}", w.caller.answers);
        w.front.dry(w.now);
    }
}
