use super::*;

#[test]
fn leaving_is_news_once_and_stays() {
    let word = OwnWord::default();
    assert!(!word.is_leaving());
    assert!(word.note_leaving());
    assert!(!word.note_leaving());
    assert!(word.is_leaving());
}

#[test]
fn the_word_of_a_life_outlasts_its_record_and_not_for_ever() {
    let now = BootInstant::now();
    let (leaving, silent) = (ShortHash(1), ShortHash(2));
    let mut unlisted = UnlistedWords::default();
    let word = Arc::new(OwnWord::default());
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
