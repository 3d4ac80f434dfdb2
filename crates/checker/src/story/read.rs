//! Reads a story from the streams of a capture.

use super::{Attempt, Delivery, Load, Reply, Story, WorkerNotice};
use crate::capture::{Capture, Direction, Micros, Peer};
use crate::streams::{amqp, connections, http, AmqpItem, Connection, Exchange};
use serde_json::Value;
use stagehoist_amqp::{basic, channel, connection, AMQPClass, BasicProperties};
use std::collections::HashMap;

fn text(value: &Option<stagehoist_amqp::ShortString>) -> String {
    value.as_ref().map_or(String::new(), |v| v.as_str().to_string())
}

fn correlation(properties: &BasicProperties) -> String {
    text(properties.correlation_id())
}

/// A header's text; empty where there is none.
fn header(properties: &BasicProperties, name: &str) -> String {
    properties.headers().as_ref().and_then(|h| stagehoist_amqp::header_text(h, name)).unwrap_or_default()
}

impl Story {
    /// Reads a capture.
    pub fn read(capture: &Capture) -> Story {
        let mut story = Story { end: capture.records.last().map_or(0, |r| r.at), ..Story::default() };
        for connection in connections(capture) {
            let Some(link) = capture.links.get(connection.link) else { continue };
            match (&link.peer, link.front_end) {
                (Peer::CallersBroker, _) => story.callers(&connection),
                (Peer::Broker, Some(front_end)) => story.broker(&connection, front_end),
                (Peer::Worker(name), Some(front_end)) => story.worker(&connection, front_end, name),
                (Peer::List, Some(front_end)) => story.list(&connection, front_end),
                _ => {}
            }
        }
        story.attempts.sort_by_key(|a| a.asked);
        for (index, attempt) in story.attempts.iter().enumerate() {
            story.calls.entry(attempt.correlation.clone()).or_default().attempts.push(index);
        }
        story.loads.sort_by_key(|l| l.at);
        story.told.values_mut().for_each(|t| t.sort_by_key(|t| t.at));
        story.taken.values_mut().for_each(|t| t.sort_unstable());
        for call in story.calls.values_mut() {
            call.answers.sort();
            call.deliveries.sort_by_key(|d| d.at);
            call.replies.sort_by_key(|r| r.at);
        }
        story
    }

    fn callers(&mut self, connection: &Connection) {
        for item in amqp(connection) {
            let AmqpItem::Message(message) = item.item else { continue };
            let properties = &message.properties;
            let id = correlation(properties);
            match (&message.method, item.way) {
                (AMQPClass::Basic(basic::AMQPMethod::Publish(publish)), Direction::Out) => {
                    let headers = properties.headers().as_ref();
                    let function = headers.and_then(|h| stagehoist_amqp::header_text(h, "function"));
                    let call = self.calls.entry(id).or_default();
                    call.published = item.at;
                    call.function = function.unwrap_or_else(|| publish.routing_key.as_str().to_string());
                    call.tenant = header(properties, "tenant");
                    let patience = text(properties.expiration()).parse::<i64>().ok();
                    call.patience = patience.map(|ms| ms * 1000);
                }
                (AMQPClass::Basic(basic::AMQPMethod::Deliver(_)), Direction::In) => {
                    let answer = (item.at, header(properties, "outcome"));
                    self.calls.entry(id).or_default().answers.push(answer);
                }
                _ => {}
            }
        }
    }

    fn broker(&mut self, connection: &Connection, front_end: u32) {
        let mut shut: Option<Micros> = None;
        for item in amqp(connection) {
            let message = match item.item {
                AmqpItem::Message(message) => message,
                AmqpItem::Method(method) if item.way == Direction::In => {
                    let open = match method {
                        AMQPClass::Connection(connection::AMQPMethod::Blocked(_)) => false,
                        AMQPClass::Connection(connection::AMQPMethod::Unblocked(_)) => true,
                        AMQPClass::Channel(channel::AMQPMethod::Flow(flow)) => flow.active,
                        _ => continue,
                    };
                    if open {
                        let from = shut.take().unwrap_or(item.at);
                        self.blocked.entry(front_end).or_default().push((from, item.at));
                    } else {
                        shut.get_or_insert(item.at);
                    }
                    continue;
                }
                AmqpItem::Method(_) => continue,
            };
            let id = correlation(&message.properties);
            match (&message.method, item.way) {
                (AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver)), Direction::In) => {
                    self.taken.entry(front_end).or_default().push(item.at);
                    self.calls.entry(id).or_default().deliveries.push(Delivery {
                        at: item.at,
                        front_end,
                        redelivered: deliver.redelivered,
                        lost: connection.closed,
                    });
                }
                (AMQPClass::Basic(basic::AMQPMethod::Publish(_)), Direction::Out) => {
                    let said = |name| header(&message.properties, name);
                    let reply =
                        Reply { at: item.at, front_end, outcome: said("outcome"), reason: said("reason") };
                    self.calls.entry(id).or_default().replies.push(reply);
                }
                _ => {}
            }
        }
        if let Some(from) = shut {
            let to = connection.closed.unwrap_or(self.end);
            self.blocked.entry(front_end).or_default().push((from, to));
        }
    }

    fn worker(&mut self, connection: &Connection, front_end: u32, worker: &str) {
        for exchange in http(connection) {
            self.announced(&exchange, front_end, worker);
            let parts: Vec<&str> = exchange.path.split('/').collect();
            match parts[..] {
                ["", "v2", "models", function, "infer"] => {
                    let json: Option<Value> = serde_json::from_slice(&exchange.body).ok();
                    let id = json.and_then(|j| Some(j.get("id")?.as_str()?.to_string())).unwrap_or_default();
                    let said = exchange.headers.contains_key("stagehoist-not-run") && exchange.status >= 400;
                    self.attempts.push(Attempt {
                        front_end,
                        worker: worker.to_string(),
                        correlation: id,
                        function: function.to_string(),
                        asked: exchange.asked,
                        never: said || exchange.asked_whole.is_none() || !connection.reached,
                        ended: exchange.answered.or(exchange.broken),
                        broke: exchange.answered.is_none(),
                        status: exchange.status,
                    });
                }
                ["", "v2", "repository", "models", function, "load"] => self.loads.push(Load {
                    front_end,
                    worker: worker.to_string(),
                    function: function.to_string(),
                    at: exchange.asked,
                }),
                _ => {}
            }
        }
    }

    fn announced(&mut self, exchange: &Exchange, front_end: u32, worker: &str) {
        let Some(at) = exchange.answered else { return };
        let ready = match exchange.headers.get("stagehoist-worker").map(String::as_str) {
            Some("draining") => false,
            Some("serving") => true,
            _ => return,
        };
        let told = self.told.entry((front_end, worker.to_string())).or_default();
        told.push(WorkerNotice { at, by_list: false, ready, started: 0 });
    }

    fn list(&mut self, connection: &Connection, front_end: u32) {
        for exchange in http(connection) {
            let (Some(at), 200) = (exchange.answered, exchange.status) else { continue };
            let Ok(Value::Array(rows)) = serde_json::from_slice::<Value>(&exchange.answer) else { continue };
            let mut listed: HashMap<String, WorkerNotice> = HashMap::new();
            for row in &rows {
                let Some(name) = row.pointer("/Service/ID").and_then(Value::as_str) else { continue };
                let meta = |key: &str| row.pointer(&format!("/Service/Meta/{key}")).and_then(Value::as_str);
                let ready = meta("state") != Some("draining");
                let started = meta("started").and_then(|s| s.parse().ok()).unwrap_or(0);
                listed.insert(name.to_string(), WorkerNotice { at, by_list: true, ready, started });
            }
            // Whoever was notified of before and is missing now is gone.
            for ((whom, worker), told) in &mut self.told {
                if *whom == front_end && !listed.contains_key(worker) {
                    told.push(WorkerNotice { at, by_list: true, ready: false, started: 0 });
                }
            }
            for (worker, row) in listed {
                self.told.entry((front_end, worker)).or_default().push(row);
            }
        }
    }
}
