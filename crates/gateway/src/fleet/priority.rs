//! Whose calls go in first after a loss: those of a tenant with a reservation, for functions of the reservation's pool. Where
//! the configuration has no reservation nobody is first.

use super::names::outer_name;
use stagehoist_config::{takes, Config};

/// Tenants with reservations, each with the functions of the pool.
pub fn of(config: &Config) -> Vec<(u32, Vec<String>)> {
    let Some(fleet) = &config.fleet else { return Vec::new() };
    let place = |tenant: &str| config.tenants.iter().position(|t| t.name == tenant);
    let of = |pool: &stagehoist_config::Pool| {
        let own = pool.reservations.iter().filter_map(|(tenant, _)| place(tenant));
        own.map(|tenant| (tenant as u32, pool.functions.clone())).collect::<Vec<_>>()
    };
    fleet.pools.iter().flat_map(of).collect()
}

/// Whether a tenant has a reservation for a function, known by its inner name.
pub fn is_first(first: &[(u32, Vec<String>)], tenant: u32, inner: &str) -> bool {
    let function = outer_name(inner).0;
    let pool = |patterns: &[String]| patterns.iter().any(|pattern| takes(pattern, function));
    first.iter().any(|(own, patterns)| *own == tenant && pool(patterns))
}
