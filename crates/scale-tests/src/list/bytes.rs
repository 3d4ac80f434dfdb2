//! The list as real bytes: the event bus' frames, and Consul's health API with all documented fields of an entry.

use crate::front_end::hash;
use serde_json::json;
use stagehoist_platform::endpoint_events::RECORD_LENGTH;

/// Length, number and kind of a frame.
pub const FRAME_HEAD: usize = 13;

/// A frame of the event subscription: the whole list or changes of these places, in this state (0 ready, 1 draining, 2 gone).
pub fn frame(number: u64, whole: bool, places: impl Iterator<Item = (u32, u8)>, started_ms: u64) -> Vec<u8> {
    let mut frame = vec![0; FRAME_HEAD];
    frame[4..12].copy_from_slice(&number.to_be_bytes());
    frame[12] = if whole { 1 } else { 2 };
    for (place, state) in places {
        let id = hash(u64::from(place)) as u32;
        frame.extend(id.to_be_bytes());
        frame.extend([10, (place >> 16) as u8, (place >> 8) as u8, place as u8]);
        frame.extend(7000u16.to_be_bytes());
        frame.extend([state, (place % 7) as u8, 0]);
        frame.extend(((place % 84) as u16).to_be_bytes());
        frame.extend(20_000u32.to_be_bytes());
        frame.extend(started_ms.to_be_bytes());
    }
    let length = (frame.len() - 4) as u32;
    frame[..4].copy_from_slice(&length.to_be_bytes());
    debug_assert_eq!((frame.len() - FRAME_HEAD) % RECORD_LENGTH, 0);
    frame
}

/// An empty frame: the event subscription lives.
pub fn heartbeat(number: u64) -> Vec<u8> {
    let mut frame = vec![0; FRAME_HEAD];
    frame[3] = 9;
    frame[4..12].copy_from_slice(&number.to_be_bytes());
    frame
}

/// The body of `GET /v1/health/service/worker` with so many instances.
pub fn consul(lines: u32) -> Vec<u8> {
    let mut body = Vec::from(b"[");
    for place in 0..lines {
        if place > 0 {
            body.push(b',');
        }
        body.extend(entry(place).to_string().into_bytes());
    }
    body.push(b']');
    body
}

fn entry(place: u32) -> serde_json::Value {
    let host = format!("10.{}.{}.{}", place >> 16 & 255, place >> 8 & 255, place & 255);
    let (node, id) = (format!("node-{place:06}"), format!("worker-{place:06}"));
    let check = |check: &str, name: &str, service: &str, output: &str| {
        json!({
            "Node": node, "CheckID": check, "Name": name, "Status": "passing", "Notes": "", "Output": output,
            "ServiceID": service, "ServiceName": "worker", "ServiceTags": [], "Type": "http", "Interval": "10s",
            "Timeout": "1s", "ExposedPort": 0, "Definition": {}, "CreateIndex": 1_000_000 + place,
            "ModifyIndex": 2_000_000 + place
        })
    };
    let number = hash(u64::from(place));
    json!({
        "Node": {
            "ID": format!("{number:08x}-0000-4000-8000-{number:012x}"), "Node": node, "Address": host,
            "Datacenter": "region-a", "TaggedAddresses": {"lan": host, "wan": host},
            "Meta": {"consul-network-segment": ""}, "CreateIndex": 1_000_000 + place, "ModifyIndex": 1_000_000 + place
        },
        "Service": {
            "ID": id, "Service": "worker", "Tags": [], "Address": host, "Port": 7000,
            "TaggedAddresses": {"lan_ipv4": {"Address": host, "Port": 7000}},
            "Meta": {"zone": format!("zone-{}", place % 7), "kind": "large", "cell": (place % 84).to_string(),
                "capacity": "20", "started": "1796000000000", "state": "ready"},
            "Weights": {"Passing": 1, "Warning": 1}, "EnableTagOverride": false,
            "Proxy": {"Mode": "", "MeshGateway": {}, "Expose": {}}, "Connect": {},
            "CreateIndex": 1_000_000 + place, "ModifyIndex": 2_000_000 + place
        },
        "Checks": [
            check("serfHealth", "Serf Health Status", "", "Agent alive and reachable"),
            check(&format!("service:{id}"), "ready", &id, "HTTP GET /v2/health/ready: 200 OK")
        ]
    })
}
