use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn leaving_is_new_once_and_permanent() {
    let state = ReportedState::default();
    assert!(!state.is_leaving());
    assert!(state.mark_leaving());
    assert!(!state.mark_leaving());
    assert!(state.is_leaving());
}

#[test]
fn a_backoff_lasts_to_its_end_and_is_not_shortened() {
    let state = ReportedState::default();
    let now = BootInstant::now();
    assert!(state.begin_backoff(SECOND * 3, 0.0, now));
    assert!(!state.begin_backoff(SECOND, 0.0, now + SECOND));
    assert_eq!(state.backoff_left(now + SECOND), SECOND * 2);
    assert!(state.is_in_force(now + SECOND));
    assert_eq!(state.backoff_left(now + SECOND * 3), Duration::ZERO);
    let later = now + SECOND * 4;
    assert!(state.begin_backoff(SECOND, 0.0, later), "asked for again");
}

/// Guards against a burst of all held-back requests when a backoff ends, which
/// the upstream would reject again.
#[test]
fn after_a_backoff_requests_are_probes_until_one_is_served() {
    let state = ReportedState::default();
    let now = BootInstant::now();
    state.begin_backoff(SECOND, 0.0, now);
    let over = now + SECOND;
    assert!(state.backoff_left(over).is_zero());
    state.record_sent(over);
    assert_eq!(state.backoff_left(over), PROBE_INTERVAL);
    assert!(state.backoff_left(over + PROBE_INTERVAL).is_zero());
    assert!(
        !state.record_served(now),
        "it was sent before the end of the backoff"
    );
    assert_eq!(state.backoff_left(over), PROBE_INTERVAL);
    assert!(state.record_served(over));
    assert!(!state.record_served(over), "it is reported once");
    state.record_sent(over);
    assert!(state.backoff_left(over).is_zero());
}

/// Guards against a VM that resumes after a suspension and still waits for a
/// backoff that ended meanwhile.
#[test]
fn a_backoff_includes_suspended_time() {
    let state = ReportedState::default();
    let now = BootInstant::now();
    state.begin_backoff(SECOND * 3, 1.0, now);
    assert!(state.backoff_left(now + SECOND * 3600).is_zero());
    assert!(!state.is_in_force(now + SECOND * 3600));
}

#[test]
fn backoffs_end_spread_out_and_never_early() {
    let now = BootInstant::now();
    let mut returns: Vec<Duration> = (0..10)
        .map(|jitter| {
            let state = ReportedState::default();
            state.begin_backoff(SECOND * 3, f64::from(jitter) / 10.0, now);
            state.backoff_left(now)
        })
        .collect();
    returns.dedup();
    assert_eq!(returns.len(), 10, "{returns:?}");
    assert!(returns.iter().all(|time| *time >= SECOND * 3));
    assert!(returns.iter().all(|time| *time <= SECOND * 4));
}

#[test]
fn an_endless_backoff_is_capped_and_a_zero_one_is_ignored() {
    let state = ReportedState::default();
    let now = BootInstant::now();
    assert!(!state.begin_backoff(Duration::ZERO, 1.0, now));
    assert!(state.backoff_left(now).is_zero());
    assert!(state.begin_backoff(Duration::MAX, 1.0, now));
    assert!(state.backoff_left(now) <= MAX_BACKOFF + MAX_JITTER);
}

#[test]
fn reported_state_outlives_the_record_for_a_limited_time() {
    let now = BootInstant::now();
    let (leaving, silent) = (ShortHash(1), ShortHash(2));
    let mut unlisted = UnlistedStates::default();
    let state = Arc::new(ReportedState::default());
    state.mark_leaving();
    unlisted.keep(leaving, state.clone(), now);
    unlisted.keep(silent, Arc::default(), now);
    assert_eq!(unlisted.0.len(), 1, "an empty state is not kept");
    assert!(unlisted.take(leaving).is_leaving());
    assert!(!unlisted.take(leaving).is_leaving(), "it was taken");
    unlisted.keep(leaving, state.clone(), now);
    unlisted.keep(silent, state, now + UNLISTED_TTL);
    assert!(!unlisted.take(leaving).is_leaving(), "it has expired");
}
