//! One request as a client words it, read and checked.

use crate::config::{Class, PlatformSettings};
use crate::fields;
use bytes::Bytes;
use stagehoist::Micros;
use stagehoist_gateway::state::FunctionProperties;
use std::rc::Rc;

/// Time kept for the answer's way and for this process, so that the whole answer is there in time.
pub const ANSWER_TRANSIT: Micros = 5_000;
/// What a figure of a call may be at most; beyond it makes no sense on any machine.
const MAX_FIGURE: f64 = 1e7;

/// What clients may name.
#[derive(Clone, Debug)]
pub struct Catalog {
    classes: Vec<Class>,
    tenants: Vec<String>,
    max_memory_mb: f64,
}

impl From<&PlatformSettings> for Catalog {
    fn from(settings: &PlatformSettings) -> Catalog {
        let memory_most_mb = settings.max_memory_mb;
        Catalog {
            classes: settings.classes.clone(),
            tenants: settings.tenants.clone(),
            max_memory_mb: memory_most_mb,
        }
    }
}

/// A request as a client asked it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Its id, as a number and as it came.
    pub reference: u64,
    pub id: Rc<str>,
    pub function: Rc<str>,
    pub figures: FunctionProperties,
    pub tenant: u32,
    /// Time until the client times out, the answer's way taken off.
    pub budget: Micros,
    pub body: Bytes,
}

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    #[error("words missing")]
    Words,
    #[error("fields can't be read")]
    Fields,
    #[error("no id or none of 16 hex digits")]
    Id,
    #[error("unknown class")]
    Class,
    #[error("unknown tenant")]
    Tenant,
    #[error("no function or none of 16 hex digits")]
    Function,
    #[error("a figure is no number or out of range")]
    Figure,
}

/// What the words of a request ask.
pub(crate) fn parse_request(words: &[Vec<u8>], catalog: &Catalog) -> Result<ClientRequest, Unusable> {
    let (4 | 5, Some(class), Some(list)) = (words.len(), words.get(2), words.get(3)) else {
        return Err(Unusable::Words);
    };
    let fields = fields::parse(list).map_err(|_| Unusable::Fields)?;
    let get = |name| fields::get(&fields, name);
    let id = get("ref").ok_or(Unusable::Id)?;
    let reference = fields::hex16(id.as_bytes()).ok_or(Unusable::Id)?;
    let at = catalog.classes.iter().position(|c| c.name.as_bytes() == class.as_slice());
    let at = at.ok_or(Unusable::Class)?;
    let tenant = match get("project") {
        None if catalog.tenants.is_empty() => 0,
        None => return Err(Unusable::Tenant),
        Some(name) => catalog.tenants.iter().position(|t| t == name).ok_or(Unusable::Tenant)?,
    };
    let function = get("lookup").ok_or(Unusable::Function)?;
    let number = fields::hex16(function.as_bytes()).ok_or(Unusable::Function)?;
    let within = |text: &str, least: f64, most: f64| {
        fields::number(text).filter(|v| (least..=most).contains(v)).ok_or(Unusable::Figure)
    };
    let allow = within(get("allow").ok_or(Unusable::Figure)?, 0.0, MAX_FIGURE)?;
    let allow = (allow * 1000.0) as Micros;
    let hard_limit = catalog.classes[at].hard_limit;
    if allow <= 0 || allow > hard_limit + hard_limit / 100 {
        return Err(Unusable::Figure);
    }
    let work = get("effort").map(|t| within(t, 0.0, MAX_FIGURE)).transpose()?;
    let mut figures = FunctionProperties {
        id: number,
        class: at as u16,
        memory_mb: 0.0,
        concurrency: 1.0,
        load_time: 0,
        work: work.map(|ms| (ms * 1000.0) as Micros),
    };
    for pair in fields::pairs(get("extras").unwrap_or_default()) {
        let (name, value) = pair.ok_or(Unusable::Figure)?;
        let most = match name {
            "memory_mb" => catalog.max_memory_mb,
            "lanes" | "per_copy" => 10_000.0,
            _ => MAX_FIGURE,
        };
        if !(0.0..=most).contains(&value) {
            return Err(Unusable::Figure);
        }
        match name {
            "memory_mb" => figures.memory_mb = value,
            "lanes" | "per_copy" => figures.concurrency = value,
            "load_ms" | "warm_ms" => figures.load_time = (value * 1000.0) as Micros,
            _ => {}
        }
    }
    Ok(ClientRequest {
        reference,
        id: id.into(),
        function: function.into(),
        figures,
        tenant: tenant as u32,
        budget: (allow - ANSWER_TRANSIT).max(0),
        body: words.get(4).map(|b| Bytes::copy_from_slice(b)).unwrap_or_default(),
    })
}
