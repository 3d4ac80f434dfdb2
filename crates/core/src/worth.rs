//! What calls are worth for their work, as told, and the price of work: what refused calls would have brought. State and
//! arithmetic; what follows from them the module decides.

use crate::interface::{Micros, Request, Settings};
use crate::numbers::fade;
use std::collections::BTreeMap;

/// Time for which a tenant's unused share is kept, in seconds.
const KEPT: f64 = 1.0;
/// Part of the way that the price goes to the worth of a refused call above it.
const RISE: f64 = 0.3;

/// Token buckets of the tenants with a told rate.
#[derive(Clone, Debug, Default)]
pub struct Shares(BTreeMap<u32, (f64, Micros)>);

impl Shares {
    /// Takes a call's part of its tenant's share; `quota` is the tenant's calls a second here. False where it is used up.
    fn take(&mut self, tenant: u32, quota: f64, now: Micros) -> bool {
        let most = (quota * KEPT).max(1.0);
        let (left, at) = self.0.entry(tenant).or_insert((most, now));
        *left = (*left + (now - *at).max(0) as f64 * quota / 1e6).min(most);
        *at = now;
        let within = *left >= 1.0;
        *left -= f64::from(u8::from(within));
        within
    }

    /// Worth of a call for each microsecond of `base` work: its class's, less beyond the tenant's part of its told rate at
    /// this front end, for the work or for the call as told.
    pub fn worth(&mut self, s: &Settings, r: &Request, base: f64, now: Micros) -> f64 {
        let quota = s.tenant_quota.get(r.tenant as usize).map(|q| q / f64::from(s.front_ends.max(1)));
        let within = quota.is_none_or(|q| self.take(r.tenant, q, now));
        let worth = s.classes.get(r.class as usize).map_or(1.0, |c| c.worth);
        let worth = if within { worth } else { worth * s.over_share_worth };
        if s.worth_by_work {
            worth
        } else {
            worth / base.max(1.0)
        }
    }
}

/// The price of work: worth for work of calls refused of late, fading.
#[derive(Clone, Copy, Debug, Default)]
pub struct Price {
    level: f64,
    at: Micros,
}

impl Price {
    /// The price now, where it fades to 1/e within `over`.
    pub fn now(&self, now: Micros, over: Micros) -> f64 {
        self.level * fade(now - self.at, over)
    }

    /// A call of this worth for its work could not be served in time.
    pub fn refused(&mut self, worth: f64, now: Micros, over: Micros) {
        let level = self.now(now, over);
        *self = Price { level: level + RISE * (worth - level).max(0.0), at: now };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_tenant_has_its_rate_and_what_it_did_not_use_of_late() {
        let mut shares = Shares::default();
        let taken =
            |shares: &mut Shares, at: Micros, n: usize| (0..n).filter(|_| shares.take(3, 10.0, at)).count();
        assert_eq!(taken(&mut shares, 0, 50), 10);
        assert_eq!(taken(&mut shares, 500_000, 50), 5);
        assert_eq!(taken(&mut shares, 60_000_000, 50), 10);
        assert!((0..50).all(|n| shares.take(4, 10.0, n * 100_000)));
        // A share below one call a second is one call at times.
        assert_eq!((0..100).filter(|n| shares.take(5, 0.5, n * 100_000)).count(), 5);
    }

    #[test]
    fn the_price_rises_towards_what_is_refused_and_fades() {
        let (mut price, aim) = (Price::default(), 800_000);
        assert_eq!(price.now(0, aim), 0.0);
        (0..50).for_each(|n| price.refused(2.0, n, aim));
        assert!((1.9..=2.0).contains(&price.now(50, aim)));
        // Calls of less worth do not lower it; time does.
        price.refused(0.5, 50, aim);
        assert!(price.now(50, aim) > 1.9);
        assert!(price.now(50 + 5 * aim, aim) < 0.02);
    }
}
