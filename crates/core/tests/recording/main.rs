//! Compares the module's actions with a recording: front ends run through seeded scenarios, and all of their actions are
//! hashed into digests, which are stored in `recorded.txt`. A refactoring leaves the digests unchanged. A change of decisions
//! changes them, and then the text that the failing test prints becomes the new recording. Nothing in the module depends on
//! the order of a hash map, and actions contain only integers; decisions depend on `exp` of the math library.

mod world;

use stagehoist::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use world::World;

const MS: Micros = 1000;
const STEPS: usize = 1200;
/// Number of front ends that share the workers of a scenario.
const FEW: usize = 2;
const MANY: usize = 30;

/// Short windows, so that each ends many times within a scenario of half a minute.
const BASE: &str = "balancers=2\nclasses.count=3\nclasses.0.aim=600\nclasses.0.effect=idempotent\n\
    classes.0.late_worth=0.2\nclasses.1.aim=800\nclasses.1.effect=deduplicated\nclasses.1.dedup_scope=zone\n\
    classes.1.key_ttl=900\nclasses.1.gain=3\nclasses.2.aim=500\nclasses.2.effect=at_most_once\n\
    granularity=2\ninvariants.drain_grace=1000\ninvariants.fall=300\ninvariants.overload_factor=2\n\
    invariants.start_capacity=0.25\ninvariants.warm_up=2500\nlimits.most_tries=4\nlimits.second_copies=true\n\
    limits.cancel=true\nlimits.connect_timeout=50\nlimits.retry_after=true\nlimits.max_retry_after=3000\n\
    specifics.idle_life=1000\nspecifics.if_cold=load\nspecifics.load_wait=1200\n\
    specifics.ram_mb_by_kind=4000,2500\nzone=0\n";

/// Load orders within a load budget.
const ORDERS: &str = "specifics.if_cold=miss\nspecifics.placement_calls=true\nspecifics.loads_within=2000\n\
    specifics.load_free=4\nspecifics.load_part=0.2\n";

fn settings(more: &str) -> Settings {
    // A later line overrides an earlier one with the same key.
    wire::parse_settings(&format!("{BASE}{more}")).unwrap()
}

/// One recorded scenario.
struct Scenario {
    name: &'static str,
    quiet: bool,
    front_ends: usize,
    settings: Settings,
}

/// Returns the scenarios: kinds of deployments with two front ends, and two more scenarios with thirty.
fn scenarios() -> Vec<Scenario> {
    let probes = "limits.probes=true\nload_info.via=on_probe\nload_info.fields=rif,x0\ntariffs.probe=0.01\n";
    let inline = "load_info.via=inline\nload_info.fields=busy\nregistry_mode=subscribe\nbalancers=6\n";
    let queues =
        "load_info.via=inline\nload_info.fields=q\nlimits.second_copies=false\nclasses.0.late_worth=0\n";
    let tenants = "parties.count=3\nparties.0.allowance_per_s=20\nparties.1.allowance_per_s=60\n\
        parties.2.allowance_per_s=5\nover_share_worth=0.1\n";
    let alone = "limits.cancel=false\nlimits.second_copies=false\nclasses.1.dedup_scope=cell\nbalancers=20\n\
        tariffs.cross_zone=0.2\ninvariants.start_capacity=0.05\n";
    let streams =
        "classes.0.streaming=true\nclasses.0.aim_stretch=2\nclasses.1.dedup_scope=all\ncounted_by=work\n";
    let late = Settings { load_delay: 400 * MS, ..settings(&[ORDERS, probes].concat()) };
    let retry_budget = RetryBudget { window: 2000 * MS, free: 3.0, share: 0.1 };
    let budget = Settings { retry_budget, ..settings(&[ORDERS, tenants].concat()) };
    let one = "limits.most_tries=1\nlimits.second_copies=false\nlimits.cancel=false\n";
    let scenario = |name, quiet, settings| Scenario { name, quiet, front_ends: FEW, settings };
    let large_scenario = |name, settings| Scenario { name, quiet: false, front_ends: MANY, settings };
    vec![
        scenario("load on miss", false, settings("")),
        scenario("load on miss, quiet", true, settings("")),
        scenario("load on miss, tenants", false, settings(&[tenants, inline].concat())),
        scenario(
            "load on miss, orders",
            false,
            settings(&[ORDERS, queues, "specifics.if_cold=load\n"].concat()),
        ),
        scenario("load on miss, cancels, quiet", true, settings("limits.second_copies=false\n")),
        scenario("miss only", false, settings(&[ORDERS, inline].concat())),
        scenario("miss only, late orders, probes", false, late),
        scenario("miss only, retry budget", false, budget),
        scenario("miss only, many front ends", false, settings(&[ORDERS, alone].concat())),
        scenario("streams", false, settings(&[ORDERS, streams, "specifics.loads_within=0\n"].concat())),
        scenario("miss only, one attempt", false, settings(&[ORDERS, one].concat())),
        large_scenario("load on miss, thirty front ends", settings("balancers=30\n")),
        large_scenario(
            "miss only, thirty front ends",
            settings(&[ORDERS, inline, "balancers=30\n"].concat()),
        ),
    ]
}

/// 64-bit FNV-1a hash.
struct Digest(u64);

impl Digest {
    fn add(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

#[derive(Default)]
struct Counts {
    batches: usize,
    events: usize,
    /// Number of actions by kind.
    kinds: BTreeMap<&'static str, usize>,
}

fn kind(action: &Action) -> &'static str {
    match action {
        Action::Send { .. } => "send",
        Action::Reject { .. } => "refuse",
        Action::Fail { .. } => "fail",
        Action::Cancel { .. } => "cancel",
        Action::SetTimer { .. } => "timer",
        Action::HealthCheck { .. } => "probe",
        Action::CloseIdle { .. } => "close idle",
        Action::Gossip { .. } => "tell",
        Action::Log { .. } => "log",
        Action::SubscribeEndpoints { .. } => "watch",
        Action::FetchEndpoints => "fetch",
        Action::Load { .. } => "load",
        Action::Unload { .. } => "drop",
    }
}

/// Formats an action as text. The words are part of the recording and stay the same if the types are renamed.
fn text(action: &Action) -> String {
    match action {
        Action::Send { request, worker, timeout, .. } => {
            format!("Send {{ request: {request}, worker: {worker}, timeout: {timeout} }}")
        }
        Action::Reject { request, retry_after } => {
            format!("Refuse {{ request: {request}, retry_after: {retry_after} }}")
        }
        Action::Fail { request } => format!("Fail {{ request: {request} }}"),
        Action::Cancel { request, attempt } => format!("Cancel {{ request: {request}, attempt: {attempt} }}"),
        Action::SetTimer { after, token } => format!("Timer {{ after: {after}, token: {token} }}"),
        Action::HealthCheck { worker } => format!("Probe {{ worker: {worker} }}"),
        Action::CloseIdle { worker } => format!("CloseIdle {{ worker: {worker} }}"),
        Action::Gossip { peer, bytes } => format!("Tell {{ peer: {peer:?}, bytes: {bytes:?} }}"),
        Action::Log { text } => format!("Log {{ text: {text:?} }}"),
        Action::SubscribeEndpoints { on } => format!("Watch {{ on: {on} }}"),
        Action::FetchEndpoints => "Fetch".to_string(),
        Action::Load { worker, function, copies, .. } => {
            format!("Load {{ worker: {worker}, function: {function}, copies: {copies} }}")
        }
        Action::Unload { worker, function } => format!("Drop {{ worker: {worker}, function: {function} }}"),
    }
}

/// Runs one scenario; returns its digest and the counts of batches, events and actions.
fn run_scenario(scenario: &Scenario, seed: u64) -> (u64, Counts) {
    let Scenario { settings, quiet, front_ends, .. } = scenario;
    let mut world = World::new(settings, seed, *front_ends, *quiet);
    let mut instances: Vec<FrontEnd> =
        (0..*front_ends).map(|k| FrontEnd::new(settings.clone(), seed + 100 * k as u64, world.now)).collect();
    let (mut digest, mut counts) = (Digest(0xcbf2_9ce4_8422_2325), Counts::default());
    for _ in 0..STEPS {
        world.step();
        for (k, front_end) in instances.iter_mut().enumerate() {
            let events = world.take_due(k);
            let mut actions = Vec::new();
            front_end.handle(world.now, &events, &mut actions);
            counts.batches += 1;
            counts.events += events.len();
            let texts: Vec<String> = actions.iter().map(text).collect();
            digest.add(&format!("{k} {} [{}]\n", world.now, texts.join(", ")));
            for action in &actions {
                *counts.kinds.entry(kind(action)).or_default() += 1;
                world.act(k, action);
            }
        }
    }
    for front_end in &instances {
        let TableSizes { workers, functions } = front_end.table_sizes();
        digest.add(&format!("({workers}, {functions})\n"));
    }
    for (name, n) in &world.observed {
        *counts.kinds.entry(name).or_default() += n;
    }
    (digest.0, counts)
}

/// Kinds of actions, and of observations about them, that must all occur; otherwise the digests would not cover the part
/// of the module that produces them. The module does not use the three other kinds of actions.
const REQUIRED_KINDS: [&str; 14] = [
    "send",
    "refuse",
    "fail",
    "cancel",
    "timer",
    "probe",
    "log",
    "watch",
    "load",
    "drop",
    "further attempt",
    "second copy",
    "sent to a cold worker",
    "back where it was",
];

#[test]
fn every_action_matches_the_recording() {
    let mut text = String::new();
    let mut all: BTreeMap<&str, usize> = BTreeMap::new();
    let mut batches = 0;
    for (index, scenario) in scenarios().iter().enumerate() {
        let (digest, counts) = run_scenario(scenario, 7919 + index as u64);
        let kinds: Vec<String> = counts.kinds.iter().map(|(kind, n)| format!("{kind} {n}")).collect();
        let (batch_count, events) = (counts.batches, counts.events);
        writeln!(
            text,
            "{}: {digest:016x}, {batch_count} batches, {events} events; {}",
            scenario.name,
            kinds.join(", ")
        )
        .unwrap();
        counts.kinds.iter().for_each(|(kind, n)| *all.entry(kind).or_default() += n);
        batches += counts.batches;
    }
    assert!(batches >= 20_000, "only {batches} batches");
    let missing: Vec<_> =
        REQUIRED_KINDS.iter().filter(|kind| all.get(*kind).is_none_or(|n| *n < 10)).collect();
    assert!(missing.is_empty(), "{missing:?} occur fewer than 10 times in\n{text}");
    assert!(
        text == include_str!("recorded.txt"),
        "actions differ from recorded.txt; the new recording is\n{text}"
    );
}

#[test]
fn different_seeds_give_different_digests() {
    let scenario = &scenarios()[0];
    assert_eq!(run_scenario(scenario, 1).0, run_scenario(scenario, 1).0);
    assert_ne!(run_scenario(scenario, 1).0, run_scenario(scenario, 2).0);
}
