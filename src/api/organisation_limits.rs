//! Fleet-wide limits of each organisation, enforced by every VM on its own.
//!
//! Every VM reports its demand, and admits the share of the rate limit that
//! its demand has in the total demand. Between two reports the fleet can
//! exceed the limit by one burst per VM. During a network partition between
//! data halls, each side admits up to the whole limit.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::{
    api::{
        tally::{Tallies, Tally, TallyKey, usage},
        template::Template,
    },
    clock::BootInstant,
    error::{Error, ErrorKind},
    id::OrganisationId,
    message::ShortHash,
    token_bucket::TokenBucket,
    unit::MicroCost,
};

/// Time constant of the moving average of the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Smallest share of a rate limit that a VM admits, so that a VM with new
/// demand need not wait for the next report.
const MIN_SHARE: f64 = 0.02;

/// Burst size of the rate limit, in seconds at the limited rate.
const BURST_S: f64 = 1.0;

/// Millionths in one unit of cost.
const MICRO_PER_UNIT: f64 = 1e6;

/// The usage of this VM by one organisation.
#[derive(Debug)]
struct OrganisationUsage {
    bucket: TokenBucket,
    in_flight: Arc<AtomicU32>,
    demand_per_s: f64,
    /// Requests since the last update of the demand.
    requests_since_update: u32,
    /// The hour that `hour_cost` is of, counted from the Unix epoch.
    hour: u64,
    hour_cost: MicroCost,
}

/// Enforces the limits of all organisations at this VM.
pub struct OrganisationLimits {
    usages: Mutex<HashMap<OrganisationId, OrganisationUsage>>,
    updated_at: Mutex<BootInstant>,
}

impl OrganisationLimits {
    /// Creates limits without any usage.
    pub fn new(now: BootInstant) -> OrganisationLimits {
        OrganisationLimits {
            usages: Mutex::default(),
            updated_at: Mutex::new(now),
        }
    }

    /// Admits a request and counts it as in flight until the permit is
    /// dropped.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::LimitReached`] if a limit of cost, concurrency or rate is
    /// reached; for the rate with the time after which to retry.
    pub fn admit(
        &self,
        template: &Template,
        tallies: &Tallies,
        now: BootInstant,
    ) -> Result<ConcurrencyPermit, Error> {
        let mut usages = self.usages.lock().expect("limits lock");
        let organisation = &template.organisation;
        let usage = usages
            .entry(organisation.clone())
            .or_insert_with(|| OrganisationUsage::new(template, now));
        usage.requests_since_update += 1;
        let key = usage_key(organisation);
        let total = tallies.total(&key, now);
        let own = tallies.own(&key);
        check_cost(template, usage, total, own)?;
        check_concurrency(template, usage, total, own)?;
        if let Err(wait) = usage.bucket.take(1.0, now) {
            return Err(limit_reached("the rate limit").with_retry_after(wait));
        }
        Ok(ConcurrencyPermit::new(usage.in_flight.clone()))
    }

    /// Adds `cost` to the cost of the current hour.
    pub fn charge(
        &self,
        organisation: &OrganisationId,
        cost: MicroCost,
        unix_ms: u64,
    ) {
        let mut usages = self.usages.lock().expect("limits lock");
        if let Some(usage) = usages.get_mut(organisation) {
            usage.start_hour(unix_ms);
            usage.hour_cost = usage.hour_cost + cost;
        }
    }

    /// Writes the usage to `tallies` and updates this VM's share of each rate
    /// limit.
    ///
    /// Must be called about once a second.
    pub fn update(
        &self,
        templates: &[Arc<Template>],
        tallies: &mut Tallies,
        now: BootInstant,
        unix_ms: u64,
    ) {
        let mut updated_at = self.updated_at.lock().expect("limits lock");
        let passed = now.saturating_duration_since(*updated_at);
        *updated_at = now;
        let mut usages = self.usages.lock().expect("limits lock");
        for template in templates {
            let organisation = &template.organisation;
            let Some(usage) = usages.get_mut(organisation) else { continue };
            usage.start_hour(unix_ms);
            usage.update_demand(passed);
            let key = usage_key(organisation);
            tallies.set(key, usage.tally());
            let share = demand_share(usage, tallies.total(&key, now));
            let rate = template.rate_per_s * share;
            let burst = (rate * BURST_S).max(1.0);
            usage.bucket.set_rate(rate, burst, now);
        }
    }
}

impl OrganisationUsage {
    fn new(template: &Template, now: BootInstant) -> OrganisationUsage {
        let rate = template.rate_per_s;
        let burst = (rate * BURST_S).max(1.0);
        OrganisationUsage {
            bucket: TokenBucket::new(rate, burst, now),
            in_flight: Arc::default(),
            demand_per_s: 0.0,
            requests_since_update: 0,
            hour: 0,
            hour_cost: MicroCost::default(),
        }
    }

    /// Updates the demand from the requests of the time passed.
    fn update_demand(&mut self, passed: Duration) {
        let passed_s = passed.as_secs_f64().max(1e-3);
        let rate = f64::from(self.requests_since_update) / passed_s;
        let keep = (-passed_s / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.demand_per_s = keep * self.demand_per_s + (1.0 - keep) * rate;
        self.requests_since_update = 0;
    }

    /// Resets the cost when a new hour has started.
    fn start_hour(&mut self, unix_ms: u64) {
        let hour = unix_ms / 3_600_000;
        if hour != self.hour {
            self.hour = hour;
            self.hour_cost = MicroCost::default();
        }
    }

    /// Returns the usage as it is reported to the other VMs.
    fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        tally.0[usage::IN_FLIGHT] = in_flight as f32;
        tally.0[usage::DEMAND_PER_S] = self.demand_per_s as f32;
        tally.0[usage::HOUR_COST] =
            (self.hour_cost.0 as f64 / MICRO_PER_UNIT) as f32;
        tally
    }
}

fn usage_key(organisation: &OrganisationId) -> TallyKey {
    TallyKey::Usage(ShortHash::of(organisation.as_str()))
}

/// Returns this VM's share of the total demand, at least [`MIN_SHARE`].
fn demand_share(usage: &OrganisationUsage, total: Tally) -> f64 {
    let all = f64::from(total.0[usage::DEMAND_PER_S]);
    if all <= 0.0 {
        return 1.0;
    }
    (usage.demand_per_s / all).clamp(MIN_SHARE, 1.0)
}

/// Checks the cost of this hour at all VMs against the limit.
fn check_cost(
    template: &Template,
    usage: &OrganisationUsage,
    total: Tally,
    own: Tally,
) -> Result<(), Error> {
    let others = (total - own).0[usage::HOUR_COST].max(0.0);
    let spent = usage.hour_cost.0 as f64 + f64::from(others) * MICRO_PER_UNIT;
    if spent >= template.hour_price_limit_micro.0 as f64 {
        return Err(limit_reached("the hourly cost limit"));
    }
    Ok(())
}

/// Checks the requests in flight at all VMs against the limit.
fn check_concurrency(
    template: &Template,
    usage: &OrganisationUsage,
    total: Tally,
    own: Tally,
) -> Result<(), Error> {
    let others = (total - own).0[usage::IN_FLIGHT].max(0.0);
    let own_now = usage.in_flight.load(Ordering::Relaxed);
    if f64::from(own_now) + f64::from(others)
        >= f64::from(template.concurrency)
    {
        return Err(limit_reached("the concurrency limit"));
    }
    Ok(())
}

fn limit_reached(what: &str) -> Error {
    Error::new(ErrorKind::LimitReached)
        .context(format!("{what} of the organisation is reached"))
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct ConcurrencyPermit(Arc<AtomicU32>);

impl ConcurrencyPermit {
    fn new(count: Arc<AtomicU32>) -> ConcurrencyPermit {
        count.fetch_add(1, Ordering::Relaxed);
        ConcurrencyPermit(count)
    }
}

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::secret::KeyHash;

    fn template(rate_per_s: f64, concurrency: u32) -> Arc<Template> {
        let text = format!(
            r#"{{"organisation":"desk","key_hashes":["{}"],
                "rate_per_s":{rate_per_s},"concurrency":{concurrency},
                "hour_price_limit_micro":1000}}"#,
            KeyHash::of("k")
        );
        Arc::new(Template::from_json(text.as_bytes()).unwrap())
    }

    #[test]
    fn concurrency_includes_requests_of_other_vms() {
        let now = BootInstant::now();
        let template = template(1000.0, 3);
        let limits = OrganisationLimits::new(now);
        let mut tallies = Tallies::new(ShortHash(1));
        let first = limits.admit(&template, &tallies, now).unwrap();
        let mut others = Tally::default();
        others.0[usage::IN_FLIGHT] = 2.0;
        let entry = crate::message::TallyEntry {
            data_hall: ShortHash(2),
            key: usage_key(&template.organisation),
            age_ms: 0,
            tally: others,
        };
        tallies.merge(&[entry], now);
        let error = limits.admit(&template, &tallies, now).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::LimitReached);
        drop(first);
        assert!(limits.admit(&template, &tallies, now).is_ok());
    }

    #[test]
    fn the_rate_limit_is_shared_by_demand() {
        let start = BootInstant::now();
        let template = template(100.0, 1_000_000);
        let limits = OrganisationLimits::new(start);
        let mut tallies = Tallies::new(ShortHash(1));
        let mut others = Tally::default();
        others.0[usage::DEMAND_PER_S] = 300.0;
        let entry = crate::message::TallyEntry {
            data_hall: ShortHash(2),
            key: usage_key(&template.organisation),
            age_ms: 0,
            tally: others,
        };
        let mut admitted = 0;
        for tick in 0..100_u64 {
            let now = start + Duration::from_millis(100 * tick);
            tallies.merge(std::slice::from_ref(&entry), now);
            let entry_now = crate::message::TallyEntry { ..entry.clone() };
            tallies.merge(&[entry_now], now);
            for _ in 0..10 {
                if limits.admit(&template, &tallies, now).is_ok() {
                    admitted += u32::from(tick >= 50);
                }
            }
            let all = [template.clone()];
            limits.update(&all, &mut tallies, now, 0);
        }
        // The demand here is 100 of 400 per second: a quarter of the limit.
        let per_s = f64::from(admitted) / 5.0;
        assert!((15.0..40.0).contains(&per_s), "{per_s} per second");
    }

    #[test]
    fn the_hourly_cost_is_limited_and_resets() {
        let now = BootInstant::now();
        let template = template(1000.0, 10);
        let limits = OrganisationLimits::new(now);
        let tallies = Tallies::new(ShortHash(1));
        drop(limits.admit(&template, &tallies, now).unwrap());
        limits.charge(&template.organisation, MicroCost(1000), 1);
        assert!(limits.admit(&template, &tallies, now).is_err());
        limits.charge(&template.organisation, MicroCost(0), 3_600_001);
        assert!(limits.admit(&template, &tallies, now).is_ok());
    }
}
