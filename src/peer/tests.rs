use std::net::TcpStream as BlockingStream;

use super::*;
use crate::http_client::endless_peer::{Endless, MAX_SENT_BYTES};

/// Bytes without end that are no message: too long a frame, frames that no VM
/// has sealed, and a frame that does not come to its end.
const NO_MESSAGES: [(&[u8], &[u8]); 3] =
    [(b"", b"\xff"), (b"", b"\0\0\0\x04abcd"), (b"\0\x7f\xff\xff", b"\0")];

/// Time between bytes that come slowly.
const PAUSE: Duration = Duration::from_millis(20);

/// Returns these bytes, once fast and once slowly.
fn fast_and_slow(
    (start, rest): (&'static [u8], &'static [u8]),
) -> [Endless; 2] {
    [Duration::ZERO, PAUSE].map(|pause| Endless { start, rest, pause })
}

fn codec() -> FrameCodec {
    let key: crate::secret::ClusterKey = "01".repeat(32).parse().unwrap();
    FrameCodec::new(&key)
}

/// Replies to every request.
struct Replies;

impl PeerService for Replies {
    async fn answer(self: Arc<Self>, _: PeerRequest) -> PeerReply {
        PeerReply::Done
    }

    async fn connect_upstream(
        self: Arc<Self>,
        _: ShortHash,
    ) -> Result<RelayedUpstream, String> {
        Err("no upstreams".to_owned())
    }
}

/// A request of any kind.
fn any_request() -> PeerRequest {
    PeerRequest::BorrowPermit { upstreams: Vec::new() }
}

#[test]
fn replies_without_end_are_given_up() {
    for bytes in NO_MESSAGES.into_iter().flat_map(fast_and_slow) {
        let (address, peer) = bytes.serve();
        let client = PeerClient::new(codec(), Arc::new(Metrics::new()));
        let limit = Duration::from_millis(300);
        let call = client.call(address, any_request(), limit);
        let reply = task::block_on(call);
        assert!(reply.is_err(), "{bytes:?}: accepted {reply:?}");
        drop(client);
        let sent = peer.join().unwrap();
        assert!(sent <= MAX_SENT_BYTES, "{bytes:?}: sent {sent} bytes");
    }
}

#[test]
fn tunnels_are_not_opened_by_replies_without_end() {
    for bytes in NO_MESSAGES.into_iter().flat_map(fast_and_slow) {
        let (address, peer) = bytes.serve();
        let key = codec();
        let opening = open_tunnel(&key, address, ShortHash(1));
        let limit = Duration::from_millis(300);
        let opened = task::block_on(within(limit, opening));
        assert!(!matches!(opened, Some(Ok(_))), "{bytes:?}: opened");
        let sent = peer.join().unwrap();
        assert!(sent <= MAX_SENT_BYTES, "{bytes:?}: sent {sent} bytes");
    }
}

/// Other VMs are served meanwhile.
#[test]
fn requests_without_end_are_given_up() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let metrics = Arc::new(Metrics::new());
        let serving = task::spawn(serve(
            listener,
            codec(),
            metrics.clone(),
            Arc::new(Replies),
        ));
        let peers: Vec<_> = NO_MESSAGES
            .into_iter()
            .flat_map(fast_and_slow)
            // A slow frame is read until its end.
            .filter(|bytes| bytes.pause.is_zero() || bytes.start.is_empty())
            .map(|bytes| {
                let stream = BlockingStream::connect(address).unwrap();
                std::thread::spawn(move || bytes.send(stream))
            })
            .collect();
        let client = PeerClient::new(codec(), metrics);
        for _ in 0..10 {
            let limit = Duration::from_secs(5);
            let reply = client.call(address, any_request(), limit).await;
            assert!(matches!(reply, Ok(PeerReply::Done)), "{reply:?}");
        }
        for peer in peers {
            let sent = smol::unblock(|| peer.join().unwrap()).await;
            assert!(sent <= MAX_SENT_BYTES, "sent {sent} bytes");
        }
        drop(serving);
    });
}

/// Guards against messages that follow half a frame on a shared connection,
/// after the caller of a request has disconnected while it was written.
#[test]
fn a_connection_with_half_a_frame_is_not_used_again() {
    task::block_on(async {
        // Accepts a connection, but reads nothing.
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let client = PeerClient::new(codec(), Arc::new(Metrics::new()));
        let first = client.connection(address).await.unwrap();
        let _accepted = listener.accept().await.unwrap();
        // Larger than the buffers of a connection.
        let frame = vec![0; 64 << 20];
        let mut write = Box::pin(first.write(&frame));
        assert!(smol::future::poll_once(&mut write).await.is_none());
        drop(write);
        let second = client.connection(address).await.unwrap();
        assert!(!Arc::ptr_eq(&first, &second));
    });
}
