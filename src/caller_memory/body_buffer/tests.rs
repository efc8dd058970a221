//! Bodies of every size, in parts of every size.

use proptest::prelude::*;

use super::*;
use crate::{clock::SystemClock, task, unit::Megabytes};

fn account(memory_mb: u32) -> Arc<CallerMemory> {
    CallerMemory::new(Megabytes(memory_mb), Arc::new(SystemClock))
}

fn collect(
    account: &Arc<CallerMemory>,
    body: &[u8],
    part_bytes: usize,
    limit_bytes: usize,
    stated_bytes: Option<usize>,
) -> Result<Bytes, BodyError> {
    let mut buffer = BodyBuffer::new(
        account.clone(),
        Purpose::Body,
        limit_bytes,
        stated_bytes,
    );
    task::block_on(async {
        for part in body.chunks(part_bytes) {
            buffer.push(part).await?;
        }
        Ok::<(), BodyError>(())
    })?;
    assert_eq!(buffer.len_bytes(), body.len());
    buffer.finish()
}

proptest! {
    #[test]
    fn a_body_is_collected_as_it_was_sent(
        len_bytes in 0..5 * COVERED_BYTES,
        part_bytes in 1..2 * COVERED_BYTES,
        is_stated: bool,
    ) {
        let body: Vec<u8> = (0..len_bytes).map(|at| at as u8).collect();
        let stated = is_stated.then_some(len_bytes);
        let limit = 5 * COVERED_BYTES;
        let account = account(64);
        let whole =
            collect(&account, &body, part_bytes, limit, stated).unwrap();
        prop_assert_eq!(&whole[..], &body[..]);
    }
}

#[test]
fn a_body_over_the_limit_is_rejected() {
    for limit_bytes in [10, COVERED_BYTES, 3 * COVERED_BYTES] {
        let account = account(64);
        let body = vec![0; limit_bytes + 1];
        let exact =
            collect(&account, &body[1..], 7, limit_bytes, None).unwrap();
        assert_eq!(exact.len(), limit_bytes);
        for stated in [None, Some(limit_bytes + 1)] {
            let error = collect(&account, &body, 7, limit_bytes, stated);
            assert!(matches!(
                error,
                Err(BodyError::TooLarge { limit_bytes: limit })
                    if limit == limit_bytes
            ));
        }
    }
}

#[test]
fn a_body_without_room_is_overload_and_one_too_slow_a_timeout() {
    // Bodies may take 337 KiB.
    let account = account(25);
    let body = vec![0; 1 << 20];
    let error = collect(&account, &body, 1 << 10, 1 << 20, None).unwrap_err();
    assert_eq!(Error::from(error).kind(), ErrorKind::Overloaded);
    let stalled = Error::from(BodyError::from(GivesWay::Stalled));
    assert_eq!(stalled.kind(), ErrorKind::RequestTimeout);
    let small = collect(&account, &body[..100], 10, 1 << 20, None).unwrap();
    assert_eq!(small.len(), 100);
}
