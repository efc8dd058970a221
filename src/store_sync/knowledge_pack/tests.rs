use super::*;

fn items(count: u64) -> Vec<MirroredItem> {
    let item = |number| MirroredItem {
        key: format!("servers/i-{number}"),
        value: format!(r#"{{"service":"writers","number":{number}}}"#).into(),
        version: number,
    };
    (1..=count).map(item).collect()
}

#[test]
fn packed_items_are_small_and_unpack_to_the_same() {
    let items = items(400);
    let plain: usize = items.iter().map(|i| i.key.len() + i.value.len()).sum();
    let packed = pack(&items);
    assert!(packed.len() < plain / 4, "{} of {plain} bytes", packed.len());
    assert_eq!(unpack(&packed), Some(items));
    assert_eq!(unpack(&pack(&[])), Some(Vec::new()));
}

#[test]
fn truncated_or_foreign_bytes_do_not_unpack() {
    let packed = pack(&items(10));
    for length in 0..packed.len() {
        assert_eq!(unpack(&packed[..length]), None);
    }
    assert_eq!(unpack(b"something else"), None);
}
