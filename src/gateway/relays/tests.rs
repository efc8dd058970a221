use super::*;

#[test]
fn connections_are_counted_until_they_end_and_none_begins_after_the_close() {
    let relays = Relays::default();
    let open = relays.enter();
    assert!(open.is_some());
    assert_eq!(relays.close(), 1);
    assert!(relays.enter().is_none());
    drop(open);
    assert_eq!(relays.close(), 0);
}
