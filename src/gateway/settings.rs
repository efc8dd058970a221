//! The settings of a gateway VM, read from an INI file.
//!
//! The platform renders the file from its template (`deploy/lupinseam.ini`)
//! at each start and at each change.

use std::{net::SocketAddr, path::Path, time::Duration};

use crate::{
    id::{DataHallId, VmId},
    placing::{
        cascade::{
            confidence_curve::ConfidenceCurve, poor_shares::PoorShares,
        },
        retry_window::RetryBound,
        warm_up::WarmUpSlack,
    },
    rollouts::exposure::ExposureLimit,
    scheduling::organisation_reserve::OrganisationReserve,
    secret::ClusterKey,
    settings::{
        SettingKey, SettingsError, SettingsReader, read_file, read_ini,
    },
    store_sync::staleness::StalenessBound,
    unit::{Mbps, Megabytes, MilliCores},
};

const fn key(
    section: &'static str,
    name: &'static str,
    default: Option<&'static str>,
    meaning: &'static str,
) -> SettingKey {
    SettingKey { section, name, default, meaning }
}

/// Every key that the settings file of a gateway VM may hold.
pub const KEYS: &[SettingKey] = &[
    key("vm", "id", None, "Name of this VM; the same after a restart."),
    key("vm", "data_hall", None, "Name of its data hall."),
    key(
        "vm",
        "link_mbps",
        Some("0"),
        "Rate of its network link in Mbit/s, 0 if unknown; in each data hall, \
         the VMs with the fastest links follow the platform's store for the \
         others.",
    ),
    key(
        "vm",
        "cores",
        Some("0"),
        "Its share of processor time in cores, 0 if unknown; the VMs with the \
         largest share coordinate the slots of services for the others.",
    ),
    key(
        "vm",
        "memory_mb",
        Some("0"),
        "Its memory in MB, 0 if unknown; bounds the connections, bodies and \
         answers of callers that it holds.",
    ),
    key(
        "vm",
        "max_open_files",
        Some("0"),
        "Descriptors that its process may have open, 0 if unknown; bounds \
         the connections of callers as well.",
    ),
    key("listen", "callers", None, "IP and port for callers (HTTP)."),
    key(
        "listen",
        "readiness",
        None,
        "IP and port for the platform's readiness check (HTTP).",
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
        "Secret of the fleet, 64 hexadecimal digits; authenticates the frames \
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
        "Timeout of one watch of the store; a store that has stopped \
         responding is noticed after it.",
    ),
    key(
        "peers",
        "seeds",
        Some(""),
        "Addresses of other VMs, comma-separated; their port is replaced by \
         that of `listen.peers`.",
    ),
    key("peers", "beat_ms", Some("500"), "Interval between two heartbeats."),
    key(
        "keys",
        "revoke_ms",
        None,
        "Time after which a revoked key must be rejected.",
    ),
    key(
        "changes",
        "apply_ms",
        Some("2000"),
        "Time after which a changed configuration must be in force.",
    ),
    key(
        "changes",
        "drain_ms",
        Some("2000"),
        "Time after which an upstream that leaves must get no more requests.",
    ),
    key(
        "keys",
        "fail_closed",
        Some("true"),
        "Whether a VM that cannot tell any more which keys were revoked \
         rejects all (`true`), or goes on with the newest configuration \
         that it has (`false`).",
    ),
    key(
        "retries",
        "share",
        None,
        "Attempts beyond the first that all VMs together may send to a \
         service, as a share of its requests.",
    ),
    key(
        "retries",
        "extra",
        None,
        "Attempts that all VMs together may send to a service in addition.",
    ),
    key("retries", "window_s", None, "Window over which both are counted."),
    key(
        "warm_up",
        "overshoot",
        Some("1"),
        "Requests that all VMs together may send within a second to an \
         upstream that is warming up, as a factor on the rate that the \
         configuration allows.",
    ),
    key(
        "warm_up",
        "tolerance",
        Some("0"),
        "Requests that all VMs together may send to it in addition.",
    ),
    key(
        "rollouts",
        "session_s",
        Some("5"),
        "Time after the end of a request within which the next one belongs \
         to the same session, which keeps its version.",
    ),
    key(
        "rollouts",
        "canary_share",
        Some("0.15"),
        "Share of a service's requests that a new version may get until the \
         time allowed for its rollout is over.",
    ),
    key(
        "rollouts",
        "canary_tolerance",
        Some("0"),
        "Requests that it may get in addition.",
    ),
    key(
        "scheduling",
        "vms_per_slot",
        Some("3"),
        "One VM coordinates the slots of a service that has fewer slots than \
         the number of live VMs divided by this; 0 for never.",
    ),
    key(
        "scheduling",
        "reply_ms",
        Some("100"),
        "Time for a connection to the VM that coordinates a service, and for \
         its reply in addition to the 200 ms for which it may hold one; \
         without a reply, another VM is asked.",
    ),
    key(
        "scheduling",
        "organisation_reserve",
        Some("0"),
        "Share of a service, from 0 to below 1, that is kept for \
         organisations that are not above their fair share of its requests; \
         0 for none. Applies where no VM coordinates the slots; above 0.2, \
         slots may stay unused while only one organisation sends requests.",
    ),
    key(
        "cascade",
        "poor_share",
        Some("0.1, 0.15, 0.45"),
        "Share of poor answers that callers accept, above 0 and at most 1, \
         comma-separated by priority from 0; the last one applies to all \
         other priorities. A good answer is worth the cost of the largest \
         model divided by it; only used where the configuration states the \
         costs of models.",
    ),
    key(
        "cascade",
        "poor_by_confidence",
        Some("0:1, 100:0"),
        "Probability that an answer is poor, by the confidence from 0 to 100 \
         that its model states: comma-separated points \
         `confidence:probability`, with straight lines between them.",
    ),
    key("stop", "grace_s", None, "Longest duration of a planned stop."),
    key("log", "level", Some("info"), "Least severe level that is logged."),
];

/// The settings of a gateway VM.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The name of this VM.
    pub vm: VmId,
    /// The name of its data hall.
    pub data_hall: DataHallId,
    /// The rate of its network link; 0 if unknown.
    pub link_rate: Mbps,
    /// Its share of processor time; 0 if unknown.
    pub cores: MilliCores,
    /// Its memory; 0 if unknown.
    pub memory: Megabytes,
    /// The descriptors that its process may have open; 0 if unknown.
    pub max_open_files: u32,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the platform's readiness check.
    pub readiness: SocketAddr,
    /// The address for other VMs, over TCP and UDP.
    pub peer_address: SocketAddr,
    /// The address at which metrics are served.
    pub metrics: SocketAddr,
    /// The secret of the fleet, which authenticates frames between VMs.
    pub cluster_key: ClusterKey,
    /// The address of the platform's key-value store.
    pub store: SocketAddr,
    /// The timeout of one watch of the store.
    pub watch_timeout: Duration,
    /// The VMs to contact first, at the port of `peer_address`.
    pub seeds: Vec<SocketAddr>,
    /// The interval between two heartbeats.
    pub heartbeat_interval: Duration,
    /// The time after which a revoked key must be rejected.
    pub key_revocation_limit: Duration,
    /// The time within which this VM must act on any change in the store: the
    /// shortest that the operators state.
    pub(crate) staleness_bound: StalenessBound,
    /// Whether every key is rejected once this VM cannot tell any more which
    /// ones were revoked.
    pub fail_closed: bool,
    /// The bound on attempts beyond the first, for all VMs together.
    pub retry_bound: RetryBound,
    /// The requests that an upstream may get during warm-up beyond its rate.
    pub warm_up_slack: WarmUpSlack,
    /// The time after the end of a request within which the next one belongs
    /// to the same session.
    pub session_timeout: Duration,
    /// The bound for the requests that a new version gets.
    pub exposure_limit: ExposureLimit,
    /// Live VMs per slot above which the slots of a service are coordinated;
    /// 0 to coordinate none.
    pub vms_per_slot: u32,
    /// The time for a connection to a coordinator, and beyond that for which
    /// it may hold a reply.
    pub slot_reply_margin: Duration,
    /// The part of a service that is kept for organisations that are not
    /// above their fair share.
    pub organisation_reserve: OrganisationReserve,
    /// The share of poor answers that callers accept, by priority.
    pub poor_shares: PoorShares,
    /// The probability that an answer is poor, by its confidence.
    pub confidence_curve: ConfidenceCurve,
    /// The longest duration of a graceful shutdown.
    pub stop_grace: Duration,
    /// The least severe level that is logged.
    pub log_level: log::LevelFilter,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// All faults found in the file.
    pub fn from_file(
        path: &Path,
    ) -> Result<GatewaySettings, Vec<SettingsError>> {
        GatewaySettings::from_ini(&read_file(path)?)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// All faults found in the text.
    pub fn from_ini(
        text: &str,
    ) -> Result<GatewaySettings, Vec<SettingsError>> {
        read_ini(text, KEYS, read)
    }
}

fn read(r: &mut SettingsReader<'_>) -> Option<GatewaySettings> {
    // Every key is read before any is unwrapped, so that all faults are
    // reported at once.
    let vm = r.value("vm", "id");
    let data_hall = r.value("vm", "data_hall");
    let link_rate = r.value("vm", "link_mbps");
    let cores = r.value("vm", "cores");
    let memory = r.value("vm", "memory_mb");
    let max_open_files = r.value("vm", "max_open_files");
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
    let apply_limit = r.millis("changes", "apply_ms");
    let drain_limit = r.millis("changes", "drain_ms");
    let fail_closed = r.value("keys", "fail_closed");
    let retry_bound = read_retries(r);
    let warm_up_slack = read_warm_up_slack(r);
    let session_s = r.number("rollouts", "session_s", 0.1, 3600.0);
    let exposure_limit = read_exposure_limit(r);
    let vms_per_slot = r.number("scheduling", "vms_per_slot", 0, 1000);
    let slot_reply_margin = r.millis("scheduling", "reply_ms");
    let organisation_reserve = r.value("scheduling", "organisation_reserve");
    let poor_shares = r.value("cascade", "poor_share");
    let confidence_curve = r.value("cascade", "poor_by_confidence");
    let stop_grace = r.seconds("stop", "grace_s");
    let log_level = r.value("log", "level");
    Some(GatewaySettings {
        vm: vm?,
        data_hall: data_hall?,
        link_rate: link_rate?,
        cores: cores?,
        memory: memory?,
        max_open_files: max_open_files?,
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
        staleness_bound: StalenessBound::strictest([
            apply_limit?,
            drain_limit?,
            key_revocation_limit?,
        ]),
        fail_closed: fail_closed?,
        retry_bound: retry_bound?,
        warm_up_slack: warm_up_slack?,
        session_timeout: Duration::from_secs_f64(session_s?),
        exposure_limit: exposure_limit?,
        vms_per_slot: vms_per_slot?,
        slot_reply_margin: slot_reply_margin?,
        organisation_reserve: organisation_reserve?,
        poor_shares: poor_shares?,
        confidence_curve: confidence_curve?,
        stop_grace: stop_grace?,
        log_level: log_level?,
    })
}

fn read_exposure_limit(r: &mut SettingsReader<'_>) -> Option<ExposureLimit> {
    let share = r.number("rollouts", "canary_share", 0.001, 1.0);
    let tolerance = r.number("rollouts", "canary_tolerance", 0.0, 100_000.0);
    Some(ExposureLimit { share: share?, tolerance: tolerance? })
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
    peer_address: Option<SocketAddr>,
) -> Option<Vec<SocketAddr>> {
    let text = r.text("peers", "seeds")?;
    let port = peer_address?.port();
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
