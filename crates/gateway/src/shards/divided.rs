//! What is divided by the front ends of a shard, as the module is given it.

use super::{homes, owned};
use stagehoist::Settings;
use stagehoist_config::{Config, Sharding};
use stagehoist_sharding::{Division, Divisions, HomeShards, Key, Serving, Shard, TenantParts};

/// Front ends that a shard may have beyond the most by one list that all have, while some know the next and what goes is
/// handed over: two for each front end that comes as another goes meanwhile, and as many again.
const MOVING: u32 = 4;

/// What the module is notified of how many share its workers and its tenants' quotas, in a divided fleet.
pub fn settings(config: &Config, settings: &mut Settings) {
    let Some(sharding) = &config.sharding else { return };
    let divisions = &sharding.divisions;
    let serving = Serving::new(divisions, &sharding.zones);
    let is_listed = config.front_ends_list.is_some();
    let serving = if is_listed { serving } else { serving.ranked(config.fleet_front_ends) };
    let all = sharding.zones.iter().map(|z| z.1).fold(0, u32::saturating_add).max(1);
    let moving = |most: u32| if is_listed { most.saturating_add(MOVING).min(all) } else { most };
    settings.front_ends = moving(serving.worst());
    let each: Vec<_> = divisions.each().filter_map(|d| Some((d, homes(sharding, d)?))).collect();
    let own: Vec<Vec<Shard>> = divisions.each().map(|d| owned(config, sharding, d)).collect();
    let own: Vec<&[Shard]> = own.iter().map(|o| &o[..]).collect();
    for (tenant, quota) in config.tenants.iter().zip(&mut settings.tenant_quotas) {
        let names = sharding.tenants.get(&tenant.name).map_or(&[][..], |n| &n[..]);
        let parts =
            |(d, homes): &(&Division, HomeShards)| TenantParts::new(d, homes, &sizes(sharding, names));
        let parts: Vec<TenantParts> = each.iter().map(parts).collect();
        let parts: Vec<&TenantParts> = parts.iter().collect();
        // The module divides what it is given by the number of front ends that it is given.
        let share = match is_listed {
            true => 1.0 / f64::from(moving(having(&serving, divisions, &parts))),
            false => serving.share_of(&parts, &own),
        };
        *quota *= share * f64::from(settings.front_ends);
    }
}

/// Most front ends that have calls of a tenant at a time. What the module divides by is given once, and own shards change with
/// the list: so all are told the same part, and those count that have its calls.
fn having(serving: &Serving<'_>, divisions: &Divisions, parts: &[&TenantParts]) -> u32 {
    let of = |(d, parts): (&Division, &&TenantParts)| -> Vec<Shard> {
        (0..d.shards()).filter(|s| parts.of(*s) > 0.0).collect()
    };
    let shards: Vec<Vec<Shard>> = divisions.each().zip(parts).map(of).collect();
    serving.most(&shards.iter().map(|s| &s[..]).collect::<Vec<_>>())
}

/// A tenant's functions by their told calls, or alike where one of them has none told.
fn sizes(sharding: &Sharding, names: &[String]) -> Vec<(Key, f64)> {
    let calls = |name: &String| sharding.hot.iter().find(|h| h.name == *name).map_or(0.0, |h| h.calls);
    let alike = names.iter().any(|n| calls(n) <= 0.0);
    names.iter().map(|n| (Key::of(n), if alike { 1.0 } else { calls(n) })).collect()
}
