//! The numbered log events of the router and the functions that write them.
//!
//! An operator can look up a number such as `E042` from the logs in
//! `docs/EVENTS.md`. That page contains the table of this module, and a test
//! checks that the two are equal.

use std::{
    fmt,
    time::{SystemTime, UNIX_EPOCH},
};

use log::Level;
use serde_json::Value;

/// Maximum length of a foreign text that an event quotes, in characters.
const MAX_QUOTED_CHARS: usize = 120;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident,
        $meaning:literal;)*) => {
        /// An event that the router can log.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// All events, in ascending order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Returns the number, which is shown as `E042` in logs and docs.
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $number,)* }
            }

            /// Returns the level at which the event is logged.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// Returns the explanation for operators.
            pub fn meaning(self) -> &'static str {
                match self { $(Event::$name => $meaning,)* }
            }
        }
    };
}

events! {
    /// The process starts.
    Starting = 1, Info, "The process starts.";
    /// The VM becomes ready.
    Ready = 2, Info, "The VM has a configuration and accepts requests.";
    /// A planned stop (graceful shutdown) begins.
    Stopping = 3, Info, "A planned stop begins; the VM is no longer ready.";
    /// A planned stop is complete.
    Stopped = 4, Info,
        "The planned stop is complete; states how long it took and what was cut off, if anything.";
    /// A planned stop reached its time limit.
    StopCut = 5, Error,
        "The planned stop reached `stop.grace_s` with requests still in flight.";
    /// A task ended unexpectedly.
    TaskFailed = 6, Error,
        "A task failed, which is a bug in this program; states the request that it handled, if it did, which is answered with 500 `internal`, and the reason.";
    /// The settings file was read again.
    Reloaded = 7, Info,
        "The settings file was read again; states whether anything in it has changed.";
    /// A newer configuration is in force.
    ConfigurationInForce = 10, Info,
        "A newer configuration revision is in force at this VM.";
    /// The configuration cannot be proven current.
    ConfigurationStale = 11, Warn,
        "The configuration has not been proven current for `configuration.stale_after_s`; no new session starts on a version that is being rolled out.";
    /// The configuration is proven current again.
    ConfigurationFresh = 12, Info,
        "The configuration is proven current again.";
    /// A change in the configuration chain cannot be applied.
    ConfigurationBroken = 13, Error,
        "A change in the configuration chain cannot be read; the last good revision stays in force.";
    /// An operator's edit was stored.
    EditStored = 14, Info,
        "An edit was stored; states who made it and what changed.";
    /// An operator's edit conflicted with another one.
    EditConflict = 15, Info,
        "An edit was rejected because another edit was stored first.";
    /// The store stopped answering.
    StoreLost = 20, Warn, "The store does not answer.";
    /// The store answers again.
    StoreBack = 21, Info, "The store answers again.";
    /// The platform's list of VMs stopped answering.
    ListLost = 22, Warn, "The platform's list of VMs does not answer.";
    /// The platform's list of VMs answers again.
    ListBack = 23, Info, "The platform's list of VMs answers again.";
    /// The data from the store is too old to validate keys.
    KnowledgeStale = 24, Warn,
        "The data from the platform's store is too old to tell which keys are valid; the VM is not ready, unless `keys.fail_closed` is false.";
    /// The data from the store is recent enough again.
    KnowledgeFresh = 25, Info,
        "The data from the platform's store is recent enough again.";
    /// Newer data was received from another VM.
    KnowledgeFromPeer = 26, Info,
        "Newer data of the platform's store was taken over from another VM.";
    /// This VM's record could not be written or renewed.
    RecordNotKept = 27, Warn,
        "This VM's record in the platform's store could not be written or renewed; other VMs that know it still accept its messages.";
    /// An entry of the platform's list of VMs cannot be read.
    ListEntryUnreadable = 28, Warn,
        "An entry of the platform's list of VMs cannot be read, or contradicts another one of its name; logged once, not at each read of the list. A VM that it names and that was known keeps its last known entry until the list says that it leaves or no longer names it; of contradicting entries, one in service is used, the known one first. Of many at once only the first twenty are logged, the last with the number `left_out`.";
    /// A VM of the data hall is suspected to have failed.
    PeerSuspected = 30, Info,
        "Another VM of the data hall is silent and suspected to have failed.";
    /// A VM of the data hall is considered dead.
    PeerDead = 31, Warn, "Another VM of the data hall is considered dead.";
    /// A VM of the data hall is alive.
    PeerAlive = 32, Info,
        "Another VM of the data hall is alive, either new or alive again.";
    /// A VM of the data hall is in a planned stop.
    PeerLeaving = 33, Info,
        "Another VM of the data hall is in a planned stop.";
    /// A frame from another VM was dropped.
    FrameDropped = 34, Warn,
        "A frame on the peer port failed verification or decoding; logged at most once a minute, counted in `lupinseam_frames_dropped_total`.";
    /// An upstream is leaving.
    UpstreamLeaving = 40, Info,
        "An upstream is leaving and gets no new requests.";
    /// An upstream's circuit breaker opened.
    BreakerOpened = 41, Warn,
        "An upstream failed repeatedly and gets only trial requests.";
    /// An upstream's circuit breaker closed.
    BreakerClosed = 42, Info, "An upstream answers again.";
    /// An upstream was listed.
    UpstreamListed = 43, Info,
        "An upstream is listed; states its service, version and state.";
    /// The record of an upstream was removed.
    UpstreamGone = 44, Info,
        "The record of an upstream was removed; it gets no new requests.";
    /// An upstream is unhealthy.
    UpstreamUnfit = 45, Warn,
        "An upstream fails too often, is unhealthy, and gets no requests for a while.";
    /// An upstream is healthy again.
    UpstreamFit = 46, Info, "An upstream that was unhealthy answers again.";
    /// An operator stopped the requests to a data hall's upstreams.
    EvacuationOrdered = 47, Info,
        "The operator ordered that the upstreams of a data hall get no requests; this VM sends none there from now on.";
    /// An operator allowed the requests to a data hall's upstreams again.
    EvacuationOver = 48, Info,
        "The operator withdrew the order that the upstreams of a data hall get no requests.";
    /// A value in the store cannot be decoded.
    EntryUnreadable = 49, Warn,
        "A value in the platform's store cannot be decoded; `key` is empty if not even its key can be. If it was an upstream's entry, the upstream gets no new requests until it can be; everything else keeps its last known value. A key that held such a value before is not logged again. Of many at once only the first twenty are logged, the last with the number `left_out`.";
    /// This VM took over a claim slot.
    SlotTaken = 50, Info, "This VM took over a claim slot.";
    /// Another VM took over a claim slot of this VM.
    SlotLost = 51, Info, "Another VM took over a claim slot of this VM.";
    /// A claim slot continues without the store.
    SlotOffline = 52, Warn,
        "A claim slot continues without the store; this VM and its deputy hold its claims.";
    /// All claims of a claim slot are in the store again.
    SlotOnline = 53, Info,
        "All claims of a claim slot are in the store again.";
    /// A claim slot was taken over without a handover.
    SlotGap = 54, Warn,
        "A claim slot was taken over from a lost data hall; unknown keys are answered `outcome_unknown` for `claims.gap_hold_s`.";
    /// Bills cannot be committed to the store.
    LedgerWaiting = 60, Warn,
        "Bills cannot be committed and are kept in memory.";
    /// All pending bills are committed.
    LedgerDrained = 61, Info,
        "All bills that were kept in memory are committed.";
    /// The open bills of a dead VM were settled.
    OrphansSettled = 62, Warn,
        "Open bills of a dead VM were settled at their stated amount.";
    /// No second VM can be reached to hold bills.
    BillsAlone = 63, Warn,
        "No second VM can be reached to hold bills; states which VMs were asked. Requests continue, and the bills are offered again after a while.";
    /// A second VM holds this VM's bills again.
    BillsShared = 64, Info, "A second VM holds this VM's bills again.";
    /// This VM became the steward of its data hall.
    StewardTaken = 70, Info,
        "This VM holds the steward lease of its data hall.";
    /// This VM is no longer the steward of its data hall.
    StewardLost = 71, Info, "This VM no longer holds the steward lease.";
    /// An order was sent to an upstream.
    OrderSent = 72, Info, "An order was sent to an upstream.";
    /// An order to an upstream failed or was rejected.
    OrderFailed = 73, Warn, "An order to an upstream failed or was rejected.";
    /// The rollout guard stopped a version at this VM.
    VersionStopped = 80, Error,
        "The rollout guard stopped a version at this VM.";
    /// The rollout guard withdrew a version.
    VersionWithdrawn = 81, Error,
        "The rollout guard withdrew a version in the store.";
    /// A rollout advanced to its next stage.
    StageAdvanced = 82, Info, "A rollout advanced to its next stage.";
    /// An operator ordered a rollout.
    RolloutOrdered = 83, Info, "The operator ordered a rollout of a version.";
    /// A rollout was stopped at this VM.
    RolloutStopped = 84, Error,
        "The answers of a new version are worse than those of the old one; the new version gets no more requests from this VM.";
    /// The state of a rollout is in the store.
    RolloutRecorded = 85, Info,
        "The state of a rollout was written to the store, or was already there.";
    /// The state of a rollout may not be in the store.
    RolloutNotRecorded = 86, Warn,
        "The state of a rollout could not be written to the store, or it is unknown whether it was.";
    /// An upstream rejected a request and asked for a backoff.
    UpstreamRests = 87, Info,
        "An upstream rejected a request and asked for a backoff; this VM sends it no requests until the backoff is over. Logged again if the upstream still rejects requests after that.";
    /// An upstream accepts requests again after a backoff.
    UpstreamRested = 88, Info,
        "An upstream that had asked this VM for a backoff has accepted a request.";
    /// The backoff that an upstream asked for cannot be parsed.
    RestUnreadable = 89, Warn,
        "An upstream rejected a request and asked for a backoff with a text that is not a time; the rejection is treated as one that asks for no backoff.";
    /// An answer was cut off.
    AnswerBroken = 90, Warn,
        "An answer was cut off and could not be resumed; the caller sees a broken connection or an error event.";
    /// A stream was resumed at another upstream.
    StreamResumed = 91, Info,
        "A stream was resumed at another upstream of the same version.";
    /// An upstream crashed while it ran requests.
    UpstreamEnded = 92, Warn,
        "An upstream accepts no connections right after an attempt there was cut off, so it has crashed. Names the digest of the request whose attempt was the first to be cut off at this VM.";
    /// A request was quarantined.
    RequestHeld = 93, Error,
        "Enough upstreams crashed while running a request, or requests that share a segment of their prompts, for it to be quarantined; such requests are rejected at every VM from now on, until ten minutes after the last crash. States the digest, whether it is of a `request` or a `segment`, and how many upstreams crashed.";
    /// A request is no longer quarantined.
    RequestReleased = 94, Info,
        "A request or segment that was quarantined is accepted again: it completed elsewhere, another one explains the crashes, or ten minutes have passed.";
    /// The quarantined requests could not be stored.
    HeldNotKept = 95, Warn,
        "The quarantined requests and segments could not be written to the platform's store; the VMs that are running know them, and the write is retried.";
    /// An upstream stated a rate limit.
    UpstreamLimited = 96, Info,
        "An upstream stated the rate of requests that it accepts from all VMs together; states whether its answer or another VM reported it. A few VMs share that rate from now on, and the others send it no requests.";
    /// An upstream no longer states a rate limit.
    UpstreamUnlimited = 97, Info,
        "An upstream that had stated a rate limit no longer states one; every VM may send to it again.";
    /// The rate limit that an upstream stated cannot be parsed.
    LimitUnreadable = 98, Warn,
        "An upstream stated a rate limit with a text that is not a rate; the limit known before stays in force.";
    /// Evidence on a rollout may not be in the store.
    RolloutEvidenceNotKept = 99, Warn,
        "The evidence on a rollout could not be written to the store; if all VMs were lost now, later ones would not know it.";
    /// A request ended with an upstream's answer.
    RequestEnded = 100, Info,
        "A request ended with an upstream's answer; one line with all its attempts.";
    /// A request was rejected or failed.
    RequestFailed = 101, Warn,
        "A request was rejected, failed, or got no complete answer; one line with all its attempts and the reason. Of the requests that a planned stop cuts off, only the first hundred are logged.";
    /// This VM reaches upstreams only through other VMs.
    UpstreamsUnreachable = 102, Warn,
        "This VM cannot connect to upstreams that other VMs reach; until it can, its requests go through those.";
    /// This VM reaches upstreams by itself again.
    UpstreamsReachable = 103, Info,
        "This VM connects to upstreams by itself again.";
    /// The slots of a service are coordinated.
    SlotsCoordinated = 104, Info,
        "A service has so few slots for the number of VMs that one of them decides which request gets the next; states the slots and the live VMs. Each VM determines this by itself.";
    /// The slots of a service are no longer coordinated.
    SlotsUncoordinated = 105, Info,
        "A service is no longer coordinated; each VM sends its requests by itself again. States the slots and the live VMs.";
    /// The VM that coordinates a service did not reply.
    CoordinatorUnreachable = 106, Warn,
        "The VM that coordinates the slots of a service could not be reached or did not reply; this VM asks the next one in the ranking meanwhile, for a second at first and longer each time that it still does not reply.";
    /// The retry budget of a service is spent at this VM.
    RetryBudgetSpent = 107, Warn,
        "The retry budget of a service did not allow this VM a further attempt; at most one line a second and service. States the VM's retries and requests in the window that ends now, and the VMs that share the fixed number.";
    /// This VM begins to refuse connections.
    ConnectionsLimited = 108, Warn,
        "This VM gets more connections than it can serve and refuses some, so that their callers try another VM at once. States the open connections, the connections a second that it accepts, and the resource that is exhausted: the processor, the network, or room for connections (`vm.memory_mb`, `vm.max_open_files`).";
    /// This VM accepts all connections again.
    ConnectionsUnlimited = 109, Info,
        "This VM accepts all connections again.";
    /// The store is at an earlier version than this VM's copy.
    StoreBehind = 110, Warn,
        "The store was read at an earlier position (`era/version`) than that of this VM's copy, and the read was ignored; states both.";
    /// The store has come back from an older copy.
    StoreEraBegan = 111, Warn,
        "The store has come back from an older copy of itself. This VM has read it, writes again what it wrote since, and goes by what it knew until operators and upstreams have written again; states the era, the store's version and the number of updates that are held.";
}

impl Event {
    /// Logs the event as text, followed by `detail`.
    pub fn log(self, detail: impl fmt::Display) {
        log::log!(
            target: "lupinseam",
            self.level(),
            "{self} {:?}: {detail}",
            self
        );
    }

    /// Logs the event as one JSON object with `fields`, to which the time,
    /// the number and the name are added.
    pub fn record(self, mut fields: serde_json::Map<String, Value>) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let at_ms = since_epoch.unwrap_or_default().as_millis() as u64;
        fields.insert("at_ms".into(), at_ms.into());
        fields.insert("event".into(), self.to_string().into());
        fields.insert("name".into(), format!("{self:?}").into());
        let line = Value::Object(fields);
        log::log!(target: "lupinseam", self.level(), "{line}");
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:03}", self.number())
    }
}

/// Shortens a foreign text that an event quotes.
pub(crate) fn shortened(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

/// Returns the table of all events in Markdown, for `docs/EVENTS.md`.
pub fn catalogue() -> String {
    let mut table = String::from(
        "| event | level | name | meaning |\n|---|---|---|---|\n",
    );
    for event in Event::ALL {
        table.push_str(&format!(
            "| {event} | {} | {event:?} | {} |\n",
            event.level().as_str().to_lowercase(),
            event.meaning()
        ));
    }
    table
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_are_unique_and_ascending() {
        let numbers: Vec<u16> =
            Event::ALL.iter().map(|event| event.number()).collect();
        assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
    }
}
