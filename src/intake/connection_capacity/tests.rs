use super::*;

#[test]
fn the_scarcer_of_memory_and_descriptors_counts() {
    let capacity =
        |memory, files| ConnectionCapacity::new(Megabytes(memory), files).0;
    assert_eq!(capacity(0, 0), None);
    assert_eq!(capacity(88, 0), Some(1024));
    assert_eq!(capacity(0, 4100), Some(1850));
    assert_eq!(capacity(88, 4100), Some(1024));
    assert_eq!(capacity(512, 4100), Some(1850));
    // A VM that is too small for its reserve still serves somebody.
    assert_eq!(capacity(16, 100), Some(1));
}

#[test]
fn connections_are_closed_before_there_is_no_room() {
    let capacity = ConnectionCapacity::new(Megabytes(0), 600);
    assert!(!capacity.is_scarce(74) && capacity.has_room(74));
    assert!(capacity.is_scarce(75) && capacity.has_room(99));
    assert!(!capacity.has_room(100));
}
