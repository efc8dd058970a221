use std::sync::Arc;

use hyper::Method;

use super::*;
use crate::{
    clock::SystemClock,
    http_client::{
        Call, HttpClient, Reuse,
        endless_peer::{Endless, MAX_SENT_BYTES},
    },
};

const START: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                       9\r\ndata: a\n\n\r\n";

/// Reads two events of a stream whose first one is whole and is followed by
/// these bytes.
fn read_two(rest: &'static [u8], pause: Duration) -> [Option<String>; 2] {
    let (address, peer) = Endless { start: START, rest, pause }.serve();
    let read = smol::block_on(async {
        let connect_timeout = Duration::from_secs(5);
        let client = HttpClient::new(connect_timeout, Arc::new(SystemClock));
        let call = Call::new(address, Method::GET, "/");
        let exchange = client.send(call, Reuse::Fresh).await.unwrap();
        let idle_timeout = Duration::from_millis(300);
        let mut events = EventReader::new(exchange, idle_timeout);
        let first = events.next().await.unwrap();
        let second = events.next().await.ok().flatten();
        [first, second].map(|event| event.map(|event| event.data))
    });
    let sent = peer.join().unwrap();
    assert!(sent <= MAX_SENT_BYTES, "{rest:?}: sent {sent} bytes");
    read
}

#[test]
fn bytes_without_end_that_are_no_event_are_given_up() {
    let comment = b"3\r\n:\n\n\r\n";
    let part_of_an_event = b"1\r\na\r\n";
    for pause in [Duration::ZERO, Duration::from_millis(20)] {
        for rest in [&comment[..], part_of_an_event] {
            let read = read_two(rest, pause);
            assert_eq!(read, [Some("a".into()), None], "{rest:?}");
        }
    }
}

#[test]
fn events_that_keep_coming_are_read() {
    let event = b"9\r\ndata: b\n\n\r\n";
    let read = read_two(event, Duration::from_millis(20));
    assert_eq!(read, [Some("a".into()), Some("b".into())]);
}
