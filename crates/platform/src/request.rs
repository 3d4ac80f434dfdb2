//! Parses and checks one request of a client.

use crate::config::{Class, PlatformSettings};
use crate::fields;
use bytes::Bytes;
use stagehoist::{ClassSettings, Effect, Micros};
use stagehoist_gateway::state::FunctionProperties;
use std::rc::Rc;

/// Time reserved for the transfer of the answer and for this process, so that the complete answer reaches the client
/// before its timeout.
pub const ANSWER_TRANSIT: Micros = 5_000;
/// Maximum of a numeric property of a call; a larger value is not plausible on any machine.
const MAX_PROPERTY: f64 = 1e7;
/// Maximum length of the field list, which holds the names and numbers of a dozen properties.
const MAX_FIELD_LIST: usize = 4 << 10;

/// The classes, tenants and memory sizes that requests may refer to.
#[derive(Clone, Debug)]
pub struct Catalog {
    classes: Vec<Class>,
    tenants: Vec<String>,
    /// Whether a request of the class must never run twice, by class.
    non_idempotent: Vec<bool>,
    max_memory_mb: f64,
}

impl From<&PlatformSettings> for Catalog {
    fn from(settings: &PlatformSettings) -> Catalog {
        let max_memory = settings.max_memory_mb;
        Catalog {
            classes: settings.classes.clone(),
            tenants: settings.tenants.clone(),
            non_idempotent: settings.settings.classes.iter().map(is_non_idempotent).collect(),
            max_memory_mb: max_memory,
        }
    }
}

fn is_non_idempotent(class: &ClassSettings) -> bool {
    class.effect == Effect::NonIdempotent
}

impl Catalog {
    /// Whether a request of this class must never run twice.
    pub fn is_non_idempotent(&self, class: u16) -> bool {
        self.non_idempotent.get(usize::from(class)).copied().unwrap_or(true)
    }
}

/// A parsed request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The request's id as a number; `id` is the same as text.
    pub reference: u64,
    pub id: Rc<str>,
    pub function: Rc<str>,
    pub properties: FunctionProperties,
    pub tenant: u32,
    /// Time until the client times out, minus [`ANSWER_TRANSIT`].
    pub budget: Micros,
    pub body: Bytes,
}

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    #[error("the request has a wrong number of words")]
    Words,
    #[error("the request's field list is malformed")]
    Fields,
    #[error("the request's field list exceeds its maximum length")]
    FieldListLength,
    #[error("the request's id is missing or is not 16 hex digits")]
    Id,
    #[error("the class is not configured")]
    Class,
    #[error("the tenant is missing or not configured")]
    Tenant,
    #[error("the request's function is missing or is not 16 hex digits")]
    Function,
    #[error("a property of the request is missing, not a number or out of range")]
    Property,
}

/// Parses the words of a request.
pub(crate) fn parse_request(words: &[Vec<u8>], catalog: &Catalog) -> Result<ClientRequest, RequestError> {
    let (4 | 5, Some(class), Some(list)) = (words.len(), words.get(2), words.get(3)) else {
        return Err(RequestError::Words);
    };
    if list.len() > MAX_FIELD_LIST {
        return Err(RequestError::FieldListLength);
    }
    let fields = fields::parse(list).map_err(|_| RequestError::Fields)?;
    let get = |name| fields::get(&fields, name);
    let id = get("ref").ok_or(RequestError::Id)?;
    let reference = fields::hex16(id.as_bytes()).ok_or(RequestError::Id)?;
    let index = catalog.classes.iter().position(|c| c.name.as_bytes() == class.as_slice());
    let index = index.ok_or(RequestError::Class)?;
    let tenant = match get("project") {
        None if catalog.tenants.is_empty() => 0,
        None => return Err(RequestError::Tenant),
        Some(name) => catalog.tenants.iter().position(|t| t == name).ok_or(RequestError::Tenant)?,
    };
    let function = get("lookup").ok_or(RequestError::Function)?;
    let number = fields::hex16(function.as_bytes()).ok_or(RequestError::Function)?;
    let in_range = |text: &str, min: f64, max: f64| {
        fields::number(text).filter(|v| (min..=max).contains(v)).ok_or(RequestError::Property)
    };
    let allow = in_range(get("allow").ok_or(RequestError::Property)?, 0.0, MAX_PROPERTY)?;
    let allow = (allow * 1000.0) as Micros;
    let hard_limit = catalog.classes[index].hard_limit;
    if allow <= 0 || allow > hard_limit + hard_limit / 100 {
        return Err(RequestError::Property);
    }
    let work = get("effort").map(|t| in_range(t, 0.0, MAX_PROPERTY)).transpose()?;
    let mut properties = FunctionProperties {
        id: number,
        class: index as u16,
        memory_mb: 0.0,
        concurrency: 1.0,
        load_time: 0,
        work: work.map(|ms| (ms * 1000.0) as Micros),
    };
    for pair in fields::pairs(get("extras").unwrap_or_default()) {
        let (name, value) = pair.ok_or(RequestError::Property)?;
        let max = match name {
            "memory_mb" => catalog.max_memory_mb,
            "lanes" | "per_copy" => 10_000.0,
            _ => MAX_PROPERTY,
        };
        if !(0.0..=max).contains(&value) {
            return Err(RequestError::Property);
        }
        match name {
            "memory_mb" => properties.memory_mb = value,
            "lanes" | "per_copy" => properties.concurrency = value,
            "load_ms" | "warm_ms" => properties.load_time = (value * 1000.0) as Micros,
            _ => {}
        }
    }
    Ok(ClientRequest {
        reference,
        id: id.into(),
        function: function.into(),
        properties,
        tenant: tenant as u32,
        budget: (allow - ANSWER_TRANSIT).max(0),
        body: words.get(4).map(|b| Bytes::copy_from_slice(b)).unwrap_or_default(),
    })
}
