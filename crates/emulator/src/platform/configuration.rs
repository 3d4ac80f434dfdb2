//! The configuration that the platform gives a front end, as JSON.

use super::Executor;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The configuration of a front end that reaches these executors, each at its first address.
pub fn configuration(executors: &[Executor], bus: SocketAddr, sockets: u64) -> Value {
    let hosts = executors.iter().map(|executor| host(executor.id, executor.address, "ready")).collect();
    document(hosts, bus, sockets)
}

/// An executor in the list of the start.
pub fn host(id: u32, address: SocketAddr, health: &str) -> Value {
    json!({"host": format!("s-{id:08x}"), "dial": address.to_string(), "site": "here",
        "class": "std", "block": 0, "health": health, "share": 8.0, "born_ms": 0})
}

/// The configuration with these executors in its list; event 1 is the last that it holds.
pub fn document(hosts: Vec<Value>, bus: SocketAddr, sockets: u64) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim": 800.0, "hard_limit": 2000.0, "effect": effect,
        "gain": 1.0, "late_worth": 0.1})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "bus": bus.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"seq": 0, "whole": true, "hosts": hosts}}]},
        "settings": {"areas": ["here"], "machine_types": ["std"], "balancers": 1, "granularity": 1.0, "zone": 0,
            "classes": [class("look", "idempotent"), class("book", "at_most_once")],
            "parties": [{"name": "acme", "allowance_per_s": 1000.0}],
            "limits": {"cancel": true, "probes": true, "connect_timeout": 250.0, "idle_close": 30000.0, "most_tries": 3,
                "multiplex": 32, "most_held": 2000, "second_copies": true, "retry_after": false},
            "load_info": {"fields": ["rif", "x0"], "via": "on_probe"},
            "invariants": {"drain_grace": 250.0, "fall": 1000.0, "overload_factor": 2.0, "start_capacity": 0.3,
                "warm_up": 5000.0},
            "specifics": {"if_cold": "miss", "idle_life": 4000.0, "load_wait": 3000.0, "placement_calls": true,
                "counts_alike": true, "ram_mb_by_kind": [100000.0], "load_free": 6.0, "load_part": 0.1,
                "loads_within": 10000.0}}})
}
