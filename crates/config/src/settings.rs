//! What the module is told, and what is looked up in a configuration.

use crate::model::{Class, Config, Function};
use stagehoist::{ClassSettings, ReportField, Settings};

impl Config {
    /// What the module is told at its start.
    pub fn settings(&self) -> Settings {
        let class = |c: &Class| ClassSettings {
            aim: c.aim,
            aim_stretch: c.aim_stretch,
            effect: c.effect,
            worth: c.worth,
            late_worth: c.late_worth,
            streaming: false,
        };
        let (load_window, load_free, load_share) = self.load_ration.unwrap_or((0, 0.0, 0.0));
        let zone = self.zone.as_ref().and_then(|zone| self.zones.iter().position(|z| z == zone));
        Settings {
            front_ends: self.fleet_front_ends,
            zone: zone.unwrap_or(0) as u32,
            classes: self.classes.iter().map(class).collect(),
            tenant_quota: self.tenants.iter().map(|t| t.quota).collect(),
            over_share_worth: self.over_share_worth,
            worth_by_work: self.worth_by_work,
            tick: self.batch_interval,
            ask_discovery: self.list_subscribe,
            ask_within: self.list_ask_within,
            drain_grace: self.drain_grace,
            fall_window: self.cold_window,
            fall_multiple: self.cold_multiple,
            start_share: self.cold_share,
            warm_up: self.warm_up,
            max_attempts: self.attempts,
            second_copies: self.second_copies,
            may_cancel: self.cancel,
            may_probe: self.probe,
            may_order: self.order_loads,
            may_tell: false,
            tells_warm: self.answers_tell_copy,
            tells_crowd: self.answers_tell_crowd,
            connect_timeout: self.connect_timeout,
            max_retry_after: self.retry_after_most,
            keep: self.idle_keep,
            on_miss: self.on_miss,
            order_timeout: self.load_timeout,
            order_delay: self.load_timeout,
            load_window,
            load_free,
            load_share,
            retry_budget: self.retry_budget,
            memory_mb: self.kinds.iter().map(|k| k.memory as f64 / 1e6).collect(),
            memory_price: self.price_memory,
            price_probe: self.price_probe,
            price_cross_zone: self.price_cross_zone,
            price_fetch: self.price_fetch,
            report: self.report_fields.iter().map(|f| report_field(f)).collect(),
            report_via: self.report_via,
        }
    }

    /// The function directive that takes a name: an exact one before the longest pattern.
    pub fn function(&self, name: &str) -> Option<&Function> {
        let takes = self.functions.iter().filter(|f| f.takes(name));
        takes.max_by_key(|f| (!f.pattern.ends_with('*'), f.pattern.len()))
    }

    /// The place of a class among the classes.
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
