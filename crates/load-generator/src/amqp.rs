//! A load over AMQP 0-9-1: one connection publishes by the plan and takes the answers.

use crate::{Ledger, LoadError, Outcome, Plan, Report};
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist::Micros;
use stagehoist_amqp::{
    basic, header_int, header_text, long, queue, short, AMQPClass, BasicProperties, Client, ClientEvent,
    ClientOptions, FieldTable,
};
use stagehoist_config::Broker;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How callers take a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Manners {
    /// Part of callers that repeat at once whatever the refusal asks.
    pub at_once: f64,
    /// Part of callers that repeat after the time they are told.
    pub honour: f64,
    /// Repeats of one call at most.
    pub most: u32,
}

/// Where and how a load is sent.
#[derive(Clone, Debug)]
pub struct Target {
    pub broker: Broker,
    pub queue: String,
    /// `expiration` of each message, in milliseconds; None: not set.
    pub expiration_ms: Option<u64>,
    /// The publisher sets `timestamp`.
    pub timestamp: bool,
    /// Time after the last send in which answers still count.
    pub settle: Micros,
    pub aim: Micros,
    pub give_up: Micros,
    pub manners: Manners,
    /// Begins the correlation ids, so that several loads share a broker.
    pub name: String,
}

struct Sender {
    client: Client,
    channel: u16,
    replies: String,
    functions: Vec<(String, Option<String>, usize)>,
}

impl Sender {
    fn publish(&mut self, target: &Target, number: u64, function: u32) {
        let Some((function, tenant, size)) = self.functions.get(function as usize) else { return };
        let id = format!("{}-{number}", target.name);
        let mut body = format!("{{\"id\":\"{id}\",\"inputs\":[]}}").into_bytes();
        body.resize(body.len().max(*size), b' ');
        let mut headers = FieldTable::default();
        headers.insert(short("function"), long(function.as_str()));
        if let Some(tenant) = tenant {
            headers.insert(short("tenant"), long(tenant.as_str()));
        }
        let mut properties = BasicProperties::default()
            .with_content_type(short("application/json"))
            .with_correlation_id(short(&id))
            .with_reply_to(short(&self.replies))
            .with_delivery_mode(1)
            .with_headers(headers);
        if let Some(ms) = target.expiration_ms {
            properties = properties.with_expiration(short(&ms.to_string()));
        }
        if target.timestamp {
            let at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            properties = properties.with_timestamp(at.as_secs());
        }
        let publish = basic::Publish {
            exchange: short(""),
            routing_key: short(&target.queue),
            mandatory: false,
            immediate: false,
        };
        self.client.publish(self.channel, publish, &properties, &Bytes::from(body));
    }
}

fn outcome(headers: &FieldTable) -> Outcome {
    let text = |key| header_text(headers, key).unwrap_or_default();
    let reason = text("reason");
    match text("outcome").as_str() {
        "served" => Outcome::Served,
        "refused" => {
            let ms = headers.inner().get("retry-after-ms").and_then(header_int).unwrap_or(0);
            Outcome::Refused { reason, retry_after: ms.clamp(0, 3_600_000) * 1000 }
        }
        _ => Outcome::Failed { reason },
    }
}

/// Sends a plan and waits for its answers; `show` is called with messages sent and served in time, now and then.
pub async fn run(
    target: &Target,
    plan: Plan,
    seed_of_manners: u64,
    show: &mut dyn FnMut(u64, u64),
) -> Result<Report, LoadError> {
    let address = target.broker.address.clone();
    let broke = |source| LoadError::Broker { address: address.clone(), source };
    let refused = |why: String| LoadError::Refused { address: address.clone(), why };
    let mut stream = TcpStream::connect(&address).await.map_err(broke)?;
    stream.set_nodelay(true).map_err(broke)?;
    let begun = Instant::now();
    let clock = || begun.elapsed().as_micros() as Micros;
    let options = ClientOptions {
        user: target.broker.user.clone(),
        password: target.broker.password.clone(),
        vhost: target.broker.vhost.clone(),
        product: "stagehoist load".into(),
        ..ClientOptions::default()
    };
    let mut sender = Sender {
        client: Client::new(options, clock()),
        channel: 0,
        replies: format!("replies-{}", target.name),
        functions: Vec::new(),
    };
    let mut kinds: BTreeMap<(String, Option<String>, usize), u32> = BTreeMap::new();
    let mut ledger = Ledger::new(target.aim, target.give_up);
    let mut plan = plan.peekable();
    let mut manners = ChaCha8Rng::seed_from_u64(seed_of_manners);
    // Repeats that wait: when, and of which message.
    let mut again: BTreeSet<(Micros, u64)> = BTreeSet::new();
    let mut zero: Option<Micros> = None;
    let (mut last, mut shown) = (0, 0);
    let mut buffer = vec![0u8; 256 << 10];
    let mut closing = false;
    loop {
        while let Some(event) = sender.client.event() {
            let now = clock();
            match event {
                ClientEvent::Open => {
                    sender.channel = sender.client.open_channel().unwrap_or(0);
                    let declare =
                        queue::Declare { auto_delete: true, ..stagehoist_amqp::declare(&sender.replies) };
                    let consume = basic::Consume {
                        no_ack: true,
                        ..stagehoist_amqp::consume(&sender.replies, "answers")
                    };
                    sender.client.send(sender.channel, AMQPClass::Queue(queue::AMQPMethod::Declare(declare)));
                    sender.client.send(sender.channel, AMQPClass::Basic(basic::AMQPMethod::Consume(consume)));
                }
                ClientEvent::Method(_, AMQPClass::Basic(basic::AMQPMethod::ConsumeOk(_))) => {
                    zero = zero.or(Some(now));
                }
                ClientEvent::Delivered(_, message) => {
                    let Some(zero) = zero else { continue };
                    let id = message.properties.correlation_id().as_ref().map(|c| c.as_str().to_string());
                    let number = id.as_deref().and_then(|i| i.rsplit_once('-')?.1.parse::<u64>().ok());
                    let outcome = outcome(&message.properties.headers().clone().unwrap_or_default());
                    let number = number.unwrap_or(u64::MAX);
                    if !ledger.answered(number, &outcome, now - zero) {
                        continue;
                    }
                    let repeats = ledger.repeats(number).unwrap_or(u32::MAX);
                    if let (Outcome::Refused { retry_after, .. }, true) =
                        (&outcome, repeats < target.manners.most)
                    {
                        let drawn: f64 = manners.random();
                        if drawn < target.manners.at_once {
                            again.insert((now - zero, number));
                        } else if drawn < target.manners.at_once + target.manners.honour {
                            again.insert((now - zero + retry_after, number));
                        }
                    }
                }
                ClientEvent::ChannelClosed { code, text, .. } => {
                    return Err(refused(format!("channel closed: {code} {text}")));
                }
                ClientEvent::Closed { code, text } if !closing => {
                    return Err(refused(format!("connection closed: {code} {text}")));
                }
                ClientEvent::Failed(fault) => return Err(refused(fault.to_string())),
                _ => {}
            }
        }
        let now = clock();
        let mut next = now + 50_000;
        if let Some(zero) = zero.filter(|_| !closing) {
            // All that is due leaves, however far behind, so that arrivals never wait for answers.
            while plan.peek().is_some_and(|s| s.at + zero <= clock()) {
                let Some(shot) = plan.next() else { break };
                let kind = (shot.function, shot.tenant, shot.size);
                let function = *kinds.entry(kind.clone()).or_insert_with(|| {
                    sender.functions.push(kind);
                    sender.functions.len() as u32 - 1
                });
                let number = ledger.sent(function, shot.at, clock() - zero);
                sender.publish(target, number, function);
                last = clock() - zero;
            }
            while let Some(&(at, message)) = again.first() {
                if at + zero > clock() {
                    break;
                }
                again.pop_first();
                let function = ledger.function(message).unwrap_or(0);
                if let Some(number) = ledger.repeated(message, clock() - zero) {
                    sender.publish(target, number, function);
                }
            }
            let due = plan.peek().map(|s| s.at).into_iter().chain(again.first().map(|a| a.0)).min();
            next = due.map_or(next, |at| next.min(at + zero));
            let over = plan.peek().is_none() && again.is_empty();
            let settled = over && (ledger.unanswered() == 0 || now - zero > last + target.settle);
            if settled && now - zero > last + 200_000 {
                closing = true;
                sender.client.close(200, "done");
            }
            if now - shown > 100_000 {
                shown = now;
                let (sent, in_aim) = ledger.so_far();
                show(sent, in_aim);
            }
        } else if zero.is_none() && now > 10_000_000 {
            return Err(refused("no login within 10 s".into()));
        }
        let output = sender.client.output().split();
        if !output.is_empty() {
            // A broker that reads nothing is abandoned, as nothing would end otherwise.
            let written = tokio::time::timeout(Duration::from_secs(30), stream.write_all(&output)).await;
            written.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())).map_err(broke)?;
            sender.client.record_written(output.len(), clock());
        }
        if sender.client.is_over() || (closing && now - shown > 5_000_000) {
            return Ok(ledger.report(last as f64 / 1e6));
        }
        let wait = Duration::from_micros((next - clock()).clamp(0, 50_000) as u64);
        tokio::select! {
            read = stream.read(&mut buffer) => {
                let n = read.map_err(broke)?;
                if n == 0 && closing {
                    return Ok(ledger.report(last as f64 / 1e6));
                }
                if n == 0 {
                    return Err(refused("connection closed".into()));
                }
                sender.client.receive(&buffer[..n], clock());
            }
            _ = tokio::time::sleep(wait) => sender.client.tick(clock()),
        }
    }
}
