//! Peers that close their connection within the head of a response. Whatever
//! reads from an upstream, the store or another VM does so with this client.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener},
    thread,
};

use hyper::Method;

use super::*;
use crate::clock::SystemClock;

const LIMIT: Duration = Duration::from_secs(5);

/// Returns the result of a call to a peer that reads a request, sends these
/// bytes and closes the connection.
fn call(bytes: &[u8]) -> Result<FullResponse, SendError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let bytes = bytes.to_vec();
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).unwrap() > 0);
        stream.write_all(&bytes).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        // Waits until the client has closed the connection.
        let _ = stream.read(&mut request);
    });
    let client = HttpClient::new(LIMIT, Arc::new(SystemClock));
    let call = Call::new(address, Method::POST, "/");
    let answer = smol::block_on(async {
        let sent = client.send(call, Reuse::Fresh).await;
        let mut exchange = sent?;
        exchange.allow_end_at_close();
        exchange.read_to_end(1 << 20).await
    });
    peer.join().unwrap();
    answer
}

/// Guards against a response whose head ends with the connection, and which
/// would be passed on with an empty or a short body.
#[test]
fn a_head_that_is_cut_anywhere_is_no_response() {
    let heads = [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Last: a\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
        "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
    ];
    for head in heads {
        for at in 0..head.len() - 1 {
            let answer = call(&head.as_bytes()[..at]);
            assert!(answer.is_err(), "{:?}: {answer:?}", &head[..at]);
        }
    }
}

/// Guards against a body that is shorter than its head says.
#[test]
fn a_body_that_is_cut_is_no_response() {
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    assert_eq!(call(whole.as_bytes()).unwrap().body, "body");
    for cut in 1..=4 {
        let answer = call(&whole.as_bytes()[..whole.len() - cut]);
        assert!(answer.is_err(), "{cut} bytes less: {answer:?}");
    }
}
