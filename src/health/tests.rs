use super::*;

#[test]
fn one_failure_says_nothing_and_three_in_a_row_do() {
    let now = Instant::now();
    let health = Health::new(now);
    assert_eq!(health.record(Verdict::Failed, now), None);
    assert_eq!(health.record(Verdict::Failed, now), None);
    assert!(health.is_sound(now));
    assert_eq!(health.record(Verdict::Failed, now), Some(HealthChange::Unfit));
    assert!(!health.is_sound(now));
    assert!(health.is_sound(now + PAUSE));
}

#[test]
fn a_connection_that_cannot_be_opened_says_enough() {
    let now = Instant::now();
    let health = Health::new(now);
    let change = health.record(Verdict::Unreachable, now);
    assert_eq!(change, Some(HealthChange::Unfit));
}

#[test]
fn failing_a_part_of_the_requests_is_noticed() {
    let now = Instant::now();
    let health = Health::new(now);
    let changes = (0..20).filter_map(|number| {
        let verdict =
            if number % 5 < 2 { Verdict::Failed } else { Verdict::Good };
        health.record(verdict, now)
    });
    assert!(changes.collect::<Vec<_>>().contains(&HealthChange::Unfit));
}

#[test]
fn an_answer_after_the_pause_brings_it_back() {
    let now = Instant::now();
    let health = Health::new(now);
    health.record(Verdict::Unreachable, now);
    // An answer from before the pause's end is old news.
    assert_eq!(health.record(Verdict::Good, now), None);
    assert!(!health.is_sound(now));
    let later = now + PAUSE;
    let change = health.record(Verdict::Good, later);
    assert_eq!(change, Some(HealthChange::Fit));
    assert!(health.is_sound(later));
}

#[test]
fn failing_again_after_the_pause_doubles_it() {
    let now = Instant::now();
    let health = Health::new(now);
    health.record(Verdict::Unreachable, now);
    let later = now + PAUSE;
    health.record(Verdict::Unreachable, later);
    assert!(!health.is_sound(later + PAUSE));
    assert!(health.is_sound(later + PAUSE * 2));
}
