//! Settings of one VM, read from an INI file and checked as a whole.
//!
//! [`KEYS`] is the one table of sections and keys, with default and meaning;
//! `docs/SETTINGS.md` prints it and a test keeps the two equal.
//!
//! # Example
//!
//! ```
//! let faults = lupinseam::settings::Settings::from_ini("[vm]\nid = ?").unwrap_err();
//! assert!(faults.iter().any(|f| f.section == "vm" && f.key == "id"));
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
};

/// One key of the settings file.
#[derive(Clone, Copy, Debug)]
pub struct SettingKey {
    /// The section the key stands in.
    pub section: &'static str,
    /// The name of the key, with its unit as a suffix.
    pub name: &'static str,
    /// The value when the key is absent; `None` when it must be given.
    pub default: Option<&'static str>,
    /// What the value means.
    pub meaning: &'static str,
}

macro_rules! keys {
    ($($section:literal . $name:literal = $default:expr, $meaning:literal;)*) => {
        /// Every key that a settings file may hold.
        pub const KEYS: &[SettingKey] = &[$(SettingKey {
            section: $section,
            name: $name,
            default: $default,
            meaning: $meaning,
        },)*];
    };
}

keys! {
    "vm"."id" = None, "Name of this VM; the same after a restart.";
    "vm"."data_hall" = None, "Name of the data hall this VM stands in.";
    "listen"."callers" = None, "IP and port for callers (HTTP).";
    "listen"."operators" = None, "IP and port for operators (HTTP).";
    "listen"."peers" = None,
        "IP and port for other VMs (UDP and TCP, the same number).";
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
        "Longest time one call to the store may take.";
    "store"."writes_per_s" = Some("30"),
        "Writes a second that this VM may make, with a burst of as many.";
    "store"."reads_per_s" = Some("40"),
        "Reads a second that this VM may make, with a burst of as many.";
    "store"."watch_s" = Some("10"),
        "Time after which a waiting watch is renewed.";
    "configuration"."stale_after_s" = Some("30"),
        "Age of the last proof that the configuration is current, after which no new session starts on a version that is rolling out.";
    "peers"."gossip_ms" = Some("500"), "Time between two gossip rounds.";
    "peers"."suspect_after_ms" = Some("2500"),
        "Silence after which a VM of the same data hall is suspected.";
    "peers"."dead_after_ms" = Some("5000"),
        "Silence after which a VM of the same data hall counts as dead.";
    "load"."poll_ms" = Some("500"),
        "Time between two load reports of one upstream.";
    "requests"."body_limit_bytes" = Some("1048576"),
        "Largest request body.";
    "requests"."answer_limit_bytes" = Some("16777216"),
        "Largest answer body that is not streamed.";
    "requests"."connect_timeout_ms" = Some("1000"),
        "Longest time to connect to an upstream.";
    "requests"."deadline_ms" = Some("120000"),
        "Time for a request whose caller names none; also the longest a caller may name for interactive work.";
    "requests"."batch_deadline_s" = Some("43200"),
        "Longest time that batch work may wait and run.";
    "requests"."queue_limit" = Some("512"),
        "Requests that may wait at this VM.";
    "requests"."batch_share" = Some("0.7"),
        "Share of the model slots that batch work may hold.";
    "requests"."retry_share" = Some("0.1"),
        "Retries allowed, as a share of the requests.";
    "requests"."attempts" = Some("3"),
        "Most attempts of one request that may be repeated.";
    "claims"."slots" = Some("8"),
        "Number of claim slots of the fleet; the same on every VM, never changed while claims are kept.";
    "claims"."commit_ms" = Some("50"),
        "Shortest time between two commits of one slot.";
    "claims"."offline_max_s" = Some("600"),
        "Longest time a slot's owner goes on without the store; also the time after which another data hall may take a lost slot over.";
    "claims"."gap_hold_s" = Some("900"),
        "After such a takeover, time for which unknown keys are answered `outcome_unknown`.";
    "claims"."retention_s" = Some("86400"),
        "Time for which a settled key and its answer are kept.";
    "claims"."answer_limit_bytes" = Some("2048"),
        "Largest answer that is kept for a repeated key.";
    "ledger"."writers_per_hall" = Some("2"),
        "VMs of a data hall that commit its bills.";
    "ledger"."commit_ms" = Some("500"),
        "Shortest time between two commits of one writer.";
    "ledger"."orphan_after_s" = Some("30"),
        "Time after a VM's death at which its open bills are settled.";
    "steward"."lease_ttl_ms" = Some("6000"),
        "Time for which a steward lease holds without renewal.";
    "steward"."send_max_ms" = Some("1000"),
        "Longest time that sending one order may take.";
    "sessions"."lifetime_s" = Some("3600"),
        "Time for which a session token holds.";
    "decisions"."kept" = Some("4000"),
        "Decision records that this VM keeps in memory.";
    "stop"."grace_s" = Some("60"),
        "Longest time a planned stop waits for requests in flight.";
    "log"."level" = Some("info"), "error, warn, info or debug.";
    "log"."format" = Some("text"), "text or json.";
    "log"."path" = Some(""), "Log file; empty for standard error.";
}

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The section, empty for the file as a whole.
    pub section: String,
    /// The key, empty for the section as a whole.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}: {}", self.section, self.key, self.reason)
    }
}

/// The listeners of one VM.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other VMs, both UDP and TCP.
    pub peers: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Base URL of the key-value service.
    pub store_url: String,
    /// URL of the list of VMs.
    pub list_url: String,
    /// URL of the rating service, if there is one.
    pub rating_url: Option<String>,
    /// Time between two reads of the list.
    pub list_poll: Duration,
}

/// How this VM uses the key-value service.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Longest time of one call.
    pub deadline: Duration,
    /// Writes a second.
    pub writes_per_s: f64,
    /// Reads a second.
    pub reads_per_s: f64,
    /// Length of one waiting watch.
    pub watch: Duration,
}

/// How this VM talks with other VMs.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Time between gossip rounds.
    pub gossip: Duration,
    /// Silence before suspicion.
    pub suspect_after: Duration,
    /// Silence before death.
    pub dead_after: Duration,
}

/// Bounds on requests.
#[derive(Clone, Debug)]
pub struct RequestSettings {
    /// Largest request body.
    pub body_limit_bytes: u64,
    /// Largest answer that is not streamed.
    pub answer_limit_bytes: u64,
    /// Longest time to connect to an upstream.
    pub connect_timeout: Duration,
    /// Time for a request whose caller names none.
    pub deadline: Duration,
    /// Longest time of batch work.
    pub batch_deadline: Duration,
    /// Requests that may wait.
    pub queue_limit: usize,
    /// Share of model slots that batch work may hold.
    pub batch_share: f64,
    /// Retries as a share of requests.
    pub retry_share: f64,
    /// Most attempts of one request.
    pub attempts: u32,
}

/// How claims on keys are settled.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Number of slots.
    pub slots: u32,
    /// Shortest time between commits of a slot.
    pub commit: Duration,
    /// Longest time without the store.
    pub offline_max: Duration,
    /// Time of caution after a takeover without a handover.
    pub gap_hold: Duration,
    /// Time for which settled keys are kept.
    pub retention: Duration,
    /// Largest answer kept for a repeated key.
    pub answer_limit_bytes: usize,
}

/// How bills are committed.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// Writers in each data hall.
    pub writers_per_hall: usize,
    /// Shortest time between commits.
    pub commit: Duration,
    /// Time after a VM's death before its open bills are settled.
    pub orphan_after: Duration,
}

/// How the steward of a data hall works.
#[derive(Clone, Debug)]
pub struct StewardSettings {
    /// Time for which a lease holds.
    pub lease_ttl: Duration,
    /// Longest time to send one order.
    pub send_max: Duration,
}

/// Where and how much to log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: log::LevelFilter,
    /// The form of a line.
    pub format: LogFormat,
    /// The file, or standard error.
    pub path: Option<PathBuf>,
}

/// The form of a log line.
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
    /// The name of this VM.
    pub vm: VmId,
    /// Its data hall.
    pub data_hall: DataHallId,
    /// Its listeners.
    pub listen: ListenSettings,
    /// The secret shared by all VMs.
    pub cluster_key: ClusterKey,
    /// The hash of the operators' key.
    pub operators_key_hash: Option<KeyHash>,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Use of the store.
    pub store: StoreSettings,
    /// Age at which the configuration counts as stale.
    pub stale_after: Duration,
    /// Use of the network between VMs.
    pub peers: PeerSettings,
    /// Time between load reports of one upstream.
    pub load_poll: Duration,
    /// Bounds on requests.
    pub requests: RequestSettings,
    /// Claims on keys.
    pub claims: ClaimSettings,
    /// Bills.
    pub ledger: LedgerSettings,
    /// Orders to upstreams.
    pub steward: StewardSettings,
    /// Life of a session token.
    pub session_lifetime: Duration,
    /// Decision records kept in memory.
    pub decisions_kept: usize,
    /// Longest planned stop.
    pub stop_grace: Duration,
    /// Logs.
    pub log: LogSettings,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Every fault of the file, in the order of the file's keys.
    pub fn from_file(path: &Path) -> Result<Settings, Vec<SettingsError>> {
        Settings::from_ini(&read_file(path)?)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Every fault of the text.
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

/// Reads settings whose keys stand in `keys`, and reports every fault.
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
        Some(settings) if reader.faults.is_empty() => Ok(settings),
        _ => Err(reader.faults),
    }
}

/// Reads keys one by one and collects what is wrong with them.
pub(crate) struct SettingsReader<'a> {
    ini: &'a Ini,
    keys: &'static [SettingKey],
    faults: Vec<SettingsError>,
}

impl<'a> SettingsReader<'a> {
    fn new(ini: &'a Ini, keys: &'static [SettingKey]) -> SettingsReader<'a> {
        let mut reader = SettingsReader { ini, keys, faults: Vec::new() };
        reader.find_unknown();
        reader
    }

    pub(crate) fn fault(&mut self, section: &str, key: &str, reason: String) {
        self.faults.push(SettingsError {
            section: section.to_owned(),
            key: key.to_owned(),
            reason,
        });
    }

    fn find_unknown(&mut self) {
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (name, _) in properties.iter() {
                let known = self
                    .keys
                    .iter()
                    .any(|key| key.section == section && key.name == name);
                if !known {
                    self.fault(section, name, "unknown key".to_owned());
                } else if properties.get_all(name).count() > 1 {
                    self.fault(section, name, "given twice".to_owned());
                }
            }
        }
    }

    pub(crate) fn text(
        &mut self,
        section: &str,
        name: &str,
    ) -> Option<String> {
        let key = self
            .keys
            .iter()
            .find(|key| key.section == section && key.name == name)
            .expect("every key that is read stands in its table");
        // A template leaves a value empty where nothing was stated for it.
        let given = self.ini.get_from(Some(section), name);
        let given = given.filter(|text| !text.trim().is_empty());
        match given.or(key.default) {
            Some(text) => Some(text.trim().to_owned()),
            None => {
                self.fault(section, name, "must be given".to_owned());
                None
            }
        }
    }

    pub(crate) fn value<T>(&mut self, section: &str, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self.text(section, name)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(section, name, format!("`{text}`: {error}"));
                None
            }
        }
    }

    pub(crate) fn number<T>(
        &mut self,
        section: &str,
        name: &str,
        least: T,
        most: T,
    ) -> Option<T>
    where
        T: FromStr + PartialOrd + fmt::Display + Copy,
        T::Err: fmt::Display,
    {
        let value: T = self.value(section, name)?;
        if value >= least && value <= most {
            return Some(value);
        }
        let reason = format!("{value} is not between {least} and {most}");
        self.fault(section, name, reason);
        None
    }

    pub(crate) fn millis(
        &mut self,
        section: &str,
        name: &str,
    ) -> Option<Duration> {
        let value = self.number(section, name, 1_u64, 3_600_000)?;
        Some(Duration::from_millis(value))
    }

    pub(crate) fn seconds(
        &mut self,
        section: &str,
        name: &str,
    ) -> Option<Duration> {
        let value = self.number(section, name, 0_u64, 30 * 86_400)?;
        Some(Duration::from_secs(value))
    }

    fn url(&mut self, section: &str, name: &str) -> Option<String> {
        let text = self.text(section, name)?;
        let rest = text.strip_prefix("http://");
        let host = rest.and_then(|rest| rest.split('/').next());
        let by_ip = host.is_some_and(|h| h.parse::<SocketAddr>().is_ok());
        if by_ip {
            return Some(text);
        }
        let reason = format!("`{text}` is not http://IP:PORT[/path]");
        self.fault(section, name, reason);
        None
    }
}

fn read_settings(r: &mut SettingsReader<'_>) -> Option<Settings> {
    // Each part is read before any is unwrapped, so that one fault does not
    // hide the next.
    let vm = r.value("vm", "id");
    let data_hall = r.value("vm", "data_hall");
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
    let open = listen.is_some_and(|l| !l.operators.ip().is_loopback());
    if open {
        let reason = "must be given when the operators' listener is not on a loopback address";
        r.fault("operators", "key_hash", reason.to_owned());
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
        r.fault("peers", "suspect_after_ms", reason);
    }
    if peers.dead_after <= peers.suspect_after {
        let reason = "must be longer than suspect_after_ms".to_owned();
        r.fault("peers", "dead_after_ms", reason);
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
        r.fault("steward", "lease_ttl_ms", reason);
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

/// A table of keys in Markdown, as `docs/SETTINGS.md` and
/// `docs/GATEWAY.md` print it.
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

    const GOOD: &str = "
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
    fn a_minimal_file_is_enough() {
        let settings = Settings::from_ini(GOOD).unwrap();
        assert_eq!(settings.claims.slots, 8);
        assert_eq!(settings.store.deadline, Duration::from_secs(1));
    }

    #[test]
    fn every_fault_is_reported() {
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
        let faults = Settings::from_ini(text).unwrap_err();
        let lines: Vec<String> =
            faults.iter().map(SettingsError::to_string).collect();
        insta::assert_snapshot!(lines.join("\n"));
    }

    #[test]
    fn a_key_given_twice_is_a_fault() {
        let text = format!("{GOOD}list_poll_ms = 1\nlist_poll_ms = 2\n");
        let faults = Settings::from_ini(&text).unwrap_err();
        assert!(faults.iter().any(|f| f.reason == "given twice"));
    }
}
