//! The settings text: `path=value` lines.

use super::error::{SettingError, WireError};
use super::fields::micros;
use crate::interface::*;
use std::collections::HashMap;

/// Maximum number of front ends, of classes and of tenants, and maximum zone number.
const MAX_COUNT: f64 = 65_536.0;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: f64 = 60_000.0;

/// Reads the settings of a front end: `path=value` lines. Unknown keys are ignored. An absent key gets the default that
/// requires least of the workers and the platform (a permission: no; a price, limit or window: none).
///
/// # Errors
/// Returns the error of the first key whose value can't be read.
pub fn parse_settings(text: &str) -> Result<Settings, WireError> {
    let lines = Lines::new(text);
    Ok(Settings {
        front_ends: lines.count("balancers")?.max(1) as u32,
        zone: lines.count("zone")? as u32,
        classes: classes(&lines)?,
        tenant_quotas: tenant_quotas(&lines)?,
        over_quota_weight: lines.number("over_share_worth", 1.0)?,
        weight_by_work: lines.get("counted_by") == Some("work"),
        tick: lines.duration("granularity", 1.0)?,
        subscribe_endpoints: lines.get("registry_mode") == Some("subscribe"),
        poll_within: lines.duration("invariants.ask_within", 0.0)?,
        drain_grace: lines.duration("invariants.drain_grace", 0.0)?,
        overload_window: lines.duration("invariants.fall", 0.0)?,
        overload_factor: lines.number("invariants.overload_factor", 1.0)?,
        start_capacity: lines.number("invariants.start_capacity", 1.0)?,
        warm_up: lines.duration("invariants.warm_up", 0.0)?,
        max_attempts: lines.number("limits.most_tries", 1.0)?.clamp(1.0, MAX_ATTEMPTS) as u32,
        hedging: lines.flag("limits.second_copies")?,
        may_cancel: lines.flag("limits.cancel")?,
        may_health_check: lines.flag("limits.probes")?,
        may_order_loads: lines.flag("specifics.placement_calls")?,
        may_gossip: lines.flag("limits.peers")?,
        answers_report_copy: lines.flag("specifics.tells_warm")?,
        answers_report_concurrency: lines.flag("specifics.counts_alike")?,
        connect_timeout: lines.duration("limits.connect_timeout", 0.0)?,
        max_retry_after: max_retry_after(&lines)?,
        idle_retention: lines.duration("specifics.idle_life", 0.0)?,
        on_miss: on_miss(&lines),
        load_timeout: lines.duration("specifics.load_wait", 0.0)?,
        load_delay: 0,
        load_window: lines.duration("specifics.loads_within", 0.0)?,
        load_free: lines.number("specifics.load_free", 0.0)?,
        load_share: lines.number("specifics.load_part", 0.0)?,
        retry_budget: RetryBudget::default(),
        memory_mb: memory_mb(&lines)?,
        price_memory: lines.number("specifics.memory_price", 0.0)?,
        price_health_check: lines.number("tariffs.probe", 0.0)?,
        price_cross_zone: lines.number("tariffs.cross_zone", 0.0)?,
        price_fetch: lines.number("tariffs.origin", 0.0)?,
        report_fields: report_fields(&lines),
        report_channel: report_channel(&lines),
    })
}

/// The lines of a settings text by key.
struct Lines<'a>(HashMap<&'a str, &'a str>);

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Lines<'a> {
        Lines(text.lines().filter_map(|line| line.split_once('=')).collect())
    }

    /// The value of a key, unless it is empty.
    fn get(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).map(|value| value.trim()).filter(|value| !value.is_empty())
    }

    fn number(&self, key: &str, default: f64) -> Result<f64, WireError> {
        let Some(text) = self.get(key) else { return Ok(default) };
        number(text).ok_or_else(|| error(key, SettingError::Number))
    }

    /// A duration in milliseconds.
    fn duration(&self, key: &str, default: f64) -> Result<Micros, WireError> {
        self.number(key, default).map(micros)
    }

    fn flag(&self, key: &str) -> Result<bool, WireError> {
        match self.get(key) {
            None => Ok(false),
            Some(value) if value.eq_ignore_ascii_case("true") || value == "1" => Ok(true),
            Some(value) if value.eq_ignore_ascii_case("false") || value == "0" => Ok(false),
            Some(_) => Err(error(key, SettingError::Flag)),
        }
    }

    fn count(&self, key: &str) -> Result<usize, WireError> {
        let count = self.number(key, 0.0)?;
        if count > MAX_COUNT {
            return Err(error(key, SettingError::Count));
        }
        Ok(count as usize)
    }

    /// The comma-separated parts of a value.
    fn list(&self, key: &str) -> Vec<&'a str> {
        self.get(key).map(|value| value.split(',').map(str::trim).collect()).unwrap_or_default()
    }
}

fn number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)
}

fn error(key: &str, source: SettingError) -> WireError {
    WireError::Setting { key: key.to_string(), source }
}

fn classes(lines: &Lines<'_>) -> Result<Vec<ClassSettings>, WireError> {
    let count = lines.count("classes.count")?;
    if count == 0 {
        return Err(error("classes.count", SettingError::Missing));
    }
    (0..count).map(|number| class(lines, number)).collect()
}

fn class(lines: &Lines<'_>, number: usize) -> Result<ClassSettings, WireError> {
    let key = |name: &str| format!("classes.{number}.{name}");
    let effect = effect(lines, &key)?;
    let limit = lines.number(&key("hard_limit"), 0.0)?;
    let objective = lines.number(&key("aim"), limit)?;
    if objective <= 0.0 {
        return Err(error(&key("aim"), SettingError::NotPositive));
    }
    Ok(ClassSettings {
        latency_objective: micros(objective),
        objective_work_factor: lines.number(&key("aim_stretch"), 0.0)?,
        effect,
        priority_weight: lines.number(&key("gain"), 1.0)?,
        late_value: lines.number(&key("late_worth"), 0.0)?,
        streaming: lines.flag(&key("streaming"))?,
    })
}

fn effect(lines: &Lines<'_>, key: &impl Fn(&str) -> String) -> Result<Effect, WireError> {
    match lines.get(&key("effect")) {
        Some("idempotent") => Ok(Effect::Idempotent),
        Some("deduplicated") => {
            let scope = match lines.get(&key("dedup_scope")) {
                Some("all") => DeduplicationScope::All,
                Some("zone") => DeduplicationScope::Zone,
                _ => DeduplicationScope::Cell,
            };
            Ok(Effect::IdempotentWithKey { scope, window: lines.duration(&key("key_ttl"), 0.0)? })
        }
        Some("at_most_once") | None => Ok(Effect::NonIdempotent),
        Some(_) => Err(error(&key("effect"), SettingError::Word)),
    }
}

fn tenant_quotas(lines: &Lines<'_>) -> Result<Vec<f64>, WireError> {
    let count = lines.count("parties.count")?;
    (0..count).map(|number| lines.number(&format!("parties.{number}.allowance_per_s"), 0.0)).collect()
}

fn max_retry_after(lines: &Lines<'_>) -> Result<Micros, WireError> {
    if lines.flag("limits.retry_after")? {
        lines.duration("limits.max_retry_after", 0.0)
    } else {
        Ok(0)
    }
}

fn on_miss(lines: &Lines<'_>) -> OnMiss {
    match lines.get("specifics.if_cold") {
        Some("miss") => OnMiss::Miss,
        _ => OnMiss::Load,
    }
}

fn memory_mb(lines: &Lines<'_>) -> Result<Vec<f64>, WireError> {
    let key = "specifics.ram_mb_by_kind";
    let memory = lines.list(key).into_iter().map(number).collect::<Option<Vec<f64>>>();
    memory.ok_or_else(|| error(key, SettingError::NumberList))
}

fn report_fields(lines: &Lines<'_>) -> Vec<ReportField> {
    let field = |name: &str| match name {
        "rif" => ReportField::InFlight,
        "q" => ReportField::Queue,
        "busy" => ReportField::Busy,
        _ => ReportField::Other,
    };
    lines.list("load_info.fields").into_iter().map(field).collect()
}

fn report_channel(lines: &Lines<'_>) -> ReportChannel {
    match lines.get("load_info.via") {
        Some("inline") => ReportChannel::Answers,
        Some("on_probe") => ReportChannel::HealthChecks,
        _ => ReportChannel::None,
    }
}
