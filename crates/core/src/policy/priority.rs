//! The value of requests per unit of work, from the settings, and the price of work: the value of recently rejected
//! requests. State and arithmetic only; `queue` and `shedding` use them for decisions.

use super::math::decay;
use crate::interface::{Micros, Request, Settings};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Burst size of a tenant's token bucket, in seconds of its quota.
const QUOTA_BURST_SECONDS: f64 = 1.0;
/// Part of the distance that the price moves towards the value of a rejected request, if that is higher.
const PRICE_GAIN: f64 = 0.3;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// The token bucket of one tenant.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    updated_at: Micros,
}

/// Token buckets of the tenants that have a quota.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas(BTreeMap<u32, TokenBucket>);

impl TenantQuotas {
    /// Takes a token for one request from a tenant's bucket. `rate` is the tenant's quota at this front end, in requests
    /// per second. Returns false if the bucket is empty.
    fn take_token(&mut self, tenant: u32, rate: f64, now: Micros) -> bool {
        let burst = (rate * QUOTA_BURST_SECONDS).max(1.0);
        let bucket = self.0.entry(tenant).or_insert(TokenBucket { tokens: burst, updated_at: now });
        let refill = (now - bucket.updated_at).max(0) as f64 * rate / MICROS_PER_SECOND;
        bucket.tokens = (bucket.tokens + refill).min(burst);
        bucket.updated_at = now;
        let is_within = bucket.tokens >= 1.0;
        if is_within {
            bucket.tokens -= 1.0;
        }
        is_within
    }

    /// Returns the value of a request per microsecond of its work `base_run`: the weight of its class, reduced if the
    /// tenant exceeds its share of its quota at this front end. The weight applies per unit of work or per request, as
    /// configured.
    pub fn compute_weight(
        &mut self,
        settings: &Settings,
        request: &Request,
        base_run: f64,
        now: Micros,
    ) -> f64 {
        let front_ends = f64::from(settings.front_ends.max(1));
        let rate = settings.tenant_quotas.get(request.tenant as usize).map(|quota| quota / front_ends);
        let is_within = rate.is_none_or(|rate| self.take_token(request.tenant, rate, now));
        let weight = settings.classes.get(request.class as usize).map_or(1.0, |class| class.priority_weight);
        let weight = if is_within { weight } else { weight * settings.over_quota_weight };
        if settings.weight_by_work {
            weight
        } else {
            weight / base_run.max(1.0)
        }
    }
}

/// The price of work: the value per unit of work of recently rejected requests, decaying with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkPrice {
    level: f64,
    updated_at: Micros,
}

impl WorkPrice {
    /// Returns the price at `now`; it decays to 1/e within `time_constant`.
    pub fn at(&self, now: Micros, time_constant: Micros) -> f64 {
        self.level * decay(now - self.updated_at, time_constant)
    }

    /// Records that a request of this value per unit of work could not be served in time.
    pub fn record_rejection(&mut self, weight: f64, now: Micros, time_constant: Micros) {
        let level = self.at(now, time_constant);
        *self = WorkPrice { level: level + PRICE_GAIN * (weight - level).max(0.0), updated_at: now };
    }
}
