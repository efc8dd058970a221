use std::{
    io::{BufRead, BufReader, Write},
    net::TcpStream,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use serde_json::json;

use super::*;
use crate::{
    api::template::{VersionEntry, VersionState},
    chains::{
        chain::{self, Batch, WriteId},
        configuration::{Change, Edit},
    },
    id::Revision,
    unit::{MicroCost, Share},
};

/// Longest time that is waited for a VM to follow the platform.
const PATIENCE: Duration = Duration::from_secs(10);

/// A time in which a VM reads the list several times.
const SEVERAL_POLLS: Duration = Duration::from_millis(300);

/// A platform whose store can be read but not be written, and its list.
struct Platform {
    /// The keys and values below `config/`, sorted.
    changes: Mutex<Vec<(String, String)>>,
    /// Number of reads below `config/`.
    reads: AtomicU64,
    list: Mutex<String>,
}

impl Platform {
    /// Creates a platform with these changes and an empty list.
    fn new(changes: Vec<(String, String)>) -> Arc<Platform> {
        Arc::new(Platform {
            changes: Mutex::new(changes),
            reads: AtomicU64::new(0),
            list: Mutex::new("[]".to_owned()),
        })
    }

    /// Serves the platform for the rest of the process.
    fn serve(self: &Arc<Self>) -> SocketAddr {
        let listener = StdTcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let platform = platform.clone();
                // A caller that is gone needs no answer.
                thread::spawn(move || platform.answer(stream.unwrap()));
            }
        });
        address
    }

    fn answer(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut lines = BufReader::new(stream.try_clone()?).lines();
        let line = lines.next().unwrap_or_else(|| Ok(String::new()))?;
        while lines.next().transpose()?.is_some_and(|l| !l.is_empty()) {}
        let path = line.split(' ').nth(1).unwrap_or_default();
        let (status, body) = match line.starts_with("GET ") {
            false => (503, String::new()),
            true if path == "/vms" => (200, self.list.lock().unwrap().clone()),
            true => self.read(path),
        };
        write!(
            stream,
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\netag: \"1\"\r\n\
             connection: close\r\n\r\n{body}",
            body.len()
        )
    }

    /// Answers a read of the store at `/kv`.
    fn read(&self, path: &str) -> (u16, String) {
        if path.contains("config/") {
            self.reads.fetch_add(1, Ordering::Relaxed);
        }
        match path.strip_prefix("/kv?prefix=config/&after=") {
            Some(query) => (200, self.list_after(query)),
            None => self.read_key(path),
        }
    }

    fn list_after(&self, query: &str) -> String {
        let after = query.split('&').next().unwrap_or_default();
        let changes = self.changes.lock().unwrap();
        let later = changes.iter().filter(|(key, _)| key.as_str() > after);
        let entries: Vec<_> = later
            .map(|(key, value)| {
                json!({ "key": key, "version": 1, "value": value })
            })
            .collect();
        serde_json::to_string(&entries).unwrap()
    }

    /// Reads a key, for which the caller may wait.
    fn read_key(&self, path: &str) -> (u16, String) {
        const STEP: Duration = Duration::from_millis(10);
        let (path, wait_ms) =
            path.split_once("?wait_ms=").unwrap_or((path, ""));
        let mut wait = Duration::from_millis(wait_ms.parse().unwrap_or(0));
        loop {
            let changes = self.changes.lock().unwrap().clone();
            let found = changes.into_iter().find(|(key, _)| {
                path.strip_prefix("/kv/") == Some(key.as_str())
            });
            match found {
                Some((_, value)) => return (200, value),
                None if wait.is_zero() => return (404, String::new()),
                None => thread::sleep(STEP),
            }
            wait = wait.saturating_sub(STEP);
        }
    }
}

fn start(platform: &Arc<Platform>) -> Server<Running> {
    let address = platform.serve();
    let settings = format!(
        "[vm]\nid = vm-1\ndata_hall = h-1\n\
         [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\n\
         peers = 127.0.0.1:0\n\
         [cluster]\nkey = {}\n\
         [platform]\nstore_url = http://{address}\n\
         list_url = http://{address}/vms\nlist_poll_ms = 50\n",
        "07".repeat(32)
    );
    let settings = Settings::from_ini(&settings).unwrap();
    Server::bind(settings).unwrap().start().unwrap()
}

/// Returns the value of the change to this revision, which adds a version.
fn change(revision: u64) -> String {
    let entry = VersionEntry {
        model: "m".parse().unwrap(),
        version: format!("v{revision}").parse().unwrap(),
        state: VersionState::Serving,
        input_price_micro_per_1k: MicroCost(1),
        output_price_micro_per_1k: MicroCost(1),
        prior_quality: Share::ONE,
    };
    let change = Change {
        revision: Revision(revision),
        vm: "vm-1".parse().unwrap(),
        at_unix_ms: 0,
        reason: String::new(),
        edit: Edit::PutVersion(entry),
    };
    let batch = Batch { write: WriteId(revision), content: change };
    chain::encode(&batch).unwrap()
}

fn key(revision: u64) -> String {
    chain::key("config", revision)
}

/// Waits for at most [`PATIENCE`] until this holds; returns whether it does.
fn wait_until(holds: impl Fn() -> bool) -> bool {
    let wait = async {
        while !holds() {
            task::sleep(Duration::from_millis(20)).await;
        }
    };
    smol::block_on(within(PATIENCE, wait)).is_some()
}

fn odd_changes() -> Vec<String> {
    let deep = ["[".repeat(100_000), "]".repeat(100_000)].concat();
    let good = change(3);
    vec![
        String::new(),
        deep.clone(),
        "1e999".to_owned(),
        good.replace(r#""revision":3"#, r#""revision":1e999"#),
        good.replace(r#""revision":3"#, &format!(r#""revision":{deep}"#)),
        good.replace(r#""prior_quality":1.0"#, r#""prior_quality":2.0"#),
        good[..good.len() - 1].to_owned(),
    ]
}

#[test]
fn changes_before_one_that_cannot_be_read_are_in_force() {
    for odd in odd_changes() {
        let shown: String = odd.chars().take(200).collect();
        assert_ne!(odd, change(3));
        let platform = Platform::new(vec![
            (key(1), change(1)),
            (key(2), change(2)),
            (key(3), odd),
        ]);
        let server = start(&platform);
        let configuration = &server.0.vm.configuration;
        let revision = || configuration.current().revision();
        assert!(wait_until(|| revision() == Revision(2)), "{shown}");
        assert!(wait_until(|| server.is_ready()), "{shown}");
        assert_eq!(configuration.proof_age(server.0.vm.clock.now()), None);
        platform.changes.lock().unwrap()[2].1 = change(3);
        assert!(wait_until(|| revision() == Revision(3)), "{shown}");
    }
}

#[test]
fn changes_under_the_key_of_another_are_not_applied() {
    for revision in [0, 1, 2, 4, u64::MAX] {
        let platform =
            Platform::new(vec![(key(1), change(1)), (key(2), change(2))]);
        let server = start(&platform);
        let configuration = &server.0.vm.configuration;
        let in_force = || configuration.current().revision();
        assert!(wait_until(|| in_force() == Revision(2)));
        let odd = (key(3), change(revision));
        platform.changes.lock().unwrap().push(odd);
        let before = platform.reads.load(Ordering::Relaxed);
        thread::sleep(SEVERAL_POLLS);
        assert_eq!(in_force(), Revision(2), "{revision}");
        let reads = platform.reads.load(Ordering::Relaxed) - before;
        assert!(reads < 10, "{revision}: {reads} reads");
        platform.changes.lock().unwrap()[2].1 = change(3);
        assert!(wait_until(|| in_force() == Revision(3)), "{revision}");
    }
}

#[test]
fn keys_that_are_no_changes_are_passed_over() {
    let platform = Platform::new(vec![
        (key(1), change(1)),
        (key(2), change(2)),
        ("config/2".to_owned(), "[".to_owned()),
        ("config/zz/0000000000000002".to_owned(), "{}".to_owned()),
        ("config/zz zz".to_owned(), "1e999".to_owned()),
    ]);
    let server = start(&platform);
    let configuration = &server.0.vm.configuration;
    let revision = || configuration.current().revision();
    assert!(wait_until(|| revision() == Revision(2)));
    let now = server.0.vm.clock.now();
    assert!(configuration.proof_age(now).is_some());
}

#[test]
fn a_list_with_an_odd_entry_is_followed() {
    let good = |id: &str, port: u16| {
        format!(
            r#"{{"role":{{"model":{{"upstream":"{id}","model":"m","slots":4,"checks_fence":false}}}},"data_hall":"h-1","address":"127.0.0.1:{port}","state":"live"}}"#
        )
    };
    let odd = good("a", 8001).replace("8001", "70000");
    let platform = Platform::new(Vec::new());
    let set = |entries: &[&str]| {
        let text = format!("[{}]", entries.join(","));
        *platform.list.lock().unwrap() = text;
    };
    let (a, b, c) = (good("a", 8001), good("b", 8002), good("c", 8003));
    set(&[&a, &b]);
    let server = start(&platform);
    let vm = &server.0.vm;
    let names = || {
        let upstreams = vm.view.all_upstreams();
        let mut names: Vec<String> =
            upstreams.iter().map(|u| u.record.id.to_string()).collect();
        names.sort();
        names
    };
    assert!(wait_until(|| names() == ["a", "b"]));
    let counted = || vm.metrics.list_entries_unreadable.get();
    assert_eq!(counted(), 0);
    set(&[&odd, &b, &c]);
    assert!(wait_until(|| names() == ["a", "b", "c"]));
    thread::sleep(SEVERAL_POLLS);
    assert_eq!(names(), ["a", "b", "c"]);
    assert_eq!(counted(), 1);
    // One that is not whole changes nothing.
    *platform.list.lock().unwrap() = format!("[{a},{b}");
    thread::sleep(SEVERAL_POLLS);
    assert_eq!(names(), ["a", "b", "c"]);
    set(&[&b]);
    assert!(wait_until(|| names() == ["b"]));
}
