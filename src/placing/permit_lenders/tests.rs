use super::*;

#[test]
fn a_vm_without_a_permit_is_not_asked_until_it_has_one() {
    let lenders = PermitLenders::default();
    let now = BootInstant::now();
    let service: ServiceId = "writers".parse().unwrap();
    let other: ServiceId = "tags".parse().unwrap();
    let owners = ["vm-1".to_owned(), "vm-2".to_owned()];
    lenders.record_wait(&service, "vm-1", Duration::from_millis(300), now);
    for _ in 0..20 {
        let chosen = lenders.choose(&service, &owners, now);
        assert_eq!(chosen, Some(&owners[1]));
    }
    lenders.record_wait(&service, "vm-2", Duration::from_secs(600), now);
    assert_eq!(lenders.choose(&service, &owners, now), None);
    assert!(lenders.choose(&other, &owners, now).is_some());
    let later = now + Duration::from_millis(300);
    assert_eq!(lenders.choose(&service, &owners, later), Some(&owners[0]));
    let later = now + MAX_WAIT;
    assert!(lenders.choose(&service, &owners[1..], later).is_some());
}
