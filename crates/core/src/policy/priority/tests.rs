//! Tenant quotas and the price of work.

use super::*;

#[test]
fn a_tenant_gets_its_rate_and_a_burst_that_accumulates() {
    let mut quotas = TenantQuotas::default();
    let taken = |quotas: &mut TenantQuotas, at: Micros, n: usize| {
        (0..n).filter(|_| quotas.take_token(3, 10.0, at)).count()
    };
    assert_eq!(taken(&mut quotas, 0, 50), 10);
    assert_eq!(taken(&mut quotas, 500_000, 50), 5);
    assert_eq!(taken(&mut quotas, 60_000_000, 50), 10);
    assert!((0..50).all(|n| quotas.take_token(4, 10.0, n * 100_000)));
    // A quota below one request per second allows an occasional request.
    assert_eq!((0..100).filter(|n| quotas.take_token(5, 0.5, n * 100_000)).count(), 5);
}

#[test]
fn the_price_rises_towards_the_value_of_rejected_requests_and_decays() {
    let (mut price, time_constant) = (WorkPrice::default(), 800_000);
    assert_eq!(price.at(0, time_constant), 0.0);
    (0..50).for_each(|n| price.record_rejection(2.0, n, time_constant));
    assert!((1.9..=2.0).contains(&price.at(50, time_constant)));
    // Requests of lower value do not lower the price; time does.
    price.record_rejection(0.5, 50, time_constant);
    assert!(price.at(50, time_constant) > 1.9);
    assert!(price.at(50 + 5 * time_constant, time_constant) < 0.02);
}
