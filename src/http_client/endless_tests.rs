//! Peers that send bytes without end, fast or slowly, until the caller closes
//! the connection. Whatever reads from an upstream or the store does so with
//! this client.

use std::time::Duration;

use hyper::Method;

use super::{
    endless_peer::{Endless, MAX_SENT_BYTES},
    *,
};
use crate::clock::SystemClock;

/// Largest body that the caller accepts.
const BODY_LIMIT_BYTES: u64 = 64 << 10;

/// Time that the caller allows where bytes come fast; they are given up by
/// their number.
const LIMIT: Duration = Duration::from_secs(5);

/// Time that it allows where they come slowly.
const SLOW_LIMIT: Duration = Duration::from_millis(300);

/// Time between slow bytes.
const PAUSE: Duration = Duration::from_millis(20);

/// Returns the result of a call to a peer that sends these bytes, and how many
/// it sent.
fn call(
    bytes: Endless,
    limit: Duration,
) -> (Result<FullResponse, SendError>, u64) {
    let (address, peer) = bytes.serve();
    let client = HttpClient::new(LIMIT, Arc::new(SystemClock));
    let call = Call::new(address, Method::GET, "/");
    let answer = smol::block_on(client.fetch(call, limit, BODY_LIMIT_BYTES));
    // Closes a connection that was kept.
    drop(client);
    (answer, peer.join().unwrap())
}

fn assert_given_up(start: &'static str, rest: &'static str) {
    let [start, rest] = [start, rest].map(str::as_bytes);
    let fast = Endless { start, rest, pause: Duration::ZERO };
    let slow = Endless { pause: PAUSE, ..fast };
    for (bytes, limit) in [(fast, LIMIT), (slow, SLOW_LIMIT)] {
        let (answer, sent) = call(bytes, limit);
        assert!(answer.is_err(), "{bytes:?}: accepted");
        assert!(sent <= MAX_SENT_BYTES, "{bytes:?}: sent {sent} bytes");
    }
}

#[test]
fn heads_without_end_are_given_up() {
    assert_given_up("HTTP/1.1 200 ", "OK");
    assert_given_up("HTTP/1.1 200 OK\r\nX-Long: ", "a");
    assert_given_up("HTTP/1.1 200 OK\r\n", "X-Many: a\r\n");
    assert_given_up("", "no answer ");
}

#[test]
fn bodies_without_end_are_given_up() {
    assert_given_up(
        "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
        "a",
    );
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_given_up(chunked, "10\r\n0123456789abcdef\r\n");
    assert_given_up(chunked, "1");
    assert_given_up("HTTP/1.1 500 Error\r\n\r\n", "a");
}

#[test]
fn chunk_extensions_and_trailers_without_end_are_given_up() {
    assert_given_up(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
        "a",
    );
    assert_given_up(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-Trailer: a\r\n",
    );
}

/// A peer may send any number of interim responses before its answer.
#[test]
fn interim_responses_without_end_are_given_up() {
    assert_given_up("", "HTTP/1.1 100 Continue\r\n\r\n");
    assert_given_up("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
}

/// The answer is complete; what follows belongs to no request.
#[test]
fn bytes_after_a_complete_answer_are_not_read() {
    for pause in [Duration::ZERO, PAUSE] {
        let start = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        let (answer, sent) =
            call(Endless { start, rest: b"more", pause }, LIMIT);
        assert_eq!(answer.map(|answer| answer.body), Ok(Bytes::from("ok")));
        assert!(sent <= MAX_SENT_BYTES, "sent {sent} bytes");
    }
}
