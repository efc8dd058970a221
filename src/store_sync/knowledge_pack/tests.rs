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
fn what_is_packed_comes_out_again_and_is_small() {
    let items = items(400);
    let plain: usize = items.iter().map(|i| i.key.len() + i.value.len()).sum();
    let packed = pack(&items);
    assert!(packed.len() < plain / 4, "{} of {plain} bytes", packed.len());
    assert_eq!(unpack(&packed), Some(items));
    assert_eq!(unpack(&pack(&[])), Some(Vec::new()));
}

#[test]
fn what_is_cut_short_or_foreign_is_nothing() {
    let packed = pack(&items(10));
    for length in 0..packed.len() {
        assert_eq!(unpack(&packed[..length]), None);
    }
    assert_eq!(unpack(b"something else"), None);
}
