//! Settings of one VM, read from an INI file and validated as a whole.
//!
//! [`KEYS`] lists all sections and keys with their defaults and meanings.
//! `docs/SETTINGS.md` contains the same table, and a test checks that the two
//! are equal.
//!
//! # Example
//!
//! ```
//! let errors = lupinseam::settings::Settings::from_ini("[vm]\nid = ?").unwrap_err();
//! assert!(errors.iter().any(|e| e.section == "vm" && e.key == "id"));
//! ```

use std::{
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
    str::FromStr,
    time::Duration,
};

use ini::Ini;

use crate::{
    error::{Error, ErrorKind},
    id::{DataHallId, VmId},
    secret::{ClusterKey, KeyHash},
    unit::Megabytes,
};

/// A key of a settings file.
#[derive(Clone, Copy, Debug)]
pub struct SettingKey {
    /// The section that contains the key.
    pub section: &'static str,
    /// The name of the key; ends with the unit if the value has one.
    pub name: &'static str,
    /// The value when the key is absent; `None` when the key is required.
    pub default: Option<&'static str>,
    /// What the value means, for operators.
    pub meaning: &'static str,
}

macro_rules! keys {
    ($($section:literal . $name:literal = $default:expr, $meaning:literal;)*) => {
        /// All keys that a settings file may contain.
        pub const KEYS: &[SettingKey] = &[$(SettingKey {
            section: $section,
            name: $name,
            default: $default,
            meaning: $meaning,
        },)*];
    };
}

keys! {
    "vm"."id" = None, "Name of this VM; does not change when it restarts.";
    "vm"."data_hall" = None, "Name of the data hall that this VM is in.";
    "vm"."memory_mb" = Some("1024"),
        "Memory of this VM in MB, 0 if unknown; bounds the connections, bodies and answers of callers that it holds.";
    "vm"."max_open_files" = Some("0"),
        "Descriptors that the process may have open, 0 if unknown; bounds the connections of callers as well.";
    "listen"."callers" = None, "IP and port of the listener for callers (HTTP).";
    "listen"."operators" = None, "IP and port of the listener for operators (HTTP).";
    "listen"."peers" = None,
        "IP and port of the listeners for other VMs (UDP and TCP, the same port number).";
    "cluster"."key" = None,
        "Secret shared by all VMs: 64 hexadecimal digits.";
    "operators"."key_hash" = Some(""),
        "BLAKE3 hash of the operators' bearer key; may be empty only when the operators' listener is on a loopback address.";
    "platform"."store_url" = None, "Base URL of the key-value service.";
    "platform"."list_url" = None, "URL of the platform's list of VMs.";
    "platform"."rating_url" = Some(""),
        "URL of the rating service; empty when there is none.";
    "platform"."list_poll_ms" = Some("1000"),
        "Time between two reads of the platform's list.";
    "store"."deadline_ms" = Some("1000"),
        "Longest time that one call to the store may take.";
    "store"."writes_per_s" = Some("30"),
        "Writes per second that this VM may make, with a burst of the same number.";
    "store"."reads_per_s" = Some("40"),
        "Reads per second that this VM may make, with a burst of the same number.";
    "store"."watch_s" = Some("10"),
        "Longest time that a watch waits for changes before it is renewed.";
    "configuration"."stale_after_s" = Some("30"),
        "Age of the last proof that the configuration is current, after which no new session starts on a version that is being rolled out.";
    "peers"."gossip_ms" = Some("500"), "Time between two gossip rounds.";
    "peers"."suspect_after_ms" = Some("2500"),
        "Silence after which a VM of the same data hall is suspected to have failed.";
    "peers"."dead_after_ms" = Some("5000"),
        "Silence after which a VM of the same data hall is considered dead.";
    "load"."poll_ms" = Some("500"),
        "Time between two load reports of one upstream.";
    "requests"."body_limit_bytes" = Some("1048576"),
        "Largest request body.";
    "requests"."answer_limit_bytes" = Some("16777216"),
        "Largest answer body that is not streamed.";
    "requests"."connect_timeout_ms" = Some("1000"),
        "Longest time to connect to an upstream.";
    "requests"."deadline_ms" = Some("120000"),
        "Deadline of a request whose caller sets none; also the longest that a caller may set for interactive requests.";
    "requests"."batch_deadline_s" = Some("43200"),
        "Longest time that a batch request may wait and run.";
    "requests"."queue_limit" = Some("512"),
        "Requests that may wait in this VM's queue.";
    "requests"."batch_share" = Some("0.7"),
        "Share of the model slots that batch requests may occupy.";
    "requests"."retry_share" = Some("0.1"),
        "Retries allowed, as a share of the requests.";
    "requests"."attempts" = Some("3"),
        "Most attempts for one request that may be retried.";
    "claims"."slots" = Some("8"),
        "Number of claim slots of the fleet; must be the same on every VM and must not change while claims are kept.";
    "claims"."commit_ms" = Some("50"),
        "Shortest time between two commits of one slot.";
    "claims"."offline_max_s" = Some("600"),
        "Longest time that a slot's owner continues without the store; also the time after which another data hall may take over a lost slot.";
    "claims"."gap_hold_s" = Some("900"),
        "After such a takeover, time for which unknown keys are answered with `outcome_unknown`.";
    "claims"."retention_s" = Some("86400"),
        "Time for which a settled key and its answer are kept.";
    "claims"."answer_limit_bytes" = Some("2048"),
        "Largest answer that is kept for a repeated key.";
    "ledger"."writers_per_hall" = Some("2"),
        "Number of VMs in a data hall that commit its bills.";
    "ledger"."commit_ms" = Some("500"),
        "Shortest time between two commits of one writer.";
    "ledger"."orphan_after_s" = Some("30"),
        "Time after a VM's death at which its open bills are settled.";
    "steward"."lease_ttl_ms" = Some("6000"),
        "Time for which a steward lease is valid without renewal.";
    "steward"."send_max_ms" = Some("1000"),
        "Longest time that sending one order may take.";
    "sessions"."lifetime_s" = Some("3600"),
        "Time for which a session token is valid.";
    "decisions"."kept" = Some("4000"),
        "Decision records that this VM keeps in memory.";
    "stop"."grace_s" = Some("60"),
        "Longest time that a planned stop waits for requests in flight.";
    "log"."level" = Some("info"), "error, warn, info or debug.";
    "log"."format" = Some("text"), "text or json.";
    "log"."path" = Some(""), "Log file; empty for standard error.";
}

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The section; empty if the error concerns the whole file.
    pub section: String,
    /// The key; empty if the error concerns the whole file.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}: {}", self.section, self.key, self.reason)
    }
}

/// The addresses on which a VM listens.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// For callers' HTTP requests.
    pub callers: SocketAddr,
    /// For operators' HTTP requests.
    pub operators: SocketAddr,
    /// For other VMs, both UDP and TCP.
    pub peers: SocketAddr,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Base URL of the key-value service.
    pub store_url: String,
    /// URL of the list of VMs.
    pub list_url: String,
    /// URL of the rating service; `None` when there is none.
    pub rating_url: Option<String>,
    /// Time between two reads of the list.
    pub list_poll: Duration,
}

/// Limits on this VM's use of the key-value service.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Longest time that one call may take.
    pub deadline: Duration,
    /// Writes per second, with a burst of the same number.
    pub writes_per_s: f64,
    /// Reads per second, with a burst of the same number.
    pub reads_per_s: f64,
    /// Longest time that a watch waits before it is renewed.
    pub watch: Duration,
}

/// Gossip and failure detection between VMs.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Time between gossip rounds.
    pub gossip: Duration,
    /// Silence after which a VM of the data hall is suspected.
    pub suspect_after: Duration,
    /// Silence after which a VM of the data hall is considered dead.
    pub dead_after: Duration,
}

/// Limits on requests.
#[derive(Clone, Debug)]
pub struct RequestSettings {
    /// Largest request body.
    pub body_limit_bytes: u64,
    /// Largest answer body that is not streamed.
    pub answer_limit_bytes: u64,
    /// Longest time to connect to an upstream.
    pub connect_timeout: Duration,
    /// Deadline of a request whose caller sets none; also the longest that a
    /// caller may set for interactive requests.
    pub deadline: Duration,
    /// Longest time that a batch request may wait and run.
    pub batch_deadline: Duration,
    /// Requests that may wait in this VM's queue.
    pub queue_limit: usize,
    /// Share of the model slots that batch requests may occupy.
    pub batch_share: f64,
    /// Retry budget, as a share of the requests.
    pub retry_share: f64,
    /// Most attempts for one request that may be retried.
    pub attempts: u32,
}

/// How claims on request keys are committed and kept.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Number of claim slots of the fleet.
    pub slots: u32,
    /// Shortest time between two commits of one slot.
    pub commit: Duration,
    /// Longest time that a slot's owner continues without the store.
    pub offline_max: Duration,
    /// Time after a takeover without a handover for which unknown keys are
    /// answered with `outcome_unknown`.
    pub gap_hold: Duration,
    /// Time for which a settled key and its answer are kept.
    pub retention: Duration,
    /// Largest answer in bytes that is kept for a repeated key.
    pub answer_limit_bytes: usize,
}

/// How bills are committed.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// Number of VMs in each data hall that commit its bills.
    pub writers_per_hall: usize,
    /// Shortest time between two commits of one writer.
    pub commit: Duration,
    /// Time after a VM's death at which its open bills are settled.
    pub orphan_after: Duration,
}

/// Lease and timing of the steward of a data hall.
#[derive(Clone, Debug)]
pub struct StewardSettings {
    /// Time for which a lease is valid without renewal.
    pub lease_ttl: Duration,
    /// Longest time that sending one order may take.
    pub send_max: Duration,
}

/// Destination, level and format of the log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: log::LevelFilter,
    /// The format of a line.
    pub format: LogFormat,
    /// The log file; `None` for standard error.
    pub path: Option<PathBuf>,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text.
    Text,
    /// One JSON object.
    Json,
}

impl FromStr for LogFormat {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(Error::new(ErrorKind::InvalidInput)
                .context(format!("`{text}` is neither text nor json"))),
        }
    }
}

/// All settings of one VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this VM, which does not change when it restarts.
    pub vm: VmId,
    /// The data hall that this VM is in.
    pub data_hall: DataHallId,
    /// The memory of this VM; 0 if unknown.
    pub memory: Megabytes,
    /// The descriptors that the process may have open; 0 if unknown.
    pub max_open_files: u32,
    /// The addresses on which this VM listens.
    pub listen: ListenSettings,
    /// The secret shared by all VMs.
    pub cluster_key: ClusterKey,
    /// The hash of the operators' key; `None` allows operators without a key,
    /// which is accepted only on a loopback address.
    pub operators_key_hash: Option<KeyHash>,
    /// The addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Limits on the use of the store.
    pub store: StoreSettings,
    /// Age of the last proof that the configuration is current, after which
    /// no new session starts on a version that is being rolled out.
    pub stale_after: Duration,
    /// Gossip and failure detection between VMs.
    pub peers: PeerSettings,
    /// Time between load reports of one upstream.
    pub load_poll: Duration,
    /// Limits on requests.
    pub requests: RequestSettings,
    /// Claims on request keys.
    pub claims: ClaimSettings,
    /// Commits of bills.
    pub ledger: LedgerSettings,
    /// The steward's lease and its orders to upstreams.
    pub steward: StewardSettings,
    /// Time for which a session token is valid.
    pub session_lifetime: Duration,
    /// Decision records that this VM keeps in memory.
    pub decisions_kept: usize,
    /// Longest time that a graceful shutdown waits for requests in flight.
    pub stop_grace: Duration,
    /// Destination, level and format of the log.
    pub log: LogSettings,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file: unknown and repeated keys first, then
    /// invalid values in the order of [`KEYS`].
    pub fn from_file(path: &Path) -> Result<Settings, Vec<SettingsError>> {
        Settings::from_ini(&read_file(path)?)
    }

    /// Validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors of the text, as [`Settings::from_file`] does.
    pub fn from_ini(text: &str) -> Result<Settings, Vec<SettingsError>> {
        read_ini(text, KEYS, read_settings)
    }
}

/// Reads a settings file as text.
pub(crate) fn read_file(path: &Path) -> Result<String, Vec<SettingsError>> {
    std::fs::read_to_string(path).map_err(|error| {
        vec![SettingsError {
            section: String::new(),
            key: String::new(),
            reason: format!("cannot read {}: {error}", path.display()),
        }]
    })
}

/// Parses `text` as INI and builds settings with `read`.
///
/// Returns all errors, among them keys that are not in `keys`.
pub(crate) fn read_ini<T>(
    text: &str,
    keys: &'static [SettingKey],
    read: impl FnOnce(&mut SettingsReader<'_>) -> Option<T>,
) -> Result<T, Vec<SettingsError>> {
    let ini = Ini::load_from_str_noescape(text).map_err(|error| {
        vec![SettingsError {
            section: String::new(),
            key: String::new(),
            reason: format!("not an INI file: {error}"),
        }]
    })?;
    let mut reader = SettingsReader::new(&ini, keys);
    let settings = read(&mut reader);
    match settings {
        Some(settings) if reader.errors.is_empty() => Ok(settings),
        _ => Err(reader.errors),
    }
}

/// Reads keys one by one and collects the errors.
pub(crate) struct SettingsReader<'a> {
    ini: &'a Ini,
    keys: &'static [SettingKey],
    errors: Vec<SettingsError>,
}

impl<'a> SettingsReader<'a> {
    fn new(ini: &'a Ini, keys: &'static [SettingKey]) -> SettingsReader<'a> {
        let mut reader = SettingsReader { ini, keys, errors: Vec::new() };
        reader.check_names();
        reader
    }

    /// Adds an error about one key.
    pub(crate) fn add_error(
        &mut self,
        section: &str,
        key: &str,
        reason: String,
    ) {
        self.errors.push(SettingsError {
            section: section.to_owned(),
            key: key.to_owned(),
            reason,
        });
    }

    /// Adds an error for every unknown or repeated key.
    fn check_names(&mut self) {
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (name, _) in properties.iter() {
                let known = self
                    .keys
                    .iter()
                    .any(|key| key.section == section && key.name == name);
                if !known {
                    self.add_error(section, name, "unknown key".to_owned());
                } else if properties.get_all(name).count() > 1 {
                    self.add_error(section, name, "given twice".to_owned());
                }
            }
        }
    }

    /// Returns the trimmed value of a key or its default. Adds an error if a
    /// required key is absent.
    pub(crate) fn text(
        &mut self,
        section: &str,
        name: &str,
    ) -> Option<String> {
        let key = self
            .keys
            .iter()
            .find(|key| key.section == section && key.name == name)
            .expect("every key that is read is in its table");
        // A rendered settings template leaves the value of an unset key empty,
        // so an empty value counts as absent.
        let given = self.ini.get_from(Some(section), name);
        let given = given.filter(|text| !text.trim().is_empty());
        match given.or(key.default) {
            Some(text) => Some(text.trim().to_owned()),
            None => {
                self.add_error(section, name, "must be given".to_owned());
                None
            }
        }
    }

    /// Parses the value of a key.
    pub(crate) fn value<T>(&mut self, section: &str, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self.text(section, name)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_error(section, name, format!("`{text}`: {error}"));
                None
            }
        }
    }

    /// Parses a number that must lie between `min` and `max`, inclusive.
    pub(crate) fn number<T>(
        &mut self,
        section: &str,
        name: &str,
        min: T,
        max: T,
    ) -> Option<T>
    where
        T: FromStr + PartialOrd + fmt::Display + Copy,
        T::Err: fmt::Display,
    {
        let value: T = self.value(section, name)?;
        if value >= min && value <= max {
            return Some(value);
        }
        let reason = format!("{value} is not between {min} and {max}");
        self.add_error(section, name, reason);
        None
    }

    /// Parses a time in milliseconds: at least one, at most an hour.
    pub(crate) fn millis(
        &mut self,
        section: &str,
        name: &str,
    ) -> Option<Duration> {
        let value = self.number(section, name, 1_u64, 3_600_000)?;
        Some(Duration::from_millis(value))
    }

    /// Parses a time in seconds: at most thirty days, and zero is allowed.
    pub(crate) fn seconds(
        &mut self,
        section: &str,
        name: &str,
    ) -> Option<Duration> {
        let value = self.number(section, name, 0_u64, 30 * 86_400)?;
        Some(Duration::from_secs(value))
    }

    /// Reads an `http` URL whose host is an IP address with a port.
    fn url(&mut self, section: &str, name: &str) -> Option<String> {
        let text = self.text(section, name)?;
        let rest = text.strip_prefix("http://");
        let host = rest.and_then(|rest| rest.split('/').next());
        let is_ip = host.is_some_and(|h| h.parse::<SocketAddr>().is_ok());
        if is_ip {
            return Some(text);
        }
        let reason = format!("`{text}` is not http://IP:PORT[/path]");
        self.add_error(section, name, reason);
        None
    }
}

fn read_settings(r: &mut SettingsReader<'_>) -> Option<Settings> {
    // All sections are read before any is unwrapped, so that an error in one
    // does not hide the errors in the next.
    let vm = r.value("vm", "id");
    let data_hall = r.value("vm", "data_hall");
    let memory = r.value("vm", "memory_mb");
    let max_open_files = r.value("vm", "max_open_files");
    let listen = read_listen(r);
    let cluster_key = r.value("cluster", "key");
    let operators_key_hash = read_operators_key(r, listen.as_ref());
    let platform = read_platform(r);
    let store = read_store(r);
    let stale_after = r.seconds("configuration", "stale_after_s");
    let peers = read_peers(r);
    let load_poll = r.millis("load", "poll_ms");
    let requests = read_requests(r);
    let claims = read_claims(r);
    let ledger = read_ledger(r);
    let steward = read_steward(r);
    let session_lifetime = r.seconds("sessions", "lifetime_s");
    let decisions_kept = r.number("decisions", "kept", 1, 1_000_000);
    let stop_grace = r.seconds("stop", "grace_s");
    let log = read_log(r);
    Some(Settings {
        vm: vm?,
        data_hall: data_hall?,
        memory: memory?,
        max_open_files: max_open_files?,
        listen: listen?,
        cluster_key: cluster_key?,
        operators_key_hash: operators_key_hash?,
        platform: platform?,
        store: store?,
        stale_after: stale_after?,
        peers: peers?,
        load_poll: load_poll?,
        requests: requests?,
        claims: claims?,
        ledger: ledger?,
        steward: steward?,
        session_lifetime: session_lifetime?,
        decisions_kept: decisions_kept?,
        stop_grace: stop_grace?,
        log: log?,
    })
}

fn read_listen(r: &mut SettingsReader<'_>) -> Option<ListenSettings> {
    let callers = r.value("listen", "callers");
    let operators = r.value("listen", "operators");
    let peers = r.value("listen", "peers");
    Some(ListenSettings {
        callers: callers?,
        operators: operators?,
        peers: peers?,
    })
}

fn read_operators_key(
    r: &mut SettingsReader<'_>,
    listen: Option<&ListenSettings>,
) -> Option<Option<KeyHash>> {
    let text = r.text("operators", "key_hash")?;
    if !text.is_empty() {
        return r.value("operators", "key_hash").map(Some);
    }
    let is_exposed = listen.is_some_and(|l| !l.operators.ip().is_loopback());
    if is_exposed {
        let reason = "must be given when the operators' listener is not on a loopback address";
        r.add_error("operators", "key_hash", reason.to_owned());
        return None;
    }
    Some(None)
}

fn read_platform(r: &mut SettingsReader<'_>) -> Option<PlatformSettings> {
    let store_url = r.url("platform", "store_url");
    let list_url = r.url("platform", "list_url");
    let rating = r.text("platform", "rating_url")?;
    let rating_url = if rating.is_empty() {
        Some(None)
    } else {
        r.url("platform", "rating_url").map(Some)
    };
    let list_poll = r.millis("platform", "list_poll_ms");
    Some(PlatformSettings {
        store_url: store_url?,
        list_url: list_url?,
        rating_url: rating_url?,
        list_poll: list_poll?,
    })
}

fn read_store(r: &mut SettingsReader<'_>) -> Option<StoreSettings> {
    let deadline = r.millis("store", "deadline_ms");
    let writes_per_s = r.number("store", "writes_per_s", 0.1, 1e4);
    let reads_per_s = r.number("store", "reads_per_s", 0.1, 1e4);
    let watch = r.seconds("store", "watch_s");
    Some(StoreSettings {
        deadline: deadline?,
        writes_per_s: writes_per_s?,
        reads_per_s: reads_per_s?,
        watch: watch?,
    })
}

fn read_peers(r: &mut SettingsReader<'_>) -> Option<PeerSettings> {
    let gossip = r.millis("peers", "gossip_ms");
    let suspect_after = r.millis("peers", "suspect_after_ms");
    let dead_after = r.millis("peers", "dead_after_ms");
    let peers = PeerSettings {
        gossip: gossip?,
        suspect_after: suspect_after?,
        dead_after: dead_after?,
    };
    if peers.suspect_after < peers.gossip * 2 {
        let reason = "must be at least two gossip rounds".to_owned();
        r.add_error("peers", "suspect_after_ms", reason);
    }
    if peers.dead_after <= peers.suspect_after {
        let reason = "must be longer than suspect_after_ms".to_owned();
        r.add_error("peers", "dead_after_ms", reason);
    }
    Some(peers)
}

fn read_requests(r: &mut SettingsReader<'_>) -> Option<RequestSettings> {
    const S: &str = "requests";
    let body_limit_bytes = r.number(S, "body_limit_bytes", 1024, 1 << 30);
    let answer_limit_bytes = r.number(S, "answer_limit_bytes", 1024, 1 << 30);
    let connect_timeout = r.millis(S, "connect_timeout_ms");
    let deadline = r.millis(S, "deadline_ms");
    let batch_deadline = r.seconds(S, "batch_deadline_s");
    let queue_limit = r.number(S, "queue_limit", 1, 1_000_000);
    let batch_share = r.number(S, "batch_share", 0.01, 1.0);
    let retry_share = r.number(S, "retry_share", 0.0, 1.0);
    let attempts = r.number(S, "attempts", 1, 10);
    Some(RequestSettings {
        body_limit_bytes: body_limit_bytes?,
        answer_limit_bytes: answer_limit_bytes?,
        connect_timeout: connect_timeout?,
        deadline: deadline?,
        batch_deadline: batch_deadline?,
        queue_limit: queue_limit?,
        batch_share: batch_share?,
        retry_share: retry_share?,
        attempts: attempts?,
    })
}

fn read_claims(r: &mut SettingsReader<'_>) -> Option<ClaimSettings> {
    const S: &str = "claims";
    let slots = r.number(S, "slots", 1, 4096);
    let commit = r.millis(S, "commit_ms");
    let offline_max = r.seconds(S, "offline_max_s");
    let gap_hold = r.seconds(S, "gap_hold_s");
    let retention = r.seconds(S, "retention_s");
    let answer_limit_bytes = r.number(S, "answer_limit_bytes", 0, 65_536);
    Some(ClaimSettings {
        slots: slots?,
        commit: commit?,
        offline_max: offline_max?,
        gap_hold: gap_hold?,
        retention: retention?,
        answer_limit_bytes: answer_limit_bytes?,
    })
}

fn read_ledger(r: &mut SettingsReader<'_>) -> Option<LedgerSettings> {
    let writers_per_hall = r.number("ledger", "writers_per_hall", 1, 16);
    let commit = r.millis("ledger", "commit_ms");
    let orphan_after = r.seconds("ledger", "orphan_after_s");
    Some(LedgerSettings {
        writers_per_hall: writers_per_hall?,
        commit: commit?,
        orphan_after: orphan_after?,
    })
}

fn read_steward(r: &mut SettingsReader<'_>) -> Option<StewardSettings> {
    let lease_ttl = r.millis("steward", "lease_ttl_ms");
    let send_max = r.millis("steward", "send_max_ms");
    let steward =
        StewardSettings { lease_ttl: lease_ttl?, send_max: send_max? };
    if steward.lease_ttl < steward.send_max * 3 {
        let reason = "must be at least three times send_max_ms".to_owned();
        r.add_error("steward", "lease_ttl_ms", reason);
    }
    Some(steward)
}

fn read_log(r: &mut SettingsReader<'_>) -> Option<LogSettings> {
    let level = r.value("log", "level");
    let format = r.value("log", "format");
    let path = r.text("log", "path")?;
    let path = (!path.is_empty()).then(|| PathBuf::from(path));
    Some(LogSettings { level: level?, format: format?, path })
}

/// Returns a table of keys in Markdown, for `docs/SETTINGS.md` and
/// `docs/GATEWAY.md`.
pub fn key_table(keys: &[SettingKey]) -> String {
    let mut table = String::from(
        "| section | key | default | meaning |\n|---|---|---|---|\n",
    );
    for key in keys {
        let default = match key.default {
            None => "(must be given)".to_owned(),
            Some("") => "(empty)".to_owned(),
            Some(text) => format!("`{text}`"),
        };
        table.push_str(&format!(
            "| {} | `{}` | {default} | {} |\n",
            key.section, key.name, key.meaning
        ));
    }
    table
}

#[cfg(test)]
mod tests {
    use super::*;

    const MINIMAL: &str = "
[vm]
id = vm-1
data_hall = dakar-a
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
[cluster]
key = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
[platform]
store_url = http://127.0.0.1:7000
list_url = http://127.0.0.1:7001/vms
";

    #[test]
    fn absent_keys_take_their_defaults() {
        let settings = Settings::from_ini(MINIMAL).unwrap();
        assert_eq!(settings.claims.slots, 8);
        assert_eq!(settings.store.deadline, Duration::from_secs(1));
    }

    #[test]
    fn every_error_is_reported() {
        let text = "
[vm]
id = Not Good
colour = blue
[listen]
callers = here
operators = 10.0.0.1:80
peers = 127.0.0.1:0
[cluster]
key = 0011
[platform]
store_url = https://example.org
list_url = http://127.0.0.1:7001/vms
[store]
deadline_ms = 0
[peers]
dead_after_ms = 1000
[steward]
lease_ttl_ms = 10
";
        let errors = Settings::from_ini(text).unwrap_err();
        let lines: Vec<String> =
            errors.iter().map(SettingsError::to_string).collect();
        insta::assert_snapshot!(lines.join("\n"));
    }

    #[test]
    fn a_repeated_key_is_an_error() {
        let text = format!("{MINIMAL}list_poll_ms = 1\nlist_poll_ms = 2\n");
        let errors = Settings::from_ini(&text).unwrap_err();
        assert!(errors.iter().any(|e| e.reason == "given twice"));
    }
}
