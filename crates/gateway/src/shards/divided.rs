//! Computes the decision module's settings that are divided among the front ends of a shard.

use super::{homes, owned};
use stagehoist::Settings;
use stagehoist_config::{Config, Sharding};
use stagehoist_sharding::{Division, Divisions, HomeShards, Key, Serving, Shard, TenantParts};

/// A shard has at most a computed number of front ends if all of them have the same list. This allowance is added to
/// that maximum for the time in which only some know the next list and shards are handed over: two for each front end
/// that is added while another one leaves, and as many again.
const HANDOVER_ALLOWANCE: u32 = 4;

/// Sets how many front ends share the module's workers and its tenants' quotas in a divided fleet.
pub fn settings(config: &Config, settings: &mut Settings) {
    let Some(sharding) = &config.sharding else { return };
    let divisions = &sharding.divisions;
    let serving = Serving::new(divisions, &sharding.zones);
    let is_listed = config.front_ends_list.is_some();
    let serving = if is_listed { serving } else { serving.ranked(config.fleet_front_ends) };
    let fleet_size = sharding.zones.iter().map(|z| z.1).fold(0, u32::saturating_add).max(1);
    let with_allowance =
        |most: u32| if is_listed { most.saturating_add(HANDOVER_ALLOWANCE).min(fleet_size) } else { most };
    settings.front_ends = with_allowance(serving.max_front_ends_of_any());
    let each: Vec<_> = divisions.each().filter_map(|d| Some((d, homes(sharding, d)?))).collect();
    let owned_shards: Vec<Vec<Shard>> = divisions.each().map(|d| owned(config, sharding, d)).collect();
    let owned_shards: Vec<&[Shard]> = owned_shards.iter().map(|o| &o[..]).collect();
    for (tenant, quota) in config.tenants.iter().zip(&mut settings.tenant_quotas) {
        let names = sharding.tenants.get(&tenant.name).map_or(&[][..], |n| &n[..]);
        let parts =
            |(d, homes): &(&Division, HomeShards)| TenantParts::new(d, homes, &sizes(sharding, names));
        let parts: Vec<TenantParts> = each.iter().map(parts).collect();
        let parts: Vec<&TenantParts> = parts.iter().collect();
        // The module divides the quota by the number of front ends in its settings.
        let share = match is_listed {
            true => 1.0 / f64::from(with_allowance(max_front_ends_with_calls(&serving, divisions, &parts))),
            false => serving.share_of(&parts, &owned_shards),
        };
        *quota *= share * f64::from(settings.front_ends);
    }
}

/// Returns the maximum number of front ends that have calls of a tenant at the same time. The module gets its divisor
/// only once, but the owned shards change with the list. All front ends therefore get the same share, and only front
/// ends that have the tenant's calls count.
fn max_front_ends_with_calls(serving: &Serving<'_>, divisions: &Divisions, parts: &[&TenantParts]) -> u32 {
    let of = |(d, parts): (&Division, &&TenantParts)| -> Vec<Shard> {
        (0..d.shards()).filter(|s| parts.of(*s) > 0.0).collect()
    };
    let shards: Vec<Vec<Shard>> = divisions.each().zip(parts).map(of).collect();
    serving.max_front_ends(&shards.iter().map(|s| &s[..]).collect::<Vec<_>>())
}

/// Returns a tenant's functions weighted by their configured calls, or equally if one of them has none configured.
fn sizes(sharding: &Sharding, names: &[String]) -> Vec<(Key, f64)> {
    let calls = |name: &String| sharding.hot.iter().find(|h| h.name == *name).map_or(0.0, |h| h.calls);
    let equal_weights = names.iter().any(|n| calls(n) <= 0.0);
    names.iter().map(|n| (Key::of(n), if equal_weights { 1.0 } else { calls(n) })).collect()
}
