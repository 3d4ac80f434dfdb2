//! Priority of calls during recovery: tenants with a reservation are admitted first, for functions of the
//! reservation's pool. Without reservations no call has priority.

use super::names::parse_internal_name;
use stagehoist_config::{matches_pattern, Config};

/// Returns the tenants with reservations, each with the functions of the pool.
pub fn of(config: &Config) -> Vec<(u32, Vec<String>)> {
    let Some(fleet) = &config.fleet else { return Vec::new() };
    let tenant_index = |tenant: &str| config.tenants.iter().position(|t| t.name == tenant);
    let of = |pool: &stagehoist_config::Pool| {
        let reserved = pool.reservations.iter().filter_map(|(tenant, _)| tenant_index(tenant));
        reserved.map(|tenant| (tenant as u32, pool.functions.clone())).collect::<Vec<_>>()
    };
    fleet.pools.iter().flat_map(of).collect()
}

/// Returns whether a tenant has a reservation for a function, given by its internal name.
pub fn has_priority(reservations: &[(u32, Vec<String>)], tenant: u32, internal_name: &str) -> bool {
    let function = parse_internal_name(internal_name).0;
    let pool = |patterns: &[String]| patterns.iter().any(|pattern| matches_pattern(pattern, function));
    reservations.iter().any(|(reserved, patterns)| *reserved == tenant && pool(patterns))
}
