//! Converts deliveries to calls and answers to replies.
//!
//! For a call, the function is the header `function`, else the routing key; the tenant is the header `tenant`. The
//! time budget is `expiration` in milliseconds if that is less than the class's give-up time, less the time that the
//! message waited. The waiting time is computed from the broker's header `timestamp_in_ms`, else from the publisher's
//! `timestamp`, else estimated from the age of the queue.
//!
//! A reply has the headers `outcome` (`served`, `refused`, `failed`) and `reason`, and a refusal also has
//! `retry-after-ms`.
//!
//! In a fleet, the header `generation` names the generation of the function that a call is for. A call of a retired
//! function is answered with `retired-generation`, `retired-at` (milliseconds since 1970), `retired-reason` and, if
//! configured, `successor`. In a divided fleet a refusal with `other-shard` has the headers `shard` and
//! `shard-generation` of the queue that the call belongs to.

use crate::fleet::ClosedReason;
use crate::state::Answer;
use bytes::Bytes;
use stagehoist::Micros;
use stagehoist_amqp::{header_int, header_text, long, short, AMQPValue, BasicProperties, FieldTable};
use stagehoist_config::{has_generation_suffix, Config};
use stagehoist_sharding::Shard;
use std::collections::HashMap;
use std::rc::Rc;

/// Header with the publication time that RabbitMQ's message interceptors (and the emulator broker) add to each
/// message they accept.
pub const STAMP: &str = "timestamp_in_ms";

/// The call that a message requests.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRequest {
    pub function: Rc<str>,
    pub tenant: u32,
    pub budget: Micros,
    /// The generation of the function, if the message names one.
    pub generation: Option<u32>,
}

/// Why a message is not a valid call; [`InvalidMessage::reason`] goes into the reply's header `reason`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidMessage {
    #[error("the header 'function' is not a text")]
    MalformedFunction,
    #[error("the header 'generation' is not a whole number of at least 1")]
    MalformedGeneration,
    #[error("the header 'tenant' is not a text")]
    MalformedTenant,
    #[error("the header 'tenant' names a tenant that is not configured")]
    UnknownTenant,
    #[error("the message's expiration is not a whole number of milliseconds")]
    MalformedExpiration,
    #[error("neither the header 'function' nor the routing key names a function")]
    NoFunction,
    #[error("the message's body exceeds the configured maximum")]
    TooLarge,
    #[error("the message expired before it was received")]
    TooLate,
}

impl InvalidMessage {
    /// Returns the value of the reply's header `reason`.
    pub fn reason(self) -> &'static str {
        match self {
            InvalidMessage::MalformedFunction => "malformed-function",
            InvalidMessage::MalformedGeneration => "malformed-generation",
            InvalidMessage::MalformedTenant => "malformed-tenant",
            InvalidMessage::UnknownTenant => "unknown-tenant",
            InvalidMessage::MalformedExpiration => "malformed-expiration",
            InvalidMessage::NoFunction => "no-function",
            InvalidMessage::TooLarge => "too-large",
            InvalidMessage::TooLate => "too-late",
        }
    }
}

/// Returns when a message was published, in microseconds since the Unix epoch: the broker's stamp, else the
/// publisher's `timestamp`, else `None`. The publisher's `timestamp` counts whole seconds, so the middle of the
/// second is returned.
pub fn stamp(properties: &BasicProperties) -> Option<Micros> {
    let headers = properties.headers().as_ref();
    let stamped = headers
        .and_then(|headers| headers.inner().get(STAMP))
        .and_then(header_int)
        .map(|ms| ms.checked_mul(1000));
    let publisher_time =
        || properties.timestamp().and_then(|s| i64::try_from(s).ok()?.checked_mul(1_000_000));
    // A time at or before the epoch comes from a wrong clock and gives no waiting time.
    stamped.flatten().or_else(|| Some(publisher_time()? + 500_000)).filter(|at| *at > 0)
}

/// Parses messages according to a configuration.
#[derive(Debug)]
pub struct Reader {
    config: Rc<Config>,
    tenants: HashMap<String, u32>,
}

impl Reader {
    /// Creates a reader for the tenants of a configuration.
    pub fn new(config: Rc<Config>) -> Reader {
        let tenants = config.tenants.iter().enumerate().map(|(i, t)| (t.name.clone(), i as u32)).collect();
        Reader { config, tenants }
    }

    /// Returns the function that a message names in its header or routing key.
    pub fn function(properties: &BasicProperties, routing_key: &str) -> Result<String, InvalidMessage> {
        let header = properties.headers().as_ref().and_then(|h| h.inner().get("function"));
        let function = match header {
            None | Some(AMQPValue::Void) => routing_key.to_string(),
            Some(_) => properties
                .headers()
                .as_ref()
                .and_then(|h| header_text(h, "function"))
                .ok_or(InvalidMessage::MalformedFunction)?,
        };
        if function.is_empty() {
            return Err(InvalidMessage::NoFunction);
        }
        Ok(function)
    }

    /// Parses a message into a call. `waited` is how long the message waited before it was received, in microseconds.
    pub fn read(
        &self,
        properties: &BasicProperties,
        routing_key: &str,
        size: u64,
        waited: Micros,
    ) -> Result<CallRequest, InvalidMessage> {
        let no_headers = FieldTable::default();
        let headers = properties.headers().as_ref().unwrap_or(&no_headers);
        let text = |key: &str, error: InvalidMessage| match headers.inner().get(key) {
            None | Some(AMQPValue::Void) => Ok(None),
            Some(_) => header_text(headers, key).map(Some).ok_or(error),
        };
        let function = Reader::function(properties, routing_key)?;
        let is_fleet = self.config.fleet.is_some();
        if is_fleet && has_generation_suffix(&function) {
            // Names that end in `@N` are reserved: later generations have such internal names.
            return Err(InvalidMessage::MalformedFunction);
        }
        let generation = match text("generation", InvalidMessage::MalformedGeneration)? {
            Some(text) if is_fleet => {
                let number = text.parse::<u32>().ok().filter(|n| *n > 0);
                Some(number.ok_or(InvalidMessage::MalformedGeneration)?)
            }
            _ => None,
        };
        let tenant = match text("tenant", InvalidMessage::MalformedTenant)? {
            Some(name) if !self.tenants.is_empty() => {
                *self.tenants.get(&name).ok_or(InvalidMessage::UnknownTenant)?
            }
            _ => 0,
        };
        if size > self.config.max_body_size {
            return Err(InvalidMessage::TooLarge);
        }
        let give_up = self.config.function(&function).and_then(|f| self.config.class_index(&f.class));
        let give_up = give_up.map_or(i64::MAX / 4, |class| self.config.classes[class].give_up);
        let expiration = match properties.expiration() {
            None => i64::MAX / 4,
            Some(text) => match text.as_str().parse::<u32>() {
                Ok(ms) => Micros::from(ms) * 1000,
                Err(_) => return Err(InvalidMessage::MalformedExpiration),
            },
        };
        let budget = give_up.min(expiration) - waited - self.config.answer_margin;
        if budget <= 0 {
            return Err(InvalidMessage::TooLate);
        }
        Ok(CallRequest { function: function.into(), tenant, budget, generation })
    }
}

/// Returns the properties and body of a reply.
pub fn reply(answer: &Answer, correlation: &str) -> (BasicProperties, Bytes) {
    let mut headers = FieldTable::default();
    let mut insert = |key: &str, value: AMQPValue| {
        headers.insert(short(key), value);
    };
    let mut properties = BasicProperties::default();
    let closed = match answer {
        Answer::Gated(gated) => gated.permit.closed().map(|closed| match closed {
            ClosedReason::Retired(retired) => Answer::Retired(retired),
            _ => Answer::Failed { reason: "view-not-current" },
        }),
        _ => None,
    };
    let body = match closed.as_ref().unwrap_or(answer) {
        Answer::Gated(gated) => {
            insert("outcome", long("served"));
            if let Some(kind) = &gated.content_type {
                properties = properties.with_content_type(short(kind));
            }
            gated.body.clone()
        }
        Answer::Retired(retired) => {
            insert("outcome", long("failed"));
            insert("reason", long("retired"));
            insert("retired-generation", AMQPValue::LongLongInt(retired.generation.into()));
            insert("retired-at", AMQPValue::LongLongInt(retired.at_ms));
            insert("retired-reason", long(&retired.reason));
            if let Some(successor) = &retired.successor {
                insert("successor", long(successor));
            }
            Bytes::new()
        }
        Answer::Served { body, content_type } => {
            insert("outcome", long("served"));
            if let Some(kind) = content_type {
                properties = properties.with_content_type(short(kind));
            }
            body.clone()
        }
        Answer::Refused { reason, retry_after } => {
            insert("outcome", long("refused"));
            insert("reason", long(*reason));
            insert("retry-after-ms", AMQPValue::LongLongInt((retry_after + 999) / 1000));
            Bytes::new()
        }
        Answer::Failed { reason } => {
            insert("outcome", long("failed"));
            insert("reason", long(*reason));
            Bytes::new()
        }
    };
    if !correlation.is_empty() {
        properties = properties.with_correlation_id(short(correlation));
    }
    (properties.with_headers(headers).with_delivery_mode(1), body)
}

/// Adds the headers for the generation and shard that the call should have been sent to.
pub fn with_home(properties: BasicProperties, (generation, shard): (u32, Shard)) -> BasicProperties {
    let mut headers = properties.headers().clone().unwrap_or_default();
    headers.insert(short("shard"), AMQPValue::LongLongInt(shard.into()));
    headers.insert(short("shard-generation"), AMQPValue::LongLongInt(generation.into()));
    properties.with_headers(headers)
}
