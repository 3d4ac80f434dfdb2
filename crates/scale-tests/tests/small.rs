//! Rows in small, judged by counts, and each with its negative control.

use stagehoist_scale_tests::lanes as apart;
use stagehoist_scale_tests::plan::lanes;
use stagehoist_scale_tests::{measures as all_measures, Measure, Plan, Row, Size};
use std::process::Command;
use std::sync::OnceLock;

const WHOLE: Plan = Plan { size: Size::Small, seed: 7, control: false, shards: None };
/// Front ends that know one part in three hundred.
const DIVIDED: Plan = Plan { shards: Some(300), ..WHOLE };
const CONTROL: Plan = Plan { control: true, ..WHOLE };

/// Rows that play the scenes of those that count bytes allocated, and the others; the cluster state's have tests of their own.
fn parts() -> [Vec<Measure>; 2] {
    let mut lanes = lanes().into_iter();
    [lanes.next().unwrap(), lanes.next().unwrap()]
}

fn measures() -> Vec<Measure> {
    parts().concat()
}

/// Rows of the first part, or one of them, out of a process of their own: bytes allocated are counted for a whole process, and this
/// one's tests run side by side.
fn measured_apart(plan: &Plan, row: Option<&str>) -> Vec<Row> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stagehoist-scale-tests"));
    command.args(["small", "--seed", &plan.seed.to_string(), "--lane", "0"]);
    let shards = plan.shards.map(|shards| format!("--shards={shards}"));
    let row = row.map(|name| format!("--row={name}"));
    command.args(plan.control.then_some("--control")).args(shards).args(row);
    let output = command.output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap().lines().map(|line| apart::row(line).unwrap()).collect()
}

/// All rows, in their order.
fn rows(plan: &Plan) -> Vec<Row> {
    let [counting, others] = parts();
    let mut rows = measured_apart(plan, None);
    assert_eq!(rows.len(), counting.len());
    rows.extend(others.into_iter().map(|m| (m.run)(plan).unwrap()));
    rows
}

/// Those of the plain plan, measured once.
fn whole() -> &'static [Row] {
    static ROWS: OnceLock<Vec<Row>> = OnceLock::new();
    ROWS.get_or_init(|| rows(&WHOLE))
}

fn measured(name: &str, plan: &Plan) -> Row {
    let measure = *measures().iter().find(|m| m.name == name).expect("a row of that name");
    let row = match name.contains("memory") {
        true => measured_apart(plan, Some(name)).pop().expect("a row of the first part"),
        false => (measure.run)(plan).unwrap(),
    };
    assert_eq!(row.subject.name, name);
    row
}

/// Short by counts in a small run of front ends that know all.
const SHORT: &[&str] = &[
    "descriptors",
    "strangers",
    "strangers-steep",
    "proof-bytes-consul",
    "fleet-hot-shard",
    "list-kept",
    "list-whole-bus-instances",
    "list-whole-consul-instances",
    "list-bytes-consul",
    "source-herd-consul",
];
/// Short also where front ends are divided: the list comes whole to each of them, which takes its part from
/// it.
const SHORT_DIVIDED: &[&str] = &[
    "strangers",
    "proof-bytes-consul",
    "fleet-hot-shard",
    "list-whole-bus-instances",
    "list-whole-consul-instances",
    "list-bytes-consul",
    "source-herd-consul",
];

fn short(rows: &[Row]) -> Vec<&'static str> {
    rows.iter().filter(|r| r.subject.counted && !r.held()).map(|r| r.subject.name).collect()
}

#[test]
fn what_breaks_on_the_way_is_what_is_known_to_break() {
    assert_eq!(short(whole()), SHORT);
}

#[test]
fn divided_front_ends_are_within_their_limits() {
    assert_eq!(short(&rows(&DIVIDED)), SHORT_DIVIDED);
}

#[test]
fn counts_are_the_same_in_every_run() {
    for name in ["descriptors", "cold-needless", "cold-p99-steep", "list-bytes-bus", "event-region"] {
        let (a, b) = (measured(name, &WHOLE), measured(name, &WHOLE));
        assert_eq!(a.points, b.points, "{name}");
    }
}

/// Side by side every row is measured once, and comes out of its permit as it went in.
#[test]
fn lanes_have_every_row_once_and_change_none() {
    let mut named: Vec<&str> = lanes().concat().iter().map(|m| m.name).collect();
    let mut all: Vec<&str> = all_measures().iter().map(|m| m.name).collect();
    named.sort_unstable();
    all.sort_unstable();
    assert_eq!(named, all);
    for name in ["strangers", "proof-bytes-consul-divided", "move-zone"] {
        let row = measured(name, &WHOLE);
        let back = apart::row(&apart::line(&row).unwrap()).unwrap();
        assert_eq!(format!("{row:?}"), format!("{back:?}"));
    }
    assert!(apart::row("{}").is_err());
}

#[test]
fn every_row_has_its_points_over_its_span() {
    assert_eq!(whole().len(), measures().len());
    for (row, measure) in whole().iter().zip(measures()) {
        assert_eq!(row.subject.name, measure.name);
        assert!(row.points.len() >= 3, "{}: {} points", measure.name, row.points.len());
        assert!(row.span() >= 10.0, "{}: a factor of {}", measure.name, row.span());
        let s = &row.subject;
        assert!(!s.source.is_empty() && !s.formula.is_empty() && !s.mechanism.is_empty(), "{}", measure.name);
    }
}

/// A test for each row: with its mechanism off, or a fault put in, it is short.
macro_rules! controls {
    ($($test:ident $name:literal,)*) => {
        mod control {
            $(#[test]
            fn $test() {
                let row = super::measured($name, &super::CONTROL);
                assert!(!row.held(), "{} within {}", row.figure, row.subject.limit);
            })*
        }

        #[test]
        fn every_row_has_a_control() {
            let named = [$($name),*];
            let all: Vec<&str> = measures().iter().map(|m| m.name).collect();
            assert_eq!(named.to_vec(), all);
        }
    };
}

controls! {
    module_share "module-share",
    module_p99 "module-p99",
    module_share_functions "module-share-functions",
    memory "memory",
    memory_functions "memory-functions",
    replaced_share "replaced-share",
    replaced_pause "replaced-pause",
    descriptors "descriptors",
    handshakes "handshakes",
    names_kept "names-kept",
    worker_connections "worker-connections",
    worker_handshakes "worker-handshakes",
    strangers "strangers",
    strangers_steep "strangers-steep",
    cold_needless "cold-needless",
    cold_needless_steep "cold-needless-steep",
    cold_p99 "cold-p99",
    cold_p99_steep "cold-p99-steep",
    proof_call "proof-call",
    proof_call_p50 "proof-call-p50",
    proof_call_busiest "proof-call-busiest",
    proof_control "proof-control",
    proof_control_busiest "proof-control-busiest",
    proof_memory "proof-memory",
    proof_memory_growth "proof-memory-growth",
    proof_bytes_bus "proof-bytes-bus",
    proof_bytes_consul "proof-bytes-consul",
    proof_bytes_consul_divided "proof-bytes-consul-divided",
    fleet_busiest "fleet-busiest",
    fleet_busiest_steep "fleet-busiest-steep",
    fleet_hot_function "fleet-hot-function",
    fleet_empty_shard "fleet-empty-shard",
    fleet_hot_shard "fleet-hot-shard",
    fleet_cold_p99 "fleet-cold-p99",
    fleet_cold_p99_rare "fleet-cold-p99-rare",
    fleet_cold_share "fleet-cold-share",
    move_worker "move-worker",
    move_worker_most "move-worker-most",
    move_front_end "move-front-end",
    move_front_end_most "move-front-end-most",
    move_zone "move-zone",
    move_rack "move-rack",
    move_shard "move-shard",
    list_kept "list-kept",
    list_whole_bus "list-whole-bus",
    list_whole_bus_instances "list-whole-bus-instances",
    list_whole_consul "list-whole-consul",
    list_whole_consul_instances "list-whole-consul-instances",
    list_bytes_bus "list-bytes-bus",
    list_bytes_bus_instances "list-bytes-bus-instances",
    list_bytes_consul "list-bytes-consul",
    list_share_bus "list-share-bus",
    list_share_consul "list-share-consul",
    list_pause_bus "list-pause-bus",
    list_pause_consul "list-pause-consul",
    source_herd_bus "source-herd-bus",
    source_herd_consul "source-herd-consul",
    source_messages "source-messages",
    marks_disk "marks-disk",
    metrics_page "metrics-page",
    log_bytes "log-bytes",
    event_zone "event-zone",
    event_zone_pause "event-zone-pause",
    event_restarts "event-restarts",
    event_rack "event-rack",
    event_region "event-region",
    event_region_pause "event-region-pause",
    event_whole "event-whole",
    event_whole_pause "event-whole-pause",
}
