use smol::net::TcpListener;

use super::*;
use crate::http_client::endless_peer::MAX_SENT_BYTES;

/// Returns the two ends of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = TcpStream::connect(address).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    (client, server)
}

/// Returns a stream through another VM, the upstream's end of it, and the task
/// of the other VM.
async fn tunnel() -> (TunnelStream, TcpStream, smol::Task<u64>) {
    let (asking, other) = connection().await;
    let (near, upstream) = connection().await;
    let relay = smol::spawn(serve(other, near));
    (TunnelStream::new(asking), upstream, relay)
}

#[test]
fn bytes_pass_in_both_directions_to_a_clean_end() {
    smol::block_on(async {
        let (mut stream, mut upstream, _relay) = tunnel().await;
        stream.write_all(b"request").await.unwrap();
        let mut request = [0; 7];
        upstream.read_exact(&mut request).await.unwrap();
        assert_eq!(&request, b"request");
        let response = vec![7; 100_000];
        let sent = response.clone();
        let write = smol::spawn(async move {
            upstream.write_all(&sent).await.unwrap();
        });
        let mut received = Vec::new();
        stream.read_to_end(&mut received).await.unwrap();
        write.await;
        assert_eq!(received, response);
    });
}

#[test]
fn a_response_cut_by_the_loss_of_the_other_vm_is_not_complete() {
    smol::block_on(async {
        let (mut stream, mut upstream, relay) = tunnel().await;
        upstream.write_all(b"half").await.unwrap();
        let mut half = [0; 4];
        stream.read_exact(&mut half).await.unwrap();
        relay.cancel().await;
        let mut rest = Vec::new();
        let error = stream.read_to_end(&mut rest).await.unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::UnexpectedEof);
    });
}

#[test]
fn a_caller_that_closes_its_end_closes_the_connection_to_the_upstream() {
    smol::block_on(async {
        let (stream, mut upstream, relay) = tunnel().await;
        drop(stream);
        let mut rest = Vec::new();
        let closed = upstream.read_to_end(&mut rest).await;
        assert_eq!(closed.unwrap_or(0), 0);
        relay.await;
    });
}

/// The VM that relays holds no more than the buffers of the connections, and
/// closes the upstream's once the caller is gone.
#[test]
fn bytes_without_end_stop_when_the_caller_closes() {
    smol::block_on(async {
        let (mut stream, mut upstream, relay) = tunnel().await;
        let sending = smol::spawn(async move {
            let block = vec![7; BUFFER_BYTES];
            while upstream.write_all(&block).await.is_ok() {}
        });
        let mut read = vec![0; 1 << 20];
        stream.read_exact(&mut read).await.unwrap();
        drop(stream);
        sending.await;
        let sent = relay.await;
        assert!(sent <= MAX_SENT_BYTES, "relayed {sent} bytes");
    });
}
