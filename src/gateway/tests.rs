//! How long keys are accepted without a new proof of freshness, and how the
//! link rate is read.

use super::*;
use crate::{
    clock::{Clock, SystemClock},
    placing::{member::UpstreamEntry, pool::PickCriteria},
    store_sync::route::{InputLimits, RouteTable, TableVersion},
    unit::Mbps,
};

/// A settings file with the required keys alone.
pub(crate) const MINIMAL_SETTINGS: &str = "[vm]\nid = vm-0\ndata_hall = hall-a\n[listen]\n\
    callers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n\
    peers = 127.0.0.1:3\nmetrics = 127.0.0.1:4\n[cluster]\n\
    key = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n\
    [platform]\nstore = 127.0.0.1:5\n[keys]\nrevoke_ms = 5000\n\
    [retries]\nshare = 1\nextra = 1\nwindow_s = 10\n[stop]\ngrace_s = 8\n";

fn table() -> RouteTable {
    let version = TableVersion(1);
    let limits = InputLimits::default();
    RouteTable::new(version, Vec::new(), Vec::new(), None, limits)
}

/// If the store stops responding, keys are accepted for almost as long as the
/// operators allow, and never for longer.
#[test]
fn keys_are_accepted_until_shortly_before_the_revocation_limit() {
    let settings =
        GatewaySettings::from_ini(MINIMAL_SETTINGS).expect("settings");
    let gateway = Gateway::new(settings, Arc::new(SystemClock));
    gateway.knowledge.install(table());
    let proven_at = gateway.clock.now();
    assert!(!gateway.may_accept_keys(proven_at), "accepted without a proof");
    gateway.knowledge.prove(proven_at);
    let after = |ms| proven_at + Duration::from_millis(ms);
    assert!(gateway.may_accept_keys(after(4_500)));
    assert!(!gateway.may_accept_keys(after(4_900)));
    assert!(!gateway.may_accept_keys(after(60_000)));
}

#[test]
fn the_link_rate_is_read_and_defaults_to_unknown() {
    let link = |text: &str| {
        let settings = MINIMAL_SETTINGS.replace("data_hall", text);
        GatewaySettings::from_ini(&settings).map(|settings| settings.link_rate)
    };
    assert_eq!(link("data_hall"), Ok(Mbps(0)));
    assert_eq!(link("link_mbps = 20.0\ndata_hall"), Ok(Mbps(20)));
    assert!(link("link_mbps = fast\ndata_hall").is_err());
    assert!(link("link_mbps = -1\ndata_hall").is_err());
}

/// Guards against a share of poor answers that is read as another priority's,
/// and against one that makes answers infinitely valuable.
#[test]
fn the_shares_of_poor_answers_are_read_by_priority() {
    let shares = |text: &str| {
        let settings = MINIMAL_SETTINGS.replace("[stop]", text);
        let settings = GatewaySettings::from_ini(&settings);
        settings.map(|settings| settings.poor_shares.to_string())
    };
    assert_eq!(shares("[stop]"), Ok("0.1, 0.15, 0.45".to_owned()));
    let given = "[cascade]\npoor_share = 0.2,0.5\n[stop]";
    assert_eq!(shares(given), Ok("0.2, 0.5".to_owned()));
    assert!(shares("[cascade]\npoor_share = 0.2, 0\n[stop]").is_err());
}

/// Guards against prices that rise because of upstreams that may not answer,
/// or that stay low because of idle ones that may not.
#[test]
fn the_load_of_a_service_counts_upstreams_that_may_answer() {
    let settings =
        GatewaySettings::from_ini(MINIMAL_SETTINGS).expect("settings");
    let gateway = Gateway::new(settings, Arc::new(SystemClock));
    let now = gateway.clock.now();
    let service = "writers".parse().expect("a service");
    for (number, state) in
        [UpstreamState::Ready, UpstreamState::Ready, UpstreamState::Leaving]
            .into_iter()
            .enumerate()
    {
        gateway.pool.set(
            UpstreamEntry {
                id: format!("i-{number}").parse().expect("an id"),
                started: None,
                service: "writers".parse().expect("a service"),
                address: SocketAddr::from(([127, 0, 0, 1], number as u16)),
                data_hall: "hall-a".parse().expect("a data hall"),
                software: "v1".parse().expect("a version"),
                slots: 4,
                state,
                warm_up_left: Duration::ZERO,
                sequence: 1,
            },
            now,
        );
    }
    let member = |id: &str| {
        gateway.pool.member(&id.parse().expect("an id")).expect("a member")
    };
    let (busy, idle) = (member("i-0"), member("i-1"));
    let _requests = [busy.upstream.begin(), busy.upstream.begin()];
    let _prefill = busy.begin_prefill(Duration::from_millis(300));
    let load = |tried: &[crate::message::ShortHash]| {
        let criteria = PickCriteria { tried, ..PickCriteria::default() };
        gateway.pool.service_load(&service, &criteria, now)
    };
    let both = load(&[]);
    assert_eq!(both.utilization, 0.25);
    assert_eq!(both.mean_prefill_backlog, Duration::from_millis(150));
    assert_eq!(both.least_prefill_backlog, Duration::ZERO);
    let one = load(&[idle.upstream.short_hash]);
    assert_eq!(one.utilization, 0.5);
    assert_eq!(one.least_prefill_backlog, Duration::from_millis(300));
    let hashes = [busy.upstream.short_hash, idle.upstream.short_hash];
    assert_eq!(load(&hashes).utilization, 1.0, "none may answer");
}

/// Two VMs of a data hall reach none of four upstreams, which answer the
/// third.
#[test]
fn partitioned_vms_report_no_failures_of_sound_upstreams() {
    let mut fleet = test_fleet::Fleet::new(1, 3);
    let now = fleet.clock.now();
    let entry = |number: u8| UpstreamEntry {
        id: format!("i-{number}").parse().expect("an id"),
        started: None,
        service: "writers".parse().expect("a service"),
        address: SocketAddr::from(([127, 0, 0, 1], u16::from(number))),
        data_hall: "hall-0".parse().expect("a data hall"),
        software: "v1".parse().expect("a version"),
        slots: 8,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
        sequence: 1,
    };
    for vm in &fleet.vms {
        for number in 1..=4 {
            vm.pool.set(entry(number), now);
        }
    }
    for vm in &fleet.vms[..2] {
        for member in vm.pool.all() {
            vm.paths.record_indirect(&path_target(&member), now);
        }
    }
    let mut was_ejected = false;
    for _ in 0..300 {
        for vm in &fleet.vms[..2] {
            for member in vm.pool.all() {
                vm.record_outcome(&member, AttemptOutcome::Unreachable);
                // An answer through another VM.
                vm.record_outcome(&member, AttemptOutcome::Success);
            }
        }
        fleet.step();
        let now = fleet.clock.now();
        let sound = fleet.vms[2].pool.all();
        was_ejected |= sound.iter().any(|m| !m.health.is_healthy(now));
    }
    assert!(!was_ejected, "an upstream is ejected at the sound VM");
}

/// Returns for how long an upstream is used whose record vanishes this long
/// after the copy was proven current, at a VM that the store has just failed.
fn use_after_removal(copy_age: Duration) -> Duration {
    let fleet = test_fleet::Fleet::new(1, 1);
    let vm = &fleet.vms[0];
    let entry = slot_test_site::entry(1);
    let id = entry.id.clone();
    vm.pool.set(entry, fleet.clock.now());
    vm.knowledge.prove(fleet.clock.now());
    fleet.clock.advance(copy_age);
    vm.record_store_failure();
    let member = vm.pool.member(&id).expect("the upstream is known");
    let updates = vec![StoreUpdate::UpstreamGone(id)];
    let applied = AppliedItems { updates, ..AppliedItems::default() };
    vm.apply_items(applied, LearnedBy::Poll);
    let since = fleet.clock.now();
    while member.takes_requests(fleet.clock.now()) {
        fleet.clock.advance(Duration::from_millis(10));
    }
    fleet.clock.now().saturating_duration_since(since)
}

/// A VM whose call to the store had failed went on using an upstream for 1.5 s
/// after it had learned that its record was removed, however late that was.
#[test]
fn an_upstream_without_record_is_not_used_past_the_bound() {
    let bound = Duration::from_secs(2);
    for age_ms in [100, 900, 1_500, 1_950] {
        let age = Duration::from_millis(age_ms);
        let total = age + use_after_removal(age);
        assert!(total < bound, "used for {total:?} after its removal");
    }
    // The store was away, and the records of live upstreams have lapsed.
    let used = use_after_removal(Duration::from_secs(4));
    assert!(used >= Duration::from_millis(1_400), "used for {used:?}");
}

/// Guards against a VM that coordinates although the settings switch it off,
/// and against one that does not by default.
#[test]
fn vms_per_slot_is_read_and_defaults_to_three() {
    let vms_per_slot = |more: &str| {
        let settings = format!("{MINIMAL_SETTINGS}{more}");
        GatewaySettings::from_ini(&settings).map(|s| s.vms_per_slot)
    };
    assert_eq!(vms_per_slot(""), Ok(3));
    assert_eq!(vms_per_slot("[scheduling]\nvms_per_slot = 0\n"), Ok(0));
    assert!(vms_per_slot("[scheduling]\nvms_per_slot = -1\n").is_err());
}

/// Guards against giving up an upstream as silent that is only slow, and that
/// sends nothing until a long prefill is done.
#[test]
fn a_slow_upstream_is_not_given_up_as_silent() {
    let fleet = test_fleet::Fleet::new(1, 1);
    let now = fleet.clock.now();
    let pool = &fleet.vms[0].pool;
    for number in 0..3_u8 {
        let entry = UpstreamEntry {
            id: format!("i-{number}").parse().unwrap(),
            started: None,
            service: "writers".parse().unwrap(),
            address: ([127, 0, 0, 1], 10 + u16::from(number)).into(),
            data_hall: "hall-a".parse().unwrap(),
            software: "v1".parse().unwrap(),
            slots: 64,
            state: crate::placing::member::UpstreamState::Ready,
            warm_up_left: Duration::ZERO,
            sequence: 1,
        };
        pool.set(entry, now);
    }
    let members: Vec<_> = (0..3)
        .map(|n| pool.member(&format!("i-{n}").parse().unwrap()).unwrap())
        .collect();
    for member in &members {
        let ratio = if member.entry.id.as_str() == "i-0" { 2.0 } else { 1.0 };
        for _ in 0..6 {
            pool.record_time_ratio(member, ratio, now);
        }
    }
    pool.update_slowness(now);
    let usual = Duration::from_millis(900);
    let limit = |n: usize| forward::silence_limit(&members[n], usual, now);
    assert_eq!(limit(1), usual);
    assert!(limit(0) > usual.mul_f64(1.8));
    let later = now + Duration::from_millis(1200);
    let waited = Duration::from_millis(1200);
    let seems_dead =
        |n: usize| pool.seems_dead(&members[n], waited, limit(n), later);
    assert!(!seems_dead(0));
    assert!(seems_dead(1));
}
