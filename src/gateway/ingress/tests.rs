//! Which connections a VM accepts.

use super::*;
use crate::{
    clock::SystemClock,
    gateway::{settings::GatewaySettings, tests::MINIMAL_SETTINGS},
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
