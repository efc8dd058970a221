//! Which connections a VM accepts, and that it answers each request on them.

use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::{
    clock::SystemClock,
    gateway::{
        settings::GatewaySettings, slot_test_site, tests::MINIMAL_SETTINGS,
    },
    store_sync::route::{InputLimits, Repeat, TableVersion},
};

/// Time within which a VM reacts.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a refused connection after which a VM seems to accept all.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// A VM that accepts connections.
struct Accepting {
    gateway: Arc<Gateway>,
    address: std::net::SocketAddr,
    _close: smol::channel::Sender<()>,
    _serving: task::Task<()>,
}

impl Accepting {
    async fn start(settings: &str) -> Accepting {
        let settings = MINIMAL_SETTINGS.replace("[listen]", settings);
        let settings = GatewaySettings::from_ini(&settings).unwrap();
        let gateway = Gateway::new(settings, Arc::new(SystemClock));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (close, closing) = smol::channel::bounded(1);
        let serving = serve(gateway.clone(), listener, closing);
        let serving = task::spawn(serving);
        Accepting { gateway, address, _close: close, _serving: serving }
    }

    /// Opens connections until one is refused, and closes them.
    async fn wait_until_refusing(&self) {
        let refused = async {
            while TcpStream::connect(self.address).await.is_ok() {
                task::sleep(Duration::from_millis(5)).await;
            }
        };
        task::within(TIMEOUT, refused).await.expect("a refused connection");
    }

    /// Waits until no connection is refused any more.
    async fn wait_until_accepting(&self) {
        let accepted = async {
            let mut since = self.gateway.clock.now();
            while self.gateway.clock.now() < since + QUIET_TIME {
                if TcpStream::connect(self.address).await.is_err() {
                    since = self.gateway.clock.now();
                }
                task::sleep(Duration::from_millis(100)).await;
            }
        };
        task::within(TIMEOUT, accepted).await.expect("connections accepted");
    }
}

/// A VM without descriptors would accept connections that it cannot serve.
#[test]
fn a_vm_refuses_connections_that_it_has_no_descriptors_for() {
    task::block_on(async {
        // Enough for five connections.
        let vm = Accepting::start("max_open_files = 410\n[listen]").await;
        vm.wait_until_accepting().await;
        let mut held = Vec::new();
        let filled = async {
            while let Ok(stream) = TcpStream::connect(vm.address).await {
                held.push(stream);
                task::sleep(Duration::from_millis(20)).await;
            }
        };
        task::within(TIMEOUT, filled).await.expect("a refused connection");
        assert!((5..=6).contains(&held.len()), "{}", held.len());
        drop(held);
        vm.wait_until_accepting().await;
    });
}

/// A VM whose work is late refuses connections, and accepts them again.
#[test]
fn a_vm_refuses_connections_while_everything_is_late() {
    task::block_on(async {
        let vm = Accepting::start("[listen]").await;
        vm.wait_until_accepting().await;
        let is_late = AtomicBool::new(true);
        let keep_late = async {
            while is_late.load(Ordering::Relaxed) {
                let delay = Duration::from_millis(500);
                vm.gateway.record_own_delay(Resource::Network, delay);
                task::sleep(Duration::from_millis(10)).await;
            }
        };
        let refused = async {
            vm.wait_until_refusing().await;
            is_late.store(false, Ordering::Relaxed);
        };
        future::zip(keep_late, refused).await;
        vm.wait_until_accepting().await;
    });
}

/// Makes each request panic that is admitted, by a lock whose holder panicked.
fn poison(gateway: &Arc<Gateway>) {
    let gateway = gateway.clone();
    let holder = std::thread::spawn(move || {
        let _held = gateway.retry_budgets.lock();
        panic!("poisons the lock");
    });
    assert!(holder.join().is_err());
}

/// Guards against a request that ends in a panic and gets no answer, and whose
/// line says that its caller left.
#[test]
fn a_request_that_panics_is_answered() {
    task::block_on(async {
        let vm = Accepting::start("[listen]").await;
        let gateway = &vm.gateway;
        let route = slot_test_site::route(Repeat::Any);
        gateway.knowledge.install(RouteTable::new(
            TableVersion(1),
            vec![route],
            Vec::new(),
            None,
            InputLimits::default(),
        ));
        gateway.knowledge.prove(gateway.clock.now());
        poison(gateway);
        let mut stream = TcpStream::connect(vm.address).await.unwrap();
        let request = "GET /read/x HTTP/1.1\r\nHost: site.example\r\n\
                       Lupinseam-Attempt-Id: r-1\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer);
        task::within(TIMEOUT, read).await.unwrap().unwrap();
        assert!(answer.starts_with("HTTP/1.1 500"), "{answer:?}");
        assert!(answer.contains("lupinseam-attempt-id: r-1"), "{answer}");
        assert!(answer.contains(r#""run":"outcome_unknown""#), "{answer}");
        assert_eq!(gateway.in_flight.count(), 0);
        let metrics = gateway.metrics.text();
        assert!(metrics.contains(r#"code="internal""#));
        assert!(!metrics.contains(r#"code="caller_left""#));
    });
}
