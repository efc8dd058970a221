use super::*;

fn target(number: u32) -> PathTarget {
    let service = "writers".to_owned();
    PathTarget { upstream: ShortHash(number), service }
}

fn relay(number: u16, is_same_hall: bool) -> RelayVm {
    let address = SocketAddr::from(([127, 0, 0, 1], number));
    RelayVm { address, is_same_hall, is_leaving: false }
}

#[test]
fn an_upstream_reached_only_through_others_is_tried_directly_each_second() {
    let now = BootInstant::now();
    let paths = Paths::default();
    paths.record_indirect(&target(1), now);
    assert_eq!(paths.first_path(&target(1), now), FirstPath::Relayed);
    assert_eq!(paths.first_path(&target(2), now), FirstPath::Direct);
    let later = now + DIRECT_RETRY_INTERVAL;
    assert_eq!(paths.first_path(&target(1), later), FirstPath::Direct);
}

#[test]
fn a_partitioned_vm_tries_one_direct_path_each_second() {
    let now = BootInstant::now();
    let paths = Paths::default();
    paths.record_direct(&target(9), now);
    let now = now + Duration::from_millis(10);
    paths.record_indirect(&target(1), now);
    assert!(!paths.is_partitioned("writers", now));
    paths.record_indirect(&target(2), now);
    assert!(paths.is_partitioned("writers", now));
    let direct = |at| {
        let all = (0..20).map(|number| paths.first_path(&target(number), at));
        all.filter(|path| *path == FirstPath::Direct).count()
    };
    assert_eq!(direct(now), 1);
    assert_eq!(direct(now), 0);
    assert_eq!(direct(now + DIRECT_RETRY_INTERVAL), 1);
}

#[test]
fn a_direct_connection_ends_the_partition() {
    let now = BootInstant::now();
    let paths = Paths::default();
    paths.record_indirect(&target(1), now);
    paths.record_indirect(&target(2), now);
    let change = |is_partitioned| {
        vec![PathChange { service: "writers".to_owned(), is_partitioned }]
    };
    assert_eq!(paths.changes(now), change(true));
    assert_eq!(paths.changes(now), []);
    // Another service has paths of its own.
    let other = PathTarget { service: "portal".to_owned(), ..target(3) };
    paths.record_direct(&other, now + Duration::from_millis(1));
    assert_eq!(paths.changes(now), []);
    paths.record_direct(&target(3), now + Duration::from_millis(1));
    assert_eq!(paths.changes(now), change(false));
    assert_eq!(paths.first_path(&target(4), now), FirstPath::Direct);
}

#[test]
fn relays_that_failed_are_asked_last_and_those_of_the_hall_first() {
    let now = BootInstant::now();
    let paths = Paths::default();
    let all = vec![relay(1, false), relay(2, true), relay(3, true)];
    assert!(paths.choose_relays(all.clone(), now)[0].is_same_hall);
    paths.record_relay(relay(2, true).address, false, now);
    paths.record_relay(relay(3, true).address, false, now);
    let chosen = paths.choose_relays(all.clone(), now);
    assert_eq!(chosen[0], relay(1, false));
    let later = now + FAILED_RELAY_PAUSE;
    assert!(paths.choose_relays(all, later)[0].is_same_hall);
}

/// Of six VMs, five are partitioned as well, and the sixth has failed to reach
/// one upstream, which is down.
#[test]
fn a_relay_that_works_is_asked_before_partitioned_ones() {
    let now = BootInstant::now();
    let paths = Paths::default();
    let all: Vec<RelayVm> = (1..=6).map(|n| relay(n, n != 6)).collect();
    assert_eq!(paths.choose_relays(all.clone(), now).len(), 6);
    for vm in &all {
        paths.record_relay(vm.address, false, now);
    }
    paths.record_relay(all[5].address, true, now);
    let later = now + FAILED_RELAY_PAUSE / 2;
    assert_eq!(paths.choose_relays(all.clone(), later)[0], all[5]);
}

#[test]
fn relays_that_leave_are_asked_after_those_that_stay() {
    let now = BootInstant::now();
    let paths = Paths::default();
    let leaving = RelayVm { is_leaving: true, ..relay(1, true) };
    let all = vec![leaving, relay(2, false), relay(3, true)];
    paths.record_relay(relay(3, true).address, false, now);
    let chosen = paths.choose_relays(all, now);
    assert_eq!(chosen, [relay(2, false), leaving, relay(3, true)]);
}
