//! Keeps the configuration of this VM up to date, and writes edits to the
//! store.
//!
//! A watch on the store waits for the next change of the chain. Gossip also
//! announces new revisions; their changes are fetched from the VM that
//! announced them. A VM starts from the store or, if that is unavailable, from
//! another VM.

use std::{fmt, sync::Arc, time::Duration};

use crate::{
    api::{view::Peer, vm::Vm},
    chains::{
        chain::{self, AppendOutcome, Batch, WriteId},
        configuration::{Change, Configuration, Edit, Expected},
        store::{Backoff, Condition, StoreError},
    },
    error::{Error, ErrorKind},
    event::Event,
    id::Revision,
    message::{PeerReply, PeerRequest},
    task::{self, within},
};

const PREFIX: &str = "config";
const SNAPSHOT_KEY: &str = "configsnapshot";

/// Number of changes after which a snapshot is written.
const SNAPSHOT_EVERY: u64 = 64;

/// Number of changes kept in the chain: more than a day's worth at the rate
/// that the system is designed for.
const MAX_CHAIN_CHANGES: u64 = 8192;

/// Maximum number of recent changes that a VM keeps to send to others.
pub(crate) const RECENT_LIMIT: usize = 512;

/// Timeout of a request to another VM for changes.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Attempts to append an edit when other operators edit concurrently.
const MAX_EDIT_ATTEMPTS: u32 = 8;

/// Maximum age of the last proof of freshness with which an edit is checked
/// without reading the chain first.
const MAX_EDIT_PROOF_AGE: Duration = Duration::from_secs(1);

/// Why the chain cannot be followed for the moment.
#[derive(Debug)]
enum FollowError {
    /// The store could not be read.
    Store(StoreError),
    /// The change that follows the configuration in force cannot be read.
    Unreadable(StoreError),
}

impl FollowError {
    fn event(&self) -> Event {
        match self {
            FollowError::Store(_) => Event::StoreLost,
            FollowError::Unreadable(_) => Event::ConfigurationBroken,
        }
    }
}

impl fmt::Display for FollowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (FollowError::Store(error) | FollowError::Unreadable(error)) =
            self;
        error.fmt(f)
    }
}

impl From<StoreError> for FollowError {
    fn from(error: StoreError) -> FollowError {
        FollowError::Store(error)
    }
}

/// Follows the chain and applies its changes; runs until it is dropped.
pub(crate) async fn follow_loop(vm: Arc<Vm>) {
    let mut backoff =
        Backoff::new(Duration::from_millis(100), Duration::from_secs(3));
    let mut must_catch_up = true;
    let mut reported = None;
    loop {
        let outcome = match must_catch_up {
            true => catch_up(&vm).await,
            false => watch(&vm).await,
        };
        match outcome {
            Ok(()) => {
                must_catch_up = false;
                backoff.reset();
                if reported.take().is_some() {
                    Event::StoreBack
                        .log("the configuration chain can be read again");
                }
            }
            Err(error) => {
                must_catch_up = true;
                let event = error.event();
                if reported != Some(event) {
                    reported = Some(event);
                    event.log(&error);
                }
                if vm.configuration.proof_age(vm.clock.now()).is_none() {
                    start_from_peer(&vm).await;
                }
                task::sleep(backoff.wait()).await;
            }
        }
    }
}

/// Fetches changes from VMs that have announced a newer revision; ends when
/// the channel is closed.
pub(crate) async fn fetch_loop(vm: Arc<Vm>) {
    while let Ok(from) = vm.configuration_sources.1.recv().await {
        if let Some(peer) = vm.view.peer(&from) {
            let _ = fetch_from(&vm, &peer).await;
        }
    }
}

/// Waits for the next change and applies it. Records a proof of freshness
/// either way.
async fn watch(vm: &Arc<Vm>) -> Result<(), FollowError> {
    let revision = vm.configuration.current().revision();
    let next = revision.next();
    let key = chain::key(PREFIX, next.0);
    let limit = vm.settings.store.watch;
    let sent_at = vm.clock.now();
    let found = vm.store.wait(&key, limit).await?;
    match found {
        Some(stored) => {
            let change = chain::decode::<Batch<Change>>(&stored.value)
                .and_then(|batch| change_at(next.0, batch))
                .map_err(FollowError::Unreadable)?;
            apply(vm, &[change]);
            vm.configuration.record_proof(sent_at);
        }
        // The service has confirmed that the key did not exist until the limit
        // passed.
        None => vm.configuration.record_proof(sent_at + limit),
    }
    Ok(())
}

/// Reads all changes after the current revision; reads the snapshot first if
/// there are none or if they don't follow the current revision. Changes before
/// one that cannot be read are applied.
async fn catch_up(vm: &Arc<Vm>) -> Result<(), FollowError> {
    let sent_at = vm.clock.now();
    let before = vm.configuration.current().revision();
    let mut read = read_changes(vm, before).await?;
    let first = read.changes.first();
    let has_gap = first.is_some_and(|c| c.revision != before.next());
    if has_gap || read.changes.is_empty() {
        load_snapshot(vm).await?;
        let snapshot_revision = vm.configuration.current().revision();
        read = read_changes(vm, snapshot_revision).await?;
    }
    apply(vm, &read.changes);
    if let Some(error) = read.unreadable {
        return Err(FollowError::Unreadable(error));
    }
    vm.configuration.record_proof(sent_at);
    vm.mark_ready();
    Ok(())
}

/// The changes that were read of the chain.
struct ReadChanges {
    /// The changes, in order, up to the first that cannot be read.
    changes: Vec<Change>,
    /// Why the change after them cannot be read, if there is one.
    unreadable: Option<StoreError>,
}

async fn read_changes(
    vm: &Arc<Vm>,
    after: Revision,
) -> Result<ReadChanges, StoreError> {
    let part = chain::read_part_after(&*vm.store, PREFIX, after.0).await?;
    let mut changes = Vec::new();
    for (index, batch) in part.batches {
        match change_at(index, batch) {
            Ok(change) => changes.push(change),
            Err(error) => {
                return Ok(ReadChanges { changes, unreadable: Some(error) });
            }
        }
    }
    Ok(ReadChanges { changes, unreadable: part.unreadable })
}

/// Returns the change in the batch at `index`, which is its revision.
fn change_at(index: u64, batch: Batch<Change>) -> Result<Change, StoreError> {
    let revision = batch.content.revision;
    match revision == Revision(index) {
        true => Ok(batch.content),
        false => Err(StoreError::OutcomeUnknown(format!(
            "the change at {index} states revision {revision}"
        ))),
    }
}

async fn load_snapshot(vm: &Arc<Vm>) -> Result<(), StoreError> {
    let Some(stored) = vm.store.get(SNAPSHOT_KEY).await? else {
        return Ok(());
    };
    match Configuration::from_json(&stored.value) {
        Ok(configuration) => install(vm, configuration),
        Err(error) => Event::ConfigurationBroken.log(error),
    }
    Ok(())
}

fn install(vm: &Arc<Vm>, configuration: Configuration) {
    let revision = configuration.revision();
    if vm.configuration.install(configuration) {
        on_installed(vm, revision);
    }
}

fn apply(vm: &Arc<Vm>, changes: &[Change]) {
    match vm.configuration.apply_all(changes) {
        Ok(true) => {
            vm.remember_changes(changes);
            on_installed(vm, vm.configuration.current().revision());
        }
        Ok(false) => {}
        Err(error) => Event::ConfigurationBroken.log(error),
    }
}

fn on_installed(vm: &Arc<Vm>, revision: Revision) {
    Event::ConfigurationInForce.log(format_args!("revision {revision}"));
    // However the configuration was obtained, this VM can now serve requests.
    vm.mark_ready();
    vm.rollout_guard.clear_withdrawn(&vm.configuration.current());
    let vm = vm.clone();
    // The other VMs of the hall need not wait for their watch or the next
    // gossip round.
    task::spawn(async move {
        crate::api::gossip::Gossiper::gossip_to_hall(&vm).await;
    })
    .detach();
}

/// Fetches the configuration from another VM while the store is unavailable;
/// VMs of this hall first.
async fn start_from_peer(vm: &Arc<Vm>) {
    let peers = vm.view.peers();
    let hall = vm.view.data_hall();
    let (local, remote): (Vec<&Peer>, Vec<&Peer>) =
        peers.iter().partition(|peer| peer.data_hall == *hall);
    for peer in local.into_iter().chain(remote) {
        if fetch_from(vm, peer).await {
            return;
        }
    }
}

/// Fetches from a VM what follows this VM's revision. Returns whether the VM
/// answered and this VM now has a configuration.
async fn fetch_from(vm: &Arc<Vm>, peer: &Peer) -> bool {
    let after = vm.configuration.current().revision();
    let request = PeerRequest::Changes { after };
    let reply =
        vm.peer_client.call(peer.address, request, FETCH_TIMEOUT).await;
    match reply {
        Ok(PeerReply::Changes(changes)) => apply(vm, &changes),
        Ok(PeerReply::Snapshot(text)) => {
            match Configuration::from_json(&text) {
                Ok(configuration) => install(vm, configuration),
                Err(error) => Event::ConfigurationBroken.log(error),
            }
        }
        _ => return false,
    }
    vm.configuration.current().revision() > Revision(0)
}

/// Returns the changes after a revision, or a snapshot if this VM no longer
/// has all of them.
pub(crate) fn changes_after(vm: &Vm, after: Revision) -> PeerReply {
    let recent = vm.recent_changes.lock().expect("changes lock");
    let changes: Vec<Change> =
        recent.iter().filter(|c| c.revision > after).cloned().collect();
    drop(recent);
    let current = vm.configuration.current();
    let is_complete = current.revision() <= after
        || changes.first().is_some_and(|c| c.revision == after.next());
    if is_complete {
        return PeerReply::Changes(changes);
    }
    match serde_json::to_string(&*current) {
        Ok(text) => PeerReply::Snapshot(text),
        Err(error) => PeerReply::Rejected(error.to_string()),
    }
}

/// Appends an edit to the chain and applies it at this VM. Returns the new
/// revision.
///
/// # Errors
///
/// The kinds of [`Configuration::check`], and [`ErrorKind::StoreUnavailable`]
/// or [`ErrorKind::StoreUncertain`] if the store does not answer.
pub(crate) async fn edit(
    vm: &Arc<Vm>,
    edit: Edit,
    expected: Expected,
    reason: &str,
) -> Result<Revision, Error> {
    let now = vm.clock.now();
    let age = vm.configuration.proof_age(now);
    if age.is_none_or(|age| age > MAX_EDIT_PROOF_AGE) {
        let read = catch_up(vm).await;
        read.map_err(|error| match error {
            FollowError::Store(error) | FollowError::Unreadable(error) => {
                store_error(&error)
            }
        })?;
    }
    for _ in 0..MAX_EDIT_ATTEMPTS {
        let current = vm.configuration.current();
        current.check(&edit, expected).inspect_err(|error| {
            if error.kind() == ErrorKind::EditConflict {
                Event::EditConflict.log(error);
            }
        })?;
        let change = Change {
            revision: current.revision().next(),
            vm: vm.view.vm().clone(),
            at_unix_ms: vm.clock.unix_ms(),
            reason: reason.to_owned(),
            edit: edit.clone(),
        };
        let revision = change.revision;
        let batch = Batch { write: WriteId::random(), content: change };
        let appended =
            chain::append(&*vm.store, PREFIX, revision.0, &batch).await;
        match appended {
            Ok(AppendOutcome::Appended) => {
                apply(vm, &[batch.content]);
                Event::EditStored
                    .log(format_args!("revision {revision}: {reason}"));
                snapshot_if_due(vm, revision);
                return Ok(revision);
            }
            Ok(AppendOutcome::Occupied(other)) => apply(vm, &[other]),
            Err(error) => return Err(store_error(&error)),
        }
    }
    Err(Error::new(ErrorKind::EditConflict)
        .context("other edits were stored first at each attempt"))
}

fn store_error(error: &StoreError) -> Error {
    let kind = match error {
        StoreError::NotApplied(_) => ErrorKind::StoreUnavailable,
        StoreError::OutcomeUnknown(_) => ErrorKind::StoreUncertain,
    };
    Error::new(kind).context(error.to_string()).context("storing the edit")
}

fn snapshot_if_due(vm: &Arc<Vm>, revision: Revision) {
    if !revision.0.is_multiple_of(SNAPSHOT_EVERY) {
        return;
    }
    let vm = vm.clone();
    task::spawn(async move {
        // A failure is harmless: without a snapshot, only more of the chain
        // has to be read.
        let _ = write_snapshot(&vm).await;
    })
    .detach();
}

async fn write_snapshot(vm: &Arc<Vm>) -> Result<(), StoreError> {
    let current = vm.configuration.current();
    let stored = vm.store.get(SNAPSHOT_KEY).await?;
    let condition = match &stored {
        None => Condition::Absent,
        Some(stored) => {
            let is_older = Configuration::from_json(&stored.value)
                .is_ok_and(|other| other.revision() < current.revision());
            if !is_older {
                return Ok(());
            }
            Condition::VersionIs(stored.version)
        }
    };
    let value = chain::encode(&*current)?;
    vm.store.put(SNAPSHOT_KEY, &value, condition).await?;
    let last = current.revision().0.saturating_sub(MAX_CHAIN_CHANGES);
    let first = last.saturating_sub(SNAPSHOT_EVERY - 1).max(1);
    for index in first..=last {
        vm.store.delete(&chain::key(PREFIX, index)).await?;
    }
    Ok(())
}

/// Logs when the configuration becomes stale or fresh again, by the age of its
/// proof of freshness.
pub(crate) async fn staleness_loop(vm: Arc<Vm>) {
    const CHECK_INTERVAL: Duration = Duration::from_secs(1);
    let mut was_fresh = true;
    loop {
        task::sleep(CHECK_INTERVAL).await;
        let is_fresh = vm.is_configuration_fresh();
        if is_fresh != was_fresh {
            was_fresh = is_fresh;
            let revision = vm.configuration.current().revision();
            let event = match is_fresh {
                true => Event::ConfigurationFresh,
                false => Event::ConfigurationStale,
            };
            event.log(format_args!("revision {revision}"));
        }
    }
}

/// Waits at most `limit` until this VM has a configuration. Returns whether it
/// has one.
pub(crate) async fn wait_ready(vm: &Arc<Vm>, limit: Duration) -> bool {
    let wait = async {
        while !vm.is_ready() {
            task::sleep(Duration::from_millis(20)).await;
        }
    };
    within(limit, wait).await.is_some()
}
