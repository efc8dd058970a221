use super::*;
use crate::chains::store::StoreVersion;

const MILLISECOND: Duration = Duration::from_millis(1);
const PUSH_TIME: Duration = Duration::from_millis(800);

fn position(version: u64) -> StorePosition {
    let version = StoreVersion(version);
    StorePosition { version, ..StorePosition::default() }
}

#[test]
fn a_requested_poll_is_due_until_it_is_made() {
    let now = BootInstant::now();
    let mut catch_up = CatchUp::default();
    assert!(!catch_up.is_due(position(1), PUSH_TIME, now));
    catch_up.request_poll();
    assert!(catch_up.is_due(position(1), PUSH_TIME, now));
    catch_up.record_poll();
    assert!(!catch_up.is_due(position(1), PUSH_TIME, now));
}

#[test]
fn a_vm_that_stays_behind_polls() {
    let start = BootInstant::now();
    let mut catch_up = CatchUp::default();
    let is_due = |catch_up: &CatchUp, own, after| {
        catch_up.is_due(position(own), PUSH_TIME, start + after)
    };
    catch_up.record_behind(position(7), position(6), start);
    let later = start + PUSH_TIME / 2;
    catch_up.record_behind(position(8), position(6), later);
    assert!(!is_due(&catch_up, 6, PUSH_TIME - MILLISECOND));
    assert!(is_due(&catch_up, 6, PUSH_TIME));
    assert!(!is_due(&catch_up, 7, PUSH_TIME), "the push has arrived");
    catch_up.record_behind(position(9), position(7), later);
    assert!(!is_due(&catch_up, 7, PUSH_TIME), "behind since then only");
    assert!(is_due(&catch_up, 7, PUSH_TIME * 2));
    catch_up.record_poll();
    assert!(!is_due(&catch_up, 7, PUSH_TIME * 2), "it has caught up");
}
