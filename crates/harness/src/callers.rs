//! Callers: calls published at a drawn pace, replies counted as they come.

use crate::day::Calls;
use crate::division::Addresses;
use crate::layout::{own_queue, Layout, GIVE_UP};
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist_amqp::{
    basic, long, queue, short, AMQPClass, BasicProperties, Client, ClientEvent, ClientOptions, FieldTable,
};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Counts shown while a day runs; the verdict does not rest on them.
#[derive(Debug, Default)]
pub struct Counts {
    pub sent: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    /// Consumers of the queues of calls, as the broker last told.
    pub consumers: AtomicU64,
    /// Answers by outcome and reason.
    pub answers: Mutex<BTreeMap<String, u64>>,
}

/// Different reasons that are counted; more count as one.
const REASONS_MOST: usize = 64;

impl Counts {
    fn answer(&self, outcome: &str, reason: Option<&str>) {
        let count = match outcome {
            "served" => &self.served,
            "refused" => &self.refused,
            _ => &self.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut name = reason.map_or(outcome.to_string(), |reason| format!("{outcome}: {reason}"));
        if answers.len() >= REASONS_MOST && !answers.contains_key(&name) {
            name = "others".into();
        }
        *answers.entry(name).or_default() += 1;
    }
}

/// What callers are told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Calls a second; 0 pauses.
    pub rate: f64,
    pub stop: bool,
}

/// What callers listen to.
pub struct CallerSettings {
    pub pace: watch::Receiver<Pace>,
    /// Tenants that calls name, each with its part of them; at one for each they come at the told rate, at more so much
    /// faster. Empty: calls name none.
    pub tenants: watch::Receiver<Vec<Calls>>,
    /// Where calls go.
    pub addresses: watch::Receiver<Addresses>,
}

impl CallerSettings {
    /// Calls a second of all tenants together.
    fn rate(&self) -> f64 {
        let tenants = self.tenants.borrow();
        let parts: f64 = tenants.iter().map(|t| t.part).sum();
        let usual = tenants.iter().filter(|t| t.only.is_none()).count();
        self.pace.borrow().rate * if tenants.is_empty() { 1.0 } else { parts / usual.max(1) as f64 }
    }

    fn tenant(&self, random: &mut ChaCha8Rng) -> Option<Calls> {
        let tenants = self.tenants.borrow();
        let parts: f64 = tenants.iter().map(|t| t.part).sum();
        // Without tenants nothing is drawn, so that days of before send what they sent.
        let last = tenants.last()?;
        let mut left = random.random::<f64>() * parts;
        let drawn = tenants.iter().find(|t| {
            left -= t.part;
            left < 0.0
        });
        Some(drawn.unwrap_or(last).clone())
    }
}

/// One caller process: sends at the told pace until told to stop.
pub async fn run(
    broker: String,
    number: u32,
    layout: Layout,
    seed: u64,
    counts: Arc<Counts>,
    mut told: CallerSettings,
) {
    let start = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut sent = 0u64;
    while !told.pace.borrow_and_update().stop {
        if let Ok(stream) = TcpStream::connect(&broker).await {
            // A lost connection is made anew; what was under way is the broker's and the gateway's matter.
            let _ = talk(stream, start, number, &layout, &mut random, &mut sent, &counts, &mut told).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[allow(clippy::too_many_arguments)]
async fn talk(
    mut stream: TcpStream,
    start: Instant,
    number: u32,
    layout: &Layout,
    random: &mut ChaCha8Rng,
    sent: &mut u64,
    counts: &Counts,
    told: &mut CallerSettings,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let now = || start.elapsed().as_micros() as i64;
    let options = ClientOptions { product: "stand-in caller".into(), ..ClientOptions::default() };
    let mut client = Client::new(options, now());
    let replies = format!("replies-{number}");
    let mut channel = 0;
    let mut ready = false;
    let mut buffer = vec![0u8; 64 << 10];
    let mut next = now();
    let mut looked = 0;
    let mut consumers = BTreeMap::new();
    loop {
        while let Some(event) = client.event() {
            match event {
                ClientEvent::Open => {
                    channel = client.open_channel().unwrap_or(0);
                    // The reply queue outlives a restart of the broker and of this connection.
                    client.send(
                        channel,
                        AMQPClass::Queue(queue::AMQPMethod::Declare(declare(&replies, false))),
                    );
                    let consume = basic::Consume { no_ack: true, ..stagehoist_amqp::consume(&replies, "r") };
                    client.send(channel, AMQPClass::Basic(basic::AMQPMethod::Consume(consume)));
                }
                ClientEvent::Method(_, AMQPClass::Basic(basic::AMQPMethod::ConsumeOk(_))) => ready = true,
                ClientEvent::Method(_, AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok)))
                    if ok.queue.as_str() != replies =>
                {
                    consumers.insert(ok.queue.to_string(), u64::from(ok.consumer_count));
                    counts.consumers.store(consumers.values().sum(), Ordering::Relaxed);
                }
                ClientEvent::Delivered(_, message) => {
                    let headers = message.properties.headers().clone().unwrap_or_default();
                    let outcome = stagehoist_amqp::header_text(&headers, "outcome").unwrap_or_default();
                    let reason = stagehoist_amqp::header_text(&headers, "reason");
                    counts.answer(&outcome, reason.as_deref());
                }
                ClientEvent::ChannelClosed { .. } => return Ok(()),
                ClientEvent::Closed { .. } | ClientEvent::Failed(_) => return Ok(()),
                _ => {}
            }
        }
        let stop = told.pace.borrow_and_update().stop;
        let rate = told.rate();
        if stop {
            client.close(200, "done");
        }
        if ready && !stop {
            if now() - looked > 100_000 {
                // Who consumes is asked in the protocol's own way: a passive declaration.
                looked = now();
                let queues = told.addresses.borrow().queues();
                consumers.retain(|queue, _| queues.contains(queue));
                for queue in queues {
                    client.send(channel, AMQPClass::Queue(queue::AMQPMethod::Declare(declare(&queue, true))));
                }
            }
            if rate <= 0.0 {
                next = now();
            }
            while rate > 0.0 && next <= now() {
                *sent += 1;
                counts.sent.fetch_add(1, Ordering::Relaxed);
                let tenant = told.tenant(random);
                let addresses = told.addresses.borrow().clone();
                publish(&mut client, channel, (number, *sent), &replies, layout, (tenant, addresses), random);
                next += (-(1.0 - random.random::<f64>()).ln() / rate * 1e6) as i64;
            }
        }
        let output = client.output().split();
        if !output.is_empty() {
            stream.write_all(&output).await?;
            client.record_written(output.len(), now());
        }
        if client.is_over() {
            return stream.shutdown().await;
        }
        let wait = (next - now()).clamp(200, 50_000) as u64;
        tokio::select! {
            read = stream.read(&mut buffer) => {
                let n = read?;
                if n == 0 {
                    return Ok(());
                }
                client.receive(&buffer[..n], now());
            }
            _ = tokio::time::sleep(Duration::from_micros(wait)) => client.tick(now()),
        }
    }
}

fn declare(name: &str, passive: bool) -> queue::Declare {
    queue::Declare { passive, durable: true, ..stagehoist_amqp::declare(name) }
}

fn publish(
    client: &mut Client,
    channel: u16,
    (caller, n): (u32, u64),
    replies: &str,
    layout: &Layout,
    (calls, addresses): (Option<Calls>, Addresses),
    random: &mut ChaCha8Rng,
) {
    let function = layout.function(random.random(), random.random());
    let id = format!("c{caller}-{n}");
    let body = format!("{{\"id\":\"{id}\",\"inputs\":[{{\"name\":\"day\",\"shape\":[1],\"datatype\":\"INT32\",\"data\":[{n}]}}]}}");
    let mut headers = FieldTable::default();
    let mut to = addresses.queue(&function, n);
    headers.insert(short("function"), long(function));
    if let Some(Calls { tenant, only, .. }) = calls {
        headers.insert(short("tenant"), long(tenant));
        to = only.map_or(to, own_queue);
    }
    let properties = BasicProperties::default()
        .with_content_type(short("application/json"))
        .with_correlation_id(short(&id))
        .with_reply_to(short(replies))
        .with_expiration(short(&(GIVE_UP / 1000).to_string()))
        .with_delivery_mode(2)
        .with_headers(headers);
    let publish =
        basic::Publish { exchange: short(""), routing_key: short(&to), mandatory: false, immediate: false };
    client.publish(channel, publish, &properties, &Bytes::from(body));
}
