//! Settings of a VM before a platform, read from an INI file.
//!
//! The platform fills the file's template (`deploy/lupinseam.ini`) at each
//! start and at each change.

use std::{net::SocketAddr, path::Path, time::Duration};

use crate::{
    id::{DataHallId, VmId},
    placing::{retry_window::RetryBound, warm_up::WarmUpSlack},
    secret::ClusterKey,
    settings::{
        SettingKey, SettingsError, SettingsReader, read_file, read_ini,
    },
    unit::Mbps,
};

const fn key(
    section: &'static str,
    name: &'static str,
    default: Option<&'static str>,
    meaning: &'static str,
) -> SettingKey {
    SettingKey { section, name, default, meaning }
}

/// Every key that the settings file of such a VM may hold.
pub const KEYS: &[SettingKey] = &[
    key("vm", "id", None, "Name of this VM; the same after a restart."),
    key("vm", "data_hall", None, "Name of the data hall it stands in."),
    key(
        "vm",
        "link_mbps",
        Some("0"),
        "Rate of its network link; in each data hall, the VMs with the \
         fastest ones follow the platform's store for the others.",
    ),
    key("listen", "callers", None, "IP and port for callers (HTTP)."),
    key(
        "listen",
        "readiness",
        None,
        "IP and port at which the platform asks whether it is ready.",
    ),
    key(
        "listen",
        "peers",
        None,
        "IP and port for other VMs (UDP and TCP); the port is the same on \
         every VM.",
    ),
    key("listen", "metrics", None, "IP and port for metrics (HTTP)."),
    key(
        "cluster",
        "key",
        None,
        "Secret of the fleet, 64 hexadecimal digits; authenticates frames \
         between VMs.",
    ),
    key(
        "platform",
        "store",
        None,
        "IP and port of the platform's key-value store.",
    ),
    key(
        "platform",
        "watch_ms",
        Some("3000"),
        "Longest wait of one watch; a store that fell silent is noticed \
         after it.",
    ),
    key(
        "peers",
        "seeds",
        Some(""),
        "Addresses of other VMs, comma-separated; their port is replaced by \
         that of `listen.peers`.",
    ),
    key("peers", "beat_ms", Some("500"), "Time between two beats."),
    key(
        "keys",
        "revoke_ms",
        None,
        "Time after which a key that was taken away must be refused.",
    ),
    key(
        "keys",
        "fail_closed",
        Some("true"),
        "Whether a VM that cannot know any more which keys were taken away \
         refuses all (`true`), or goes on by the newest configuration that \
         it knows (`false`).",
    ),
    key(
        "retries",
        "share",
        None,
        "Attempts beyond the first that all VMs may send a service, as a \
         share of its requests.",
    ),
    key(
        "retries",
        "extra",
        None,
        "Attempts that all VMs may send a service besides.",
    ),
    key("retries", "window_s", None, "Time over which both are counted."),
    key(
        "warm_up",
        "overshoot",
        Some("1"),
        "Requests that all VMs may send within a second to an upstream that \
         is cold, as a factor on what the configuration says it bears.",
    ),
    key(
        "warm_up",
        "tolerance",
        Some("0"),
        "Requests that all VMs may send it besides.",
    ),
    key(
        "rollouts",
        "session_s",
        Some("5"),
        "Time after the end of a request in which the next one belongs to \
         the same session, which keeps its version.",
    ),
    key("stop", "grace_s", None, "Longest planned stop."),
    key("log", "level", Some("info"), "Least severe level written."),
];

/// All settings of a VM before a platform.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The name of this VM.
    pub vm: VmId,
    /// Its data hall.
    pub data_hall: DataHallId,
    /// The rate of its network link.
    pub link_rate: Mbps,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where other VMs connect and send.
    pub peer_address: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The secret of the fleet.
    pub cluster_key: ClusterKey,
    /// The platform's store.
    pub store: SocketAddr,
    /// Longest wait of one watch.
    pub watch_timeout: Duration,
    /// Other VMs to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Time between two beats.
    pub heartbeat_interval: Duration,
    /// Time after which a key that was taken away must be refused.
    pub key_revocation_limit: Duration,
    /// Whether every key is refused once it cannot be known any more which
    /// ones were taken away.
    pub fail_closed: bool,
    /// How many attempts beyond the first are allowed.
    pub retry_bound: RetryBound,
    /// What upstreams that are cold may have beyond what they bear.
    pub warm_up_slack: WarmUpSlack,
    /// Time after the end of a request in which the next one belongs to the
    /// same session.
    pub session_timeout: Duration,
    /// Longest planned stop.
    pub stop_grace: Duration,
    /// The least severe level that is logged.
    pub log_level: log::LevelFilter,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Every fault of the file.
    pub fn from_file(
        path: &Path,
    ) -> Result<GatewaySettings, Vec<SettingsError>> {
        GatewaySettings::from_ini(&read_file(path)?)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Every fault of the text.
    pub fn from_ini(
        text: &str,
    ) -> Result<GatewaySettings, Vec<SettingsError>> {
        read_ini(text, KEYS, read)
    }
}

fn read(r: &mut SettingsReader<'_>) -> Option<GatewaySettings> {
    // Each part is read before any is unwrapped, so that one fault does not
    // hide the next.
    let vm = r.value("vm", "id");
    let data_hall = r.value("vm", "data_hall");
    let link_rate = r.value("vm", "link_mbps");
    let callers = r.value("listen", "callers");
    let readiness = r.value("listen", "readiness");
    let peer_address: Option<SocketAddr> = r.value("listen", "peers");
    let metrics = r.value("listen", "metrics");
    let cluster_key = r.value("cluster", "key");
    let store = r.value("platform", "store");
    let watch_timeout = r.millis("platform", "watch_ms");
    let seeds = read_seeds(r, peer_address);
    let heartbeat_interval = r.millis("peers", "beat_ms");
    let key_revocation_limit = r.millis("keys", "revoke_ms");
    let fail_closed = r.value("keys", "fail_closed");
    let retry_bound = read_retries(r);
    let warm_up_slack = read_warm_up_slack(r);
    let session_s = r.number("rollouts", "session_s", 0.1, 3600.0);
    let stop_grace = r.seconds("stop", "grace_s");
    let log_level = r.value("log", "level");
    Some(GatewaySettings {
        vm: vm?,
        data_hall: data_hall?,
        link_rate: link_rate?,
        callers: callers?,
        readiness: readiness?,
        peer_address: peer_address?,
        metrics: metrics?,
        cluster_key: cluster_key?,
        store: store?,
        watch_timeout: watch_timeout?,
        seeds: seeds?,
        heartbeat_interval: heartbeat_interval?,
        key_revocation_limit: key_revocation_limit?,
        fail_closed: fail_closed?,
        retry_bound: retry_bound?,
        warm_up_slack: warm_up_slack?,
        session_timeout: Duration::from_secs_f64(session_s?),
        stop_grace: stop_grace?,
        log_level: log_level?,
    })
}

fn read_warm_up_slack(r: &mut SettingsReader<'_>) -> Option<WarmUpSlack> {
    let overshoot = r.number("warm_up", "overshoot", 0.0, 100.0);
    let tolerance = r.number("warm_up", "tolerance", 0.0, 100_000.0);
    Some(WarmUpSlack { overshoot: overshoot?, tolerance: tolerance? })
}

fn read_retries(r: &mut SettingsReader<'_>) -> Option<RetryBound> {
    let share = r.number("retries", "share", 0.0, 10.0);
    let extra = r.number("retries", "extra", 0.0, 100_000.0);
    let window_s = r.number("retries", "window_s", 0.1, 3600.0);
    Some(RetryBound {
        share: share?,
        extra: extra?,
        window: Duration::from_secs_f64(window_s?),
    })
}

fn read_seeds(
    r: &mut SettingsReader<'_>,
    peers: Option<SocketAddr>,
) -> Option<Vec<SocketAddr>> {
    let text = r.text("peers", "seeds")?;
    let port = peers?.port();
    let mut seeds = Vec::new();
    for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
        match part.parse::<SocketAddr>() {
            Ok(seed) => seeds.push(SocketAddr::new(seed.ip(), port)),
            Err(error) => {
                r.add_error("peers", "seeds", format!("`{part}`: {error}"));
                return None;
            }
        }
    }
    Some(seeds)
}
