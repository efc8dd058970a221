use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn leaving_is_news_once_and_stays() {
    let word = ReportedState::default();
    assert!(!word.is_leaving());
    assert!(word.note_leaving());
    assert!(!word.note_leaving());
    assert!(word.is_leaving());
}

#[test]
fn a_rest_holds_to_its_end_and_a_shorter_one_does_not_cut_it() {
    let word = ReportedState::default();
    let now = BootInstant::now();
    assert!(word.note_rest(SECOND * 3, 0.0, now));
    assert!(!word.note_rest(SECOND, 0.0, now + SECOND));
    assert_eq!(word.rest_left(now + SECOND), SECOND * 2);
    assert!(word.holds(now + SECOND));
    assert_eq!(word.rest_left(now + SECOND * 3), Duration::ZERO);
    let later = now + SECOND * 4;
    assert!(word.note_rest(SECOND, 0.0, later), "asked for once more");
}

/// What was held back for seconds would otherwise come in one moment, and be
/// turned away in another.
#[test]
fn after_a_rest_requests_come_one_by_one_until_one_is_taken() {
    let word = ReportedState::default();
    let now = BootInstant::now();
    word.note_rest(SECOND, 0.0, now);
    let over = now + SECOND;
    assert!(word.rest_left(over).is_zero());
    word.record_sent(over);
    assert_eq!(word.rest_left(over), TRY_GAP);
    assert!(word.rest_left(over + TRY_GAP).is_zero());
    assert!(!word.note_taken(now), "it was sent before the rest was over");
    assert_eq!(word.rest_left(over), TRY_GAP);
    assert!(word.note_taken(over));
    assert!(!word.note_taken(over), "that is news once");
    word.record_sent(over);
    assert!(word.rest_left(over).is_zero());
}

/// A VM that is suspended meanwhile must not find that time before it.
#[test]
fn a_rest_runs_on_by_the_clock_that_counts_suspended_time() {
    let word = ReportedState::default();
    let now = BootInstant::now();
    word.note_rest(SECOND * 3, 1.0, now);
    assert!(word.rest_left(now + SECOND * 3600).is_zero());
    assert!(!word.holds(now + SECOND * 3600));
}

#[test]
fn those_that_were_told_together_return_apart_and_never_early() {
    let now = BootInstant::now();
    let mut returns: Vec<Duration> = (0..10)
        .map(|draw| {
            let word = ReportedState::default();
            word.note_rest(SECOND * 3, f64::from(draw) / 10.0, now);
            word.rest_left(now)
        })
        .collect();
    returns.dedup();
    assert_eq!(returns.len(), 10, "{returns:?}");
    assert!(returns.iter().all(|time| *time >= SECOND * 3));
    assert!(returns.iter().all(|time| *time <= SECOND * 4));
}

#[test]
fn an_endless_rest_ends_and_none_at_all_is_none() {
    let word = ReportedState::default();
    let now = BootInstant::now();
    assert!(!word.note_rest(Duration::ZERO, 1.0, now));
    assert!(word.rest_left(now).is_zero());
    assert!(word.note_rest(Duration::MAX, 1.0, now));
    assert!(word.rest_left(now) <= REST_MOST + RETURN_SPREAD_MOST);
}

#[test]
fn the_word_of_a_life_outlasts_its_record_and_not_for_ever() {
    let now = BootInstant::now();
    let (leaving, silent) = (ShortHash(1), ShortHash(2));
    let mut unlisted = UnlistedWords::default();
    let word = Arc::new(ReportedState::default());
    word.note_leaving();
    unlisted.keep(leaving, word.clone(), now);
    unlisted.keep(silent, Arc::default(), now);
    assert_eq!(unlisted.0.len(), 1, "nothing is kept of one that is silent");
    assert!(unlisted.take(leaving).is_leaving());
    assert!(!unlisted.take(leaving).is_leaving(), "it is listed again");
    unlisted.keep(leaving, word.clone(), now);
    unlisted.keep(silent, word, now + UNLISTED_LIFETIME);
    assert!(!unlisted.take(leaving).is_leaving(), "that was too long ago");
}
