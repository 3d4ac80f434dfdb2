//! Settings passed to the core module, and lookups in a configuration.

use crate::model::{Class, Config, Function};
use stagehoist::{ClassSettings, ReportField, Settings};

impl Config {
    /// Returns the settings that the core module is started with.
    pub fn settings(&self) -> Settings {
        let class = |c: &Class| ClassSettings {
            latency_objective: c.aim,
            objective_work_factor: c.aim_stretch,
            effect: c.effect,
            priority_weight: c.worth,
            late_value: c.late_worth,
            streaming: false,
        };
        let (load_window, load_free, load_share) = self.load_ration.unwrap_or((0, 0.0, 0.0));
        let zone = self.zone.as_ref().and_then(|zone| self.zones.iter().position(|z| z == zone));
        Settings {
            front_ends: self.fleet_front_ends,
            zone: zone.unwrap_or(0) as u32,
            classes: self.classes.iter().map(class).collect(),
            tenant_quotas: self.tenants.iter().map(|t| t.quota).collect(),
            over_quota_weight: self.over_quota_weight,
            weight_by_work: self.weight_by_work,
            tick: self.batch_interval,
            subscribe_endpoints: self.list_subscribe,
            poll_within: self.list_ask_within,
            drain_grace: self.drain_grace,
            overload_window: self.cold_window,
            overload_factor: self.cold_multiple,
            start_capacity: self.cold_share,
            warm_up: self.warm_up,
            max_attempts: self.attempts,
            hedging: self.second_copies,
            may_cancel: self.cancel,
            may_health_check: self.probe,
            may_order_loads: self.order_loads,
            may_gossip: false,
            answers_report_copy: self.answers_tell_copy,
            answers_report_concurrency: self.answers_tell_crowd,
            connect_timeout: self.connect_timeout,
            max_retry_after: self.max_retry_after,
            idle_retention: self.idle_keep,
            on_miss: self.on_miss,
            load_timeout: self.load_timeout,
            load_delay: self.load_timeout,
            load_window,
            load_free,
            load_share,
            retry_budget: self.retry_budget,
            memory_mb: self.kinds.iter().map(|k| k.memory as f64 / 1e6).collect(),
            price_memory: self.price_memory,
            price_health_check: self.price_probe,
            price_cross_zone: self.price_cross_zone,
            price_fetch: self.price_fetch,
            report_fields: self.report_fields.iter().map(|f| report_field(f)).collect(),
            report_channel: self.report_via,
        }
    }

    /// Returns the function directive that matches a name. An exact name wins over patterns, a longer pattern over a shorter one.
    pub fn function(&self, name: &str) -> Option<&Function> {
        let matching = self.functions.iter().filter(|f| f.matches(name));
        matching.max_by_key(|f| (!f.pattern.ends_with('*'), f.pattern.len()))
    }

    /// Returns the index of a class.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }
}

fn report_field(name: &str) -> ReportField {
    match name {
        "inflight" => ReportField::InFlight,
        "queue" => ReportField::Queue,
        "busy" => ReportField::Busy,
        _ => ReportField::Other,
    }
}
