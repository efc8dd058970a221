//! Checks that callers that send bytes without end, fast or slowly, in a head
//! or a body, are given up, and that others are served meanwhile.

use std::{
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use standins::{
    gateway_site::{PLAIN, Site, request, wait_until},
    scripted::{Upstream, always_responds},
};

/// Time within which a revoked key must be rejected everywhere; long enough
/// that no test reaches it.
const REVOKE_MS: u64 = 30_000;

/// Size of the blocks of bytes that come fast.
const BLOCK_BYTES: usize = 16 << 10;

/// Time between bytes that come slowly.
const PAUSE: Duration = Duration::from_millis(20);

/// Bytes that a caller may get rid of in a connection that nobody reads any
/// more: the buffers of both sockets, and what the VM may read.
const MAX_SENT_BYTES: u64 = 32 << 20;

/// Most memory that a VM may have had after a test.
const MAX_MEMORY_BYTES: u64 = 512 << 20;

static SITE_LOCK: Mutex<()> = Mutex::new(());

/// Serializes the tests: sites side by side would slow each other down.
fn lock_site() -> MutexGuard<'static, ()> {
    SITE_LOCK.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// Starts a site with one VM and one upstream.
fn site_with(upstream: &Upstream) -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    Site::with_one_vm(program, REVOKE_MS, &[upstream], PLAIN)
}

/// Sends `start` and then repeats `rest` until the VM closes the connection;
/// returns the number of bytes sent.
fn send_endlessly(
    address: SocketAddr,
    start: &str,
    rest: &str,
    pause: Duration,
) -> u64 {
    let mut stream = TcpStream::connect(address).expect("a VM that accepts");
    let count = match pause.is_zero() {
        true => BLOCK_BYTES.div_ceil(rest.len()),
        false => 1,
    };
    let block = rest.repeat(count).into_bytes();
    let mut sent = 0;
    let mut next = start.as_bytes();
    loop {
        match stream.write(next) {
            Ok(count) => sent += count as u64,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return sent,
        }
        thread::sleep(pause);
        next = &block;
    }
}

/// Sends requests without end, in all forms at the same time.
fn assert_given_up(forms: &[(&str, &str)]) {
    let upstream = Upstream::start("i-1", always_responds(200, "x"));
    let site = site_with(&upstream);
    let vm = &site.vms[0];
    let cases: Vec<(&str, &str, Duration)> = forms
        .iter()
        .flat_map(|(start, rest)| {
            [Duration::ZERO, PAUSE].map(|pause| (*start, *rest, pause))
        })
        .collect();
    let closed = AtomicUsize::new(0);
    thread::scope(|scope| {
        for (start, rest, pause) in &cases {
            let closed = &closed;
            scope.spawn(move || {
                let sent = send_endlessly(vm.callers, start, rest, *pause);
                assert!(
                    sent <= MAX_SENT_BYTES,
                    "{start:?} {rest:?}: sent {sent} bytes"
                );
                closed.fetch_add(1, Ordering::SeqCst);
            });
        }
        let mut number = 0;
        wait_until("all connections are closed", || {
            let got =
                vm.ask(&request("GET", "/read/x", &format!("r-{number}"), ""));
            assert_eq!(got.status, 200, "another caller: {got:?}");
            number += 1;
            closed.load(Ordering::SeqCst) == cases.len()
        });
    });
    let memory = vm.peak_memory_bytes();
    assert!(memory <= MAX_MEMORY_BYTES, "{memory} bytes");
}

#[test]
fn heads_of_requests_without_end_are_given_up() {
    let _guard = lock_site();
    assert_given_up(&[
        ("", "no request "),
        ("", "\r\n"),
        ("GET /", "a"),
        ("GET /read/x HTTP/1.1\r\nX-Long: ", "a"),
        ("GET /read/x HTTP/1.1\r\n", "X-Many: a\r\n"),
    ]);
}

#[test]
fn bodies_of_requests_without_end_are_given_up() {
    let _guard = lock_site();
    let head = request("POST", "/once/x", "r-endless", "");
    let start = |more: &str| head.replace("\r\n\r\n", &format!("\r\n{more}"));
    let chunked = start("Transfer-Encoding: chunked\r\n\r\n");
    assert_given_up(&[
        (&start("Content-Length: 100000000000\r\n\r\n"), "a"),
        (&start("Content-Length: 60000\r\n\r\n"), "a"),
        (&chunked, "1\r\na\r\n"),
        (&chunked, "1"),
        (&(chunked.clone() + "1;x="), "a"),
        (&(chunked.clone() + "0\r\n"), "X-Trailer: a\r\n"),
    ]);
}
