//! Peers that send bytes without end, quickly, until the caller closes the
//! connection. Whatever reads from an upstream or the store does so with this
//! client.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener},
    thread::{self, JoinHandle},
    time::Duration,
};

use hyper::Method;

use super::*;
use crate::clock::SystemClock;

/// Largest body that the caller accepts.
const BODY_LIMIT_BYTES: u64 = 64 << 10;

/// Time that the caller allows.
const LIMIT: Duration = Duration::from_secs(5);

/// Bytes that a peer may get rid of in a connection that nobody reads any
/// more: the buffers of both sockets, and what the caller may read.
const MAX_SENT_BYTES: u64 = 32 << 20;

/// A peer that answers a request with `start` and then repeats `rest` until
/// the connection is closed; ends with the number of bytes sent.
fn endless(
    start: &'static str,
    rest: &'static str,
) -> (SocketAddr, JoinHandle<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).unwrap() > 0);
        let block = rest.repeat((16 << 10) / rest.len());
        let mut sent = 0;
        let mut next = start.as_bytes();
        loop {
            match stream.write(next) {
                Ok(count) => sent += count as u64,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return sent,
            }
            next = block.as_bytes();
        }
    });
    (address, peer)
}

/// Returns the result of a call to such a peer, and the bytes that it sent.
fn call(
    start: &'static str,
    rest: &'static str,
) -> (Result<FullResponse, SendError>, u64) {
    let (address, peer) = endless(start, rest);
    let client = HttpClient::new(LIMIT, Arc::new(SystemClock));
    let call = Call::new(address, Method::GET, "/");
    let answer = smol::block_on(client.fetch(call, LIMIT, BODY_LIMIT_BYTES));
    // Closes a connection that was kept.
    drop(client);
    (answer, peer.join().unwrap())
}

fn assert_given_up(start: &'static str, rest: &'static str) {
    let (answer, sent) = call(start, rest);
    assert!(answer.is_err(), "{start:?} {rest:?}: accepted");
    assert!(sent <= MAX_SENT_BYTES, "{start:?} {rest:?}: read {sent} bytes");
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
    let (answer, sent) =
        call("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "more");
    assert_eq!(answer.map(|answer| answer.body), Ok(Bytes::from("ok")));
    assert!(sent <= MAX_SENT_BYTES, "read {sent} bytes");
}
