//! OrganisationLimits of an organisation over the whole fleet, kept by each VM alone.
//!
//! Every VM reports its demand; each lets through the share of the limit
//! that its demand has in the demand of all. Between two reports the fleet
//! can overshoot by one burst for each VM, and while halls are cut off from
//! each other by the whole limit for each part.

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

/// Time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(2);

/// The least share of a limit that a VM lets through, so that a VM whose
/// demand is new need not wait for the next report.
const LEAST_SHARE: f64 = 0.02;

/// Burst of the rate limit, in seconds of the rate.
const BURST_S: f64 = 1.0;

const MICRO: f64 = 1e6;

/// The use that one organisation makes of this VM.
#[derive(Debug)]
struct Use {
    bucket: TokenBucket,
    in_flight: Arc<AtomicU32>,
    demand_per_s: f64,
    asked_since: u32,
    hour: u64,
    hour_cost: MicroCost,
}

/// The limits of all organisations at this VM.
pub struct OrganisationLimits {
    uses: Mutex<HashMap<OrganisationId, Use>>,
    updated_at: Mutex<BootInstant>,
}

impl OrganisationLimits {
    /// Creates limits with no use yet.
    pub fn new(now: BootInstant) -> OrganisationLimits {
        OrganisationLimits {
            uses: Mutex::default(),
            updated_at: Mutex::new(now),
        }
    }

    /// Admits a request, or says why not.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::LimitReached`], with the time to wait where it is known.
    pub fn admit(
        &self,
        template: &Template,
        tallies: &Tallies,
        now: BootInstant,
    ) -> Result<InUse, Error> {
        let mut uses = self.uses.lock().expect("limits lock");
        let organisation = &template.organisation;
        let used = uses
            .entry(organisation.clone())
            .or_insert_with(|| Use::new(template, now));
        used.asked_since += 1;
        let key = key(organisation);
        let total = tallies.total(&key, now);
        let own = tallies.own(&key);
        check_cost(template, used, total, own)?;
        check_concurrency(template, used, total, own)?;
        if let Err(wait) = used.bucket.take(1.0, now) {
            return Err(reached("the rate limit").with_retry_after(wait));
        }
        Ok(InUse::new(used.in_flight.clone()))
    }

    /// Adds to the cost of the current hour.
    pub fn charge(
        &self,
        organisation: &OrganisationId,
        cost: MicroCost,
        unix_ms: u64,
    ) {
        let mut uses = self.uses.lock().expect("limits lock");
        if let Some(used) = uses.get_mut(organisation) {
            used.turn_hour(unix_ms);
            used.hour_cost = used.hour_cost + cost;
        }
    }

    /// Reports the use into `tallies` and sets this VM's share of each rate.
    ///
    /// To be called about once a second.
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
        let mut uses = self.uses.lock().expect("limits lock");
        for template in templates {
            let organisation = &template.organisation;
            let Some(used) = uses.get_mut(organisation) else { continue };
            used.turn_hour(unix_ms);
            used.average(passed);
            let key = key(organisation);
            tallies.set(key, used.tally());
            let share = demand_share(used, tallies.total(&key, now));
            let rate = template.rate_per_s * share;
            let burst = (rate * BURST_S).max(1.0);
            used.bucket.set_rate(rate, burst, now);
        }
    }
}

impl Use {
    fn new(template: &Template, now: BootInstant) -> Use {
        let rate = template.rate_per_s;
        let burst = (rate * BURST_S).max(1.0);
        Use {
            bucket: TokenBucket::new(rate, burst, now),
            in_flight: Arc::default(),
            demand_per_s: 0.0,
            asked_since: 0,
            hour: 0,
            hour_cost: MicroCost::default(),
        }
    }

    fn average(&mut self, passed: Duration) {
        let passed_s = passed.as_secs_f64().max(1e-3);
        let rate = f64::from(self.asked_since) / passed_s;
        let keep = (-passed_s / DEMAND_TIME.as_secs_f64()).exp();
        self.demand_per_s = keep * self.demand_per_s + (1.0 - keep) * rate;
        self.asked_since = 0;
    }

    fn turn_hour(&mut self, unix_ms: u64) {
        let hour = unix_ms / 3_600_000;
        if hour != self.hour {
            self.hour = hour;
            self.hour_cost = MicroCost::default();
        }
    }

    fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        tally.0[usage::IN_FLIGHT] = in_flight as f32;
        tally.0[usage::DEMAND_PER_S] = self.demand_per_s as f32;
        tally.0[usage::HOUR_COST] = (self.hour_cost.0 as f64 / MICRO) as f32;
        tally
    }
}

fn key(organisation: &OrganisationId) -> TallyKey {
    TallyKey::Usage(ShortHash::of(organisation.as_str()))
}

/// This VM's share in the demand of all, at least [`LEAST_SHARE`].
fn demand_share(used: &Use, total: Tally) -> f64 {
    let all = f64::from(total.0[usage::DEMAND_PER_S]);
    if all <= 0.0 {
        return 1.0;
    }
    (used.demand_per_s / all).clamp(LEAST_SHARE, 1.0)
}

fn check_cost(
    template: &Template,
    used: &Use,
    total: Tally,
    own: Tally,
) -> Result<(), Error> {
    let others = (total - own).0[usage::HOUR_COST].max(0.0);
    let spent = used.hour_cost.0 as f64 + f64::from(others) * MICRO;
    if spent >= template.hour_price_limit_micro.0 as f64 {
        return Err(reached("the price limit of the hour"));
    }
    Ok(())
}

fn check_concurrency(
    template: &Template,
    used: &Use,
    total: Tally,
    own: Tally,
) -> Result<(), Error> {
    let others = (total - own).0[usage::IN_FLIGHT].max(0.0);
    let own_now = used.in_flight.load(Ordering::Relaxed);
    if f64::from(own_now) + f64::from(others)
        >= f64::from(template.concurrency)
    {
        return Err(reached("the limit of requests at once"));
    }
    Ok(())
}

fn reached(what: &str) -> Error {
    Error::new(ErrorKind::LimitReached)
        .context(format!("{what} of the organisation is reached"))
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InUse(Arc<AtomicU32>);

impl InUse {
    fn new(count: Arc<AtomicU32>) -> InUse {
        count.fetch_add(1, Ordering::Relaxed);
        InUse(count)
    }
}

impl Drop for InUse {
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
    fn concurrency_counts_the_other_vms() {
        let now = BootInstant::now();
        let template = template(1000.0, 3);
        let limits = OrganisationLimits::new(now);
        let mut tallies = Tallies::new(ShortHash(1));
        let first = limits.admit(&template, &tallies, now).unwrap();
        let mut others = Tally::default();
        others.0[usage::IN_FLIGHT] = 2.0;
        let entry = crate::message::TallyEntry {
            data_hall: ShortHash(2),
            key: key(&template.organisation),
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
    fn the_rate_is_shared_by_demand() {
        let start = BootInstant::now();
        let template = template(100.0, 1_000_000);
        let limits = OrganisationLimits::new(start);
        let mut tallies = Tallies::new(ShortHash(1));
        let mut others = Tally::default();
        others.0[usage::DEMAND_PER_S] = 300.0;
        let entry = crate::message::TallyEntry {
            data_hall: ShortHash(2),
            key: key(&template.organisation),
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
        // Demand here is 100 a second of 400: a quarter of the limit.
        let per_s = f64::from(admitted) / 5.0;
        assert!((15.0..40.0).contains(&per_s), "{per_s} a second");
    }

    #[test]
    fn the_hour_has_a_price_limit() {
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
