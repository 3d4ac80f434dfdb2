//! Renders a configuration as text, one directive per line. Parsing that text gives the same configuration.

use crate::fleet::{Fleet, ReplicaSettings};
use crate::model::{Config, Function, ListSource};
use crate::value::{format_duration as d, format_size};
use crate::words::quoted;
use stagehoist::{DeduplicationScope, Effect, OnMiss, ReportChannel};
use std::fmt::Write;

fn yes_no(flag: bool) -> &'static str {
    if flag {
        "yes"
    } else {
        "no"
    }
}

impl Config {
    /// Returns the configuration as text, with every directive written out.
    pub fn render(&self) -> String {
        let mut out = String::new();
        let mut line = |text: String| {
            // Writing to a string never fails.
            let _ = writeln!(out, "{text}");
        };
        line(format!("front-ends {}", self.front_ends));
        line(format!("fleet-front-ends {}", self.fleet_front_ends));
        line(format!("seed {}", self.seed));
        line(format!("batch-interval {}", d(self.batch_interval)));
        line(format!("held-most {}", self.max_held_calls));
        line(format!("held-bytes-most {}", format_size(self.max_held_bytes)));
        line(format!("body-most {}", format_size(self.max_body_size)));
        line(format!("answer-margin {}", d(self.answer_margin)));
        line(format!("drain-most {}", d(self.drain_timeout)));
        for listen in &self.listen {
            line(format!("listen metrics {}", listen.address));
        }
        for c in &self.classes {
            let effect = match c.effect {
                Effect::Idempotent => "safe".to_string(),
                Effect::NonIdempotent => "unsafe".to_string(),
                Effect::IdempotentWithKey { scope: group, window } => {
                    let group = match group {
                        DeduplicationScope::All => "all",
                        DeduplicationScope::Zone => "zone",
                        DeduplicationScope::Cell => "cell",
                    };
                    format!("keyed group {group} window {}", d(window))
                }
            };
            line(format!(
                "class {} aim {} give-up {} effect {effect} worth {} late-worth {} aim-stretch {}",
                quoted(&c.name),
                d(c.aim),
                d(c.give_up),
                c.worth,
                c.late_worth,
                c.aim_stretch
            ));
        }
        for f in &self.functions {
            line(format!(
                "function {} class {} memory {} lanes {} load {} work {}{}{}",
                quoted(&f.pattern),
                quoted(&f.class),
                format_size(f.memory),
                f.lanes,
                d(f.load),
                d(f.work),
                if self.fleet.is_some() { generation(f) } else { String::new() },
                self.sharding.as_ref().map_or(String::new(), |s| s.of_function(&f.pattern))
            ));
        }
        for t in &self.tenants {
            let functions = self.sharding.as_ref().map_or(String::new(), |s| s.of_tenant(&t.name));
            line(format!("tenant {} quota {}/s{functions}", quoted(&t.name), t.quota));
        }
        line(format!("over-share-worth {}", self.over_quota_weight));
        line(format!("worth-by {}", if self.weight_by_work { "work" } else { "call" }));
        for b in &self.brokers {
            line(format!("broker {}", quoted(&b.url)));
        }
        for c in &self.consume {
            let declare = match c.declare {
                None => "no",
                Some(true) => "durable",
                Some(false) => "transient",
            };
            let prefetch = c.prefetch.map_or(String::new(), |n| format!(" prefetch {n}"));
            line(format!("consume {}{prefetch} declare {declare}", quoted(&c.queue)));
        }
        line(format!("heartbeat {}", d(self.heartbeat)));
        line(format!("reconnect first {} most {}", d(self.reconnect.0), d(self.reconnect.1)));
        line(format!("confirm-timeout {}", d(self.confirm_timeout)));
        line(format!("replies {}", if self.transactions { "transaction" } else { "confirm" }));
        line(format!("doubtful-reply {}", if self.resend_doubtful { "resend" } else { "withhold" }));
        line(format!("answer-memory count {} keep {}", self.answer_memory.0, d(self.answer_memory.1)));
        match &self.list {
            ListSource::Consul { address, service, wait } => {
                line(format!(
                    "worker-list consul {} service {} wait {}",
                    quoted(address),
                    quoted(service),
                    d(*wait)
                ));
            }
            ListSource::File { path, poll } => {
                line(format!("worker-list file {} poll {}", quoted(path), d(*poll)))
            }
        }
        line(format!("workers-most {}", self.max_workers));
        line(format!("list-subscribe {}", yes_no(self.list_subscribe)));
        line(format!("list-ask-within {}", d(self.list_ask_within)));
        line(format!("list-initial-wait {}", d(self.list_initial_wait)));
        for k in &self.kinds {
            line(format!("worker-kind {} memory {}", quoted(&k.name), format_size(k.memory)));
        }
        if !self.zones.is_empty() {
            line(format!("zone-names {}", quoted(&self.zones.join(","))));
        }
        if let Some(zone) = &self.zone {
            line(format!("zone {}", quoted(zone)));
        }
        line(format!("drain-grace {}", d(self.drain_grace)));
        line(format!(
            "cold-start window {} multiple {} share {} warm-up {}",
            d(self.cold_window),
            self.cold_multiple,
            self.cold_share,
            d(self.warm_up)
        ));
        line(format!("attempts {}", self.attempts));
        line(format!("second-copies {}", yes_no(self.second_copies)));
        line(format!("cancel {}", yes_no(self.cancel)));
        line(format!("probe {}", yes_no(self.probe)));
        line(format!("order-loads {}", yes_no(self.order_loads)));
        line(format!("answers-tell-copy {}", yes_no(self.answers_tell_copy)));
        line(format!("answers-tell-crowd {}", yes_no(self.answers_tell_crowd)));
        line(format!("connect-timeout {}", d(self.connect_timeout)));
        line(format!("idle-connections close {} most {}", d(self.idle_close), self.max_idle_connections));
        line(format!("retry-after-most {}", d(self.max_retry_after)));
        line(format!("idle-keep {}", d(self.idle_keep)));
        line(format!("on-miss {}", if self.on_miss == OnMiss::Miss { "miss" } else { "load" }));
        line(format!("load-timeout {}", d(self.load_timeout)));
        if let Some((window, free, share)) = self.load_ration {
            line(format!("load-ration window {} free {free} share {share}", d(window)));
        }
        let budget = &self.retry_budget;
        let window = d(budget.window);
        line(format!("retry-budget window {window} free {} share {}", budget.free, budget.share));
        line(format!(
            "price memory {} probe {} cross-zone {} fetch {}",
            self.price_memory, self.price_probe, self.price_cross_zone, self.price_fetch
        ));
        match self.report_via {
            ReportChannel::None => line("reports never".into()),
            ReportChannel::Answers => {
                line(format!("reports answers fields {}", quoted(&self.report_fields.join(","))))
            }
            ReportChannel::HealthChecks => {
                line(format!("reports probe fields {}", quoted(&self.report_fields.join(","))))
            }
        }
        if let Some(marks) = &self.marks {
            line(format!("marks {} keep {} most {}", quoted(&marks.folder), d(marks.keep), marks.most));
        }
        if let Some(sharding) = &self.sharding {
            sharding.lines(&self.zones).into_iter().for_each(&mut line);
        }
        if let Some(list) = &self.front_ends_list {
            line(list.line());
        }
        if let Some(fleet) = &self.fleet {
            fleet.lines().into_iter().for_each(line);
        }
        out
    }
}

fn generation(f: &Function) -> String {
    format!(" generation {} retire {}", f.generation, if f.strict { "strict" } else { "available" })
}

impl Fleet {
    fn lines(&self) -> Vec<String> {
        let mut out = vec![format!("member {}", quoted(&self.member))];
        out.extend(self.keepers.iter().map(|(number, address)| format!("keeper {number} {address}")));
        let keep =
            |k: &ReplicaSettings| format!("keep {} listen {} store {}", k.number, k.listen, quoted(&k.store));
        out.extend(self.keep.as_ref().map(keep));
        out.extend(self.folder.as_ref().map(|f| format!("fleet-folder {}", quoted(f))));
        out.push(format!("view-lease {}", d(self.view_lease)));
        out.push(format!("drift {}", self.drift));
        out.push(format!("remember {}", d(self.remember)));
        out.push(format!("asking-most {}", d(self.max_startup_wait)));
        out.extend(self.retirements.as_ref().map(|f| format!("retirements {}", quoted(f))));
        for pool in &self.pools {
            let lanes = pool.permits.map_or("by-workers".to_string(), |n| n.to_string());
            let functions = quoted(&pool.functions.join(","));
            out.push(format!("pool {} functions {functions} lanes {lanes}", quoted(&pool.name)));
            for (tenant, lanes) in &pool.reservations {
                out.push(format!("reserve {} pool {} lanes {lanes}", quoted(tenant), quoted(&pool.name)));
            }
        }
        out.push(format!("pools-edition {}", self.pools_edition));
        out.extend(self.recover.as_ref().map(|r| {
            let (waking, asking, reserved) = (d(r.waking), d(r.asking), d(r.reserved));
            let limits = format!("waking {waking} asking {asking} reserved {reserved}");
            format!("recover {limits} share {} new {}", r.share, d(r.new))
        }));
        out
    }
}
