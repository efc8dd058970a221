//! Keeps the configuration of this VM current, and takes edits to the store.
//!
//! One watch waits for the next change of the chain. News also comes with
//! gossip, and its content from the VM that had it. A new VM starts from the
//! store or, when that is out, from another VM.

use std::{sync::Arc, time::Duration};

use crate::{
    api::{view::Peer, vm::Vm},
    chains::{
        chain::{self, Appended, Batch, WriteId},
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

/// A snapshot is written after this many changes.
const SNAPSHOT_EVERY: u64 = 64;

/// Changes kept in the chain, more than a day's worth at the design size.
const CHANGES_KEPT: u64 = 8192;

/// Changes that a VM keeps to hand on to others.
pub(crate) const RECENT_LIMIT: usize = 512;

/// Longest time to ask another VM for changes.
const ASK_LIMIT: Duration = Duration::from_secs(2);

/// Tries of one edit against other operators' edits.
const EDIT_TRIES: u32 = 8;

/// Age of the last proof beyond which an edit first reads the chain.
const EDIT_PROOF_AGE: Duration = Duration::from_secs(1);

/// Follows the chain, for as long as polled.
pub(crate) async fn follow_loop(vm: Arc<Vm>) {
    let mut backoff =
        Backoff::new(Duration::from_millis(100), Duration::from_secs(3));
    let mut must_catch_up = true;
    let mut is_lost = false;
    loop {
        let followed = match must_catch_up {
            true => catch_up(&vm).await,
            false => watch(&vm).await,
        };
        match followed {
            Ok(()) => {
                must_catch_up = false;
                backoff.reset();
                if is_lost {
                    is_lost = false;
                    Event::StoreBack.log("the configuration is followed");
                }
            }
            Err(error) => {
                must_catch_up = true;
                if !is_lost {
                    is_lost = true;
                    Event::StoreLost.log(&error);
                }
                if vm.configuration.proof_age(vm.clock.now()).is_none() {
                    start_from_peer(&vm).await;
                }
                task::sleep(backoff.wait()).await;
            }
        }
    }
}

/// Fetches changes from VMs that have told of a newer revision.
pub(crate) async fn fetch_loop(vm: Arc<Vm>) {
    while let Ok(from) = vm.configuration_sources.1.recv().await {
        if let Some(peer) = vm.view.peer(&from) {
            let _ = fetch_from(&vm, &peer).await;
        }
    }
}

/// Waits for the next change, and applies it and what follows.
async fn watch(vm: &Arc<Vm>) -> Result<(), StoreError> {
    let revision = vm.configuration.current().revision();
    let key = chain::key(PREFIX, revision.next().0);
    let limit = vm.settings.store.watch;
    let sent_at = vm.clock.now();
    let found = vm.store.wait(&key, limit).await?;
    match found {
        Some(stored) => {
            let batch: Batch<Change> = chain::decode(&stored.value)?;
            apply(vm, &[batch.content]);
            vm.configuration.prove(sent_at);
        }
        // The service looked for the key until the limit had passed.
        None => vm.configuration.prove(sent_at + limit),
    }
    Ok(())
}

/// Reads the snapshot, if it is newer, and all changes after it.
async fn catch_up(vm: &Arc<Vm>) -> Result<(), StoreError> {
    let sent_at = vm.clock.now();
    let before = vm.configuration.current().revision();
    let mut changes = read_changes(vm, before).await?;
    let has_gap = changes.first().is_some_and(|c| c.revision != before.next());
    if has_gap || changes.is_empty() {
        take_snapshot(vm).await?;
        let now_at = vm.configuration.current().revision();
        changes = read_changes(vm, now_at).await?;
    }
    apply(vm, &changes);
    vm.configuration.prove(sent_at);
    vm.mark_ready();
    Ok(())
}

async fn read_changes(
    vm: &Arc<Vm>,
    after: Revision,
) -> Result<Vec<Change>, StoreError> {
    let batches: Vec<(u64, Batch<Change>)> =
        chain::read_after(&*vm.store, PREFIX, after.0).await?;
    Ok(batches.into_iter().map(|(_, batch)| batch.content).collect())
}

async fn take_snapshot(vm: &Arc<Vm>) -> Result<(), StoreError> {
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
        in_force(vm, revision);
    }
}

fn apply(vm: &Arc<Vm>, changes: &[Change]) {
    match vm.configuration.apply_all(changes) {
        Ok(true) => {
            vm.remember_changes(changes);
            in_force(vm, vm.configuration.current().revision());
        }
        Ok(false) => {}
        Err(error) => Event::ConfigurationBroken.log(error),
    }
}

fn in_force(vm: &Arc<Vm>, revision: Revision) {
    Event::ConfigurationInForce.log(format_args!("revision {revision}"));
    // Whichever way it came, there is a configuration to work by.
    vm.mark_ready();
    vm.guard.clear_withdrawn(&vm.configuration.current());
    let vm = vm.clone();
    // The rest of the hall should not wait for its watch or a round.
    task::spawn(async move {
        crate::api::gossip::Gossiper::gossip_to_hall(&vm).await;
    })
    .detach();
}

/// Starts from another VM when the store is out.
async fn start_from_peer(vm: &Arc<Vm>) {
    let peers = vm.view.peers();
    let hall = vm.view.data_hall();
    let (near, far): (Vec<&Peer>, Vec<&Peer>) =
        peers.iter().partition(|peer| peer.data_hall == *hall);
    for peer in near.into_iter().chain(far) {
        if fetch_from(vm, peer).await {
            return;
        }
    }
}

/// Fetches what a VM has beyond this one; true when it answered.
async fn fetch_from(vm: &Arc<Vm>, peer: &Peer) -> bool {
    let after = vm.configuration.current().revision();
    let request = PeerRequest::Changes { after };
    let asked = vm.peer_client.call(peer.address, request, ASK_LIMIT).await;
    match asked {
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

/// Answers a VM that asks for what follows its revision.
pub(crate) fn changes_after(vm: &Vm, after: Revision) -> PeerReply {
    let recent = vm.recent_changes.lock().expect("changes lock");
    let newer: Vec<Change> =
        recent.iter().filter(|c| c.revision > after).cloned().collect();
    drop(recent);
    let current = vm.configuration.current();
    let is_whole = current.revision() <= after
        || newer.first().is_some_and(|c| c.revision == after.next());
    if is_whole {
        return PeerReply::Changes(newer);
    }
    match serde_json::to_string(&*current) {
        Ok(text) => PeerReply::Snapshot(text),
        Err(error) => PeerReply::Refused(error.to_string()),
    }
}

/// Puts an edit into the chain and in force here.
///
/// # Errors
///
/// The kinds of [`Configuration::check`], and
/// [`ErrorKind::StoreUnavailable`] or [`ErrorKind::StoreUncertain`] when the
/// store does not answer.
pub(crate) async fn edit(
    vm: &Arc<Vm>,
    edit: Edit,
    expected: Expected,
    reason: &str,
) -> Result<Revision, Error> {
    let now = vm.clock.now();
    let age = vm.configuration.proof_age(now);
    if age.is_none_or(|age| age > EDIT_PROOF_AGE) {
        let read = catch_up(vm).await;
        read.map_err(|error| store_failed(&error))?;
    }
    for _ in 0..EDIT_TRIES {
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
            Ok(Appended::Mine) => {
                apply(vm, &[batch.content]);
                Event::EditStored
                    .log(format_args!("revision {revision}: {reason}"));
                snapshot_if_due(vm, revision);
                return Ok(revision);
            }
            Ok(Appended::Other(other)) => apply(vm, &[other]),
            Err(error) => return Err(store_failed(&error)),
        }
    }
    Err(Error::new(ErrorKind::EditConflict)
        .context("other edits came first each time"))
}

fn store_failed(error: &StoreError) -> Error {
    let kind = match error {
        StoreError::NotDone(_) => ErrorKind::StoreUnavailable,
        StoreError::MaybeDone(_) => ErrorKind::StoreUncertain,
    };
    Error::new(kind).context(error.to_string()).context("storing the edit")
}

fn snapshot_if_due(vm: &Arc<Vm>, revision: Revision) {
    if !revision.0.is_multiple_of(SNAPSHOT_EVERY) {
        return;
    }
    let vm = vm.clone();
    task::spawn(async move {
        // Without a snapshot the chain is only longer to read.
        let _ = write_snapshot(&vm).await;
    })
    .detach();
}

async fn write_snapshot(vm: &Arc<Vm>) -> Result<(), StoreError> {
    let current = vm.configuration.current();
    let held = vm.store.get(SNAPSHOT_KEY).await?;
    let condition = match &held {
        None => Condition::Absent,
        Some(stored) => {
            let older = Configuration::from_json(&stored.value)
                .is_ok_and(|held| held.revision() < current.revision());
            if !older {
                return Ok(());
            }
            Condition::Is(stored.version)
        }
    };
    let value = chain::encode(&*current)?;
    vm.store.put(SNAPSHOT_KEY, &value, condition).await?;
    let last = current.revision().0.saturating_sub(CHANGES_KEPT);
    let first = last.saturating_sub(SNAPSHOT_EVERY - 1).max(1);
    for index in first..=last {
        vm.store.delete(&chain::key(PREFIX, index)).await?;
    }
    Ok(())
}

/// Watches the age of the proof and says when it passes the bound.
pub(crate) async fn staleness_loop(vm: Arc<Vm>) {
    const LOOK: Duration = Duration::from_secs(1);
    let mut was_fresh = true;
    loop {
        task::sleep(LOOK).await;
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

/// Waits until this VM has a configuration, but not beyond `limit`.
pub(crate) async fn wait_ready(vm: &Arc<Vm>, limit: Duration) -> bool {
    let wait = async {
        while !vm.is_ready() {
            task::sleep(Duration::from_millis(20)).await;
        }
    };
    within(limit, wait).await.is_some()
}
