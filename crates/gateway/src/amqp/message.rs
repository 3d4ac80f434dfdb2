//! A delivery to a call, an answer to a reply.
//!
//! Of a call: the function is the header `function`, else the routing key; the tenant the header `tenant`; the budget
//! `expiration` in milliseconds where that is less than the class's give-up time, less the time that the message waited: by
//! the broker's header `timestamp_in_ms`, else the publisher's `timestamp`, else by its place in the queue. Of a reply: the
//! headers `outcome` (`served`, `refused`, `failed`), `reason`, and `retry-after-ms` with a refusal. Where there is a fleet, the
//! header `generation` tells which use of a function's name a call is for, and what is retired is answered with
//! `retired-generation`, `retired-at` (milliseconds since 1970), `retired-reason` and, where told, `successor`. In a
//! divided fleet a refusal with `other-shard` has `shard` and `shard-generation`: those of the queue that the
//! call belongs to.

use crate::fleet::ClosedReason;
use crate::state::Answer;
use bytes::Bytes;
use stagehoist::Micros;
use stagehoist_amqp::{header_int, header_text, long, short, AMQPValue, BasicProperties, FieldTable};
use stagehoist_config::{ends_numbered, Config};
use stagehoist_sharding::Shard;
use std::collections::HashMap;
use std::rc::Rc;

/// Header that RabbitMQ's message interceptors (and the emulator broker) stamp on what they take.
pub const STAMP: &str = "timestamp_in_ms";

/// What a message asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRequest {
    pub function: Rc<str>,
    pub tenant: u32,
    pub budget: Micros,
    /// The use of the function's name, where the message names one.
    pub generation: Option<u32>,
}

/// Why a message is no call; the word goes into the reply's `reason`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    #[error("header function is no text")]
    MalformedFunction,
    #[error("header generation is no whole number from 1")]
    MalformedGeneration,
    #[error("header tenant is no text")]
    MalformedTenant,
    #[error("header tenant names no tenant of this configuration")]
    UnknownTenant,
    #[error("expiration is no whole number of milliseconds")]
    MalformedExpiration,
    #[error("neither header function nor routing key names a function")]
    NoFunction,
    #[error("body is larger than the configuration takes")]
    TooLarge,
    #[error("its time was over before it was taken")]
    TooLate,
}

impl Unusable {
    /// The word for the reply.
    pub fn reason(self) -> &'static str {
        match self {
            Unusable::MalformedFunction => "malformed-function",
            Unusable::MalformedGeneration => "malformed-generation",
            Unusable::MalformedTenant => "malformed-tenant",
            Unusable::UnknownTenant => "unknown-tenant",
            Unusable::MalformedExpiration => "malformed-expiration",
            Unusable::NoFunction => "no-function",
            Unusable::TooLarge => "too-large",
            Unusable::TooLate => "too-late",
        }
    }
}

/// When a message was published, in microseconds since the Unix epoch, as far as it tells: the broker's stamp, else the
/// publisher's `timestamp`, which counts whole seconds, so that its middle is taken.
pub fn stamp(properties: &BasicProperties) -> Option<Micros> {
    let headers = properties.headers().as_ref();
    let stamped =
        headers.and_then(|h| h.inner().get(STAMP)).and_then(header_int).map(|ms| ms.checked_mul(1000));
    let told = || properties.timestamp().and_then(|s| i64::try_from(s).ok()?.checked_mul(1_000_000));
    // A stamp from before anything could still wait tells of clocks and not of waiting.
    stamped.flatten().or_else(|| Some(told()? + 500_000)).filter(|at| *at > 0)
}

/// Reads messages by a configuration.
#[derive(Debug)]
pub struct Reader {
    config: Rc<Config>,
    tenants: HashMap<String, u32>,
}

impl Reader {
    /// A reader for the tenants of a configuration.
    pub fn new(config: Rc<Config>) -> Reader {
        let tenants = config.tenants.iter().enumerate().map(|(i, t)| (t.name.clone(), i as u32)).collect();
        Reader { config, tenants }
    }

    /// The function that a message names, by its headers or its routing key.
    pub fn function(properties: &BasicProperties, routing_key: &str) -> Result<String, Unusable> {
        let header = properties.headers().as_ref().and_then(|h| h.inner().get("function"));
        let function = match header {
            None | Some(AMQPValue::Void) => routing_key.to_string(),
            Some(_) => properties
                .headers()
                .as_ref()
                .and_then(|h| header_text(h, "function"))
                .ok_or(Unusable::MalformedFunction)?,
        };
        if function.is_empty() {
            return Err(Unusable::NoFunction);
        }
        Ok(function)
    }

    /// What a message asks for. `waited` is how long it waited before it was taken, in microseconds.
    pub fn read(
        &self,
        properties: &BasicProperties,
        routing_key: &str,
        size: u64,
        waited: Micros,
    ) -> Result<CallRequest, Unusable> {
        let none = FieldTable::default();
        let headers = properties.headers().as_ref().unwrap_or(&none);
        let text = |key: &str, wrong: Unusable| match headers.inner().get(key) {
            None | Some(AMQPValue::Void) => Ok(None),
            Some(_) => header_text(headers, key).map(Some).ok_or(wrong),
        };
        let function = Reader::function(properties, routing_key)?;
        let fleet = self.config.fleet.is_some();
        if fleet && ends_numbered(&function) {
            // Later generations are known inside by such names.
            return Err(Unusable::MalformedFunction);
        }
        let generation = match text("generation", Unusable::MalformedGeneration)? {
            Some(text) if fleet => {
                let number = text.parse::<u32>().ok().filter(|n| *n > 0);
                Some(number.ok_or(Unusable::MalformedGeneration)?)
            }
            _ => None,
        };
        let tenant = match text("tenant", Unusable::MalformedTenant)? {
            Some(name) if !self.tenants.is_empty() => {
                *self.tenants.get(&name).ok_or(Unusable::UnknownTenant)?
            }
            _ => 0,
        };
        if size > self.config.body_most {
            return Err(Unusable::TooLarge);
        }
        let give_up = self.config.function(&function).and_then(|f| self.config.class_index(&f.class));
        let give_up = give_up.map_or(i64::MAX / 4, |class| self.config.classes[class].give_up);
        let own = match properties.expiration() {
            None => i64::MAX / 4,
            Some(text) => match text.as_str().parse::<u32>() {
                Ok(ms) => Micros::from(ms) * 1000,
                Err(_) => return Err(Unusable::MalformedExpiration),
            },
        };
        let budget = give_up.min(own) - waited - self.config.answer_margin;
        if budget <= 0 {
            return Err(Unusable::TooLate);
        }
        Ok(CallRequest { function: function.into(), tenant, budget, generation })
    }
}

/// The properties and body of a reply.
pub fn reply(answer: &Answer, correlation: &str) -> (BasicProperties, Bytes) {
    let mut headers = FieldTable::default();
    let mut put = |key: &str, value: AMQPValue| {
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
            put("outcome", long("served"));
            if let Some(kind) = &gated.content_type {
                properties = properties.with_content_type(short(kind));
            }
            gated.body.clone()
        }
        Answer::Retired(retired) => {
            put("outcome", long("failed"));
            put("reason", long("retired"));
            put("retired-generation", AMQPValue::LongLongInt(retired.generation.into()));
            put("retired-at", AMQPValue::LongLongInt(retired.at_ms));
            put("retired-reason", long(&retired.reason));
            if let Some(successor) = &retired.successor {
                put("successor", long(successor));
            }
            Bytes::new()
        }
        Answer::Served { body, content_type } => {
            put("outcome", long("served"));
            if let Some(kind) = content_type {
                properties = properties.with_content_type(short(kind));
            }
            body.clone()
        }
        Answer::Refused { reason, retry_after } => {
            put("outcome", long("refused"));
            put("reason", long(*reason));
            put("retry-after-ms", AMQPValue::LongLongInt((retry_after + 999) / 1000));
            Bytes::new()
        }
        Answer::Failed { reason } => {
            put("outcome", long("failed"));
            put("reason", long(*reason));
            Bytes::new()
        }
    };
    if !correlation.is_empty() {
        properties = properties.with_correlation_id(short(correlation));
    }
    (properties.with_headers(headers).with_delivery_mode(1), body)
}

/// The same properties, and the shard that the call should have been sent to, with its division's generation.
pub fn with_home(properties: BasicProperties, (generation, shard): (u32, Shard)) -> BasicProperties {
    let mut headers = properties.headers().clone().unwrap_or_default();
    headers.insert(short("shard"), AMQPValue::LongLongInt(shard.into()));
    headers.insert(short("shard-generation"), AMQPValue::LongLongInt(generation.into()));
    properties.with_headers(headers)
}
