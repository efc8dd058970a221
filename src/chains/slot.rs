//! One claim slot at one VM: granting claims as owner, holding them as
//! deputy, taking over, and going on while the store is out.
//!
//! Why a claim is never granted twice:
//!
//! * With the store, a claim stands when the slot's chain holds it, and the
//!   chain has one order for all.
//! * Without it, the owner named last in the chain goes on, only while its
//!   deputy, named in the same record, holds every claim with it, and only
//!   for `offline_max` after it last read the end of the chain.
//! * The deputy takes over by an entry in the chain that carries the claims
//!   it holds, and from the attempt on holds no more for the old owner.
//! * Anybody else first announces the takeover in the chain and waits out
//!   `offline_max`. An owner that reads the announcement objects by renewing
//!   its record. After the wait, keys that the old owner may have granted
//!   are unknown, so unknown keys are answered so for `gap_hold`.

use std::{future::Future, time::Duration};

use crate::{
    chains::{
        chain::{self, Appended, Batch, WriteId},
        claim::{
            ClaimOutcome, ClaimRecord, ClaimRequest, ClaimVerdict,
            OfflineClaim, Ownership, SlotState, VmIncarnation,
        },
        store::{Condition, SharedStore, StoreError, VALUE_LIMIT_BYTES},
    },
    clock::{BootInstant, SharedClock},
    event::Event,
    id::VmId,
    settings::ClaimSettings,
};

/// Times that a batch is tried against batches of others.
const TRIES: u32 = 4;

/// Added to the wait before a takeover, for clocks that run at slightly
/// different speeds.
const CLOCK_MARGIN: f64 = 1.05;

/// Batches after which the state of a slot is written as a base.
const BASE_EVERY: u64 = 256;

/// Age that a batch must have before it may be removed. An append that
/// took longer than [`APPEND_LIMIT`] is not trusted, so that none can land
/// on an index that was removed.
const REMOVE_AGE: Duration = Duration::from_secs(3600);

/// Longest time from reading the end of a chain to an append after it.
const APPEND_LIMIT: Duration = Duration::from_secs(600);

/// Records in one batch at most.
const BATCH_LIMIT: usize = 1000;

/// Bytes of a batch at most, below the store's limit on values.
const BATCH_LIMIT_BYTES: usize = VALUE_LIMIT_BYTES / 2;

/// What a slot needs of the other VMs.
pub(crate) trait SlotPeers: Send + Sync {
    /// Whether a life of a VM is believed to be over, or out of reach.
    fn is_gone(
        &self,
        life: &VmIncarnation,
    ) -> impl Future<Output = bool> + Send;

    /// A live VM of this hall to hold claims with.
    fn pick_deputy(&self) -> Option<VmIncarnation>;

    /// Asks a deputy to hold claims; true when it does.
    fn hold(
        &self,
        deputy: &VmIncarnation,
        request: HoldRequest,
    ) -> impl Future<Output = bool> + Send;
}

/// A request to hold claims for a slot's owner.
#[derive(Clone, Debug)]
pub(crate) struct HoldRequest {
    pub(crate) slot: u32,
    /// The index of the chain up to which the owner has read.
    pub(crate) index: u64,
    pub(crate) owner: VmIncarnation,
    /// The position of the first claim in all since the store went out.
    pub(crate) first: usize,
    pub(crate) claims: Vec<OfflineClaim>,
}

/// Claims held as deputy for an owner that goes on without the store.
#[derive(Debug, Default)]
struct Held {
    owner: Option<VmIncarnation>,
    claims: Vec<OfflineClaim>,
}

/// What this VM is to a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Role {
    Owner,
    Deputy(Ownership),
    Outsider(Ownership),
    Unowned,
}

/// How writing to the chain ended.
enum Flush {
    /// All of it stands in the chain.
    Stands,
    /// Another VM wrote first; what it wrote has been read.
    Overtaken,
    /// The store does not answer.
    StoreOut,
}

/// How one append ended.
enum Append {
    Stands,
    Overtaken,
    NotDone,
    InDoubt,
}

/// A batch that may stand, or may yet come to stand, at its index, and at
/// no other.
#[derive(Clone, Debug)]
struct Doubt {
    index: u64,
    batch: Batch<Vec<ClaimRecord>>,
}

/// What was granted since the store went out, and how much of it the
/// deputy holds.
#[derive(Debug, Default)]
struct OfflineLog {
    claims: Vec<OfflineClaim>,
    deputy: Option<VmIncarnation>,
    held: usize,
}

/// One claim slot at one VM.
pub(crate) struct Slot<P> {
    number: u32,
    me: VmIncarnation,
    settings: ClaimSettings,
    run_limit: Duration,
    store: SharedStore,
    clock: SharedClock,
    peers: P,
    state: SlotState,
    base_index: u64,
    /// When the end of the chain was last read, or the store answered an
    /// append; taken before the call was sent.
    end_read_at: Option<BootInstant>,
    /// A batch whose append stayed open; it is the next to be tried.
    in_doubt: Option<Doubt>,
    /// Records that are in force here and not yet in the chain.
    backlog: Vec<ClaimRecord>,
    held: Held,
    offline_log: OfflineLog,
    /// Set from the attempt to take over as deputy.
    has_turned: bool,
    announced_at: Option<BootInstant>,
    is_offline: bool,
}

impl<P: SlotPeers> Slot<P> {
    pub(crate) fn new(
        number: u32,
        me: VmIncarnation,
        settings: ClaimSettings,
        run_limit: Duration,
        store: SharedStore,
        clock: SharedClock,
        peers: P,
    ) -> Slot<P> {
        Slot {
            number,
            me,
            settings,
            run_limit,
            store,
            clock,
            peers,
            state: SlotState::default(),
            base_index: 0,
            end_read_at: None,
            in_doubt: None,
            backlog: Vec::new(),
            held: Held::default(),
            offline_log: OfflineLog::default(),
            has_turned: false,
            announced_at: None,
            is_offline: false,
        }
    }

    /// Whether this VM owns the slot, as far as it knows.
    pub(crate) fn is_owner(&self) -> bool {
        self.role() == Role::Owner
    }

    /// Whether claims are being granted without the store.
    pub(crate) fn is_offline(&self) -> bool {
        self.is_offline
    }

    /// Whether records wait for the store.
    pub(crate) fn has_backlog(&self) -> bool {
        !self.backlog.is_empty() || self.in_doubt.is_some()
    }

    /// The index of the chain read so far.
    pub(crate) fn index(&self) -> u64 {
        self.state.index()
    }

    /// Settles requests for claims, all in one batch.
    pub(crate) async fn claim(
        &mut self,
        requests: &[ClaimRequest],
    ) -> Vec<ClaimVerdict> {
        for _ in 0..TRIES {
            match self.prepare().await {
                Ok(()) => {}
                Err(verdict) => return vec![verdict; requests.len()],
            }
            let (verdicts, news) = self.judge_all(requests);
            if news.is_empty() {
                return verdicts;
            }
            match self.flush(&news).await {
                Flush::Stands => {
                    self.set_offline(false);
                    return verdicts;
                }
                Flush::Overtaken => {}
                Flush::StoreOut => {
                    return self.claim_offline(verdicts, news).await;
                }
            }
        }
        vec![unavailable("other VMs write to the slot"); requests.len()]
    }

    /// Records what became of a claim; it reaches the chain with the next
    /// batch.
    pub(crate) fn settle(
        &mut self,
        request: &ClaimRequest,
        outcome: ClaimOutcome,
    ) {
        let record = ClaimRecord::Settled {
            key: request.key,
            request: request.request.clone(),
            outcome: outcome.clone(),
        };
        self.state.take(&record);
        self.backlog.push(record);
        if self.is_offline {
            // The deputy learns of it with the next claim or tick.
            self.offline_log.claims.push(OfflineClaim {
                claim: request.clone(),
                at_unix_ms: self.clock.unix_ms(),
                outcome: Some(outcome),
            });
        }
    }

    /// Holds claims for the slot's owner, if this VM is its deputy.
    pub(crate) async fn hold(&mut self, request: HoldRequest) -> bool {
        if self.contradicts(&request).await {
            return false;
        }
        let same = self.held.owner.as_ref() == Some(&request.owner);
        if request.first == 0 || !same {
            self.held =
                Held { owner: Some(request.owner), claims: Vec::new() };
        }
        if self.held.claims.len() != request.first {
            return false;
        }
        self.held.claims.extend(request.claims);
        true
    }

    /// Brings backlog and chain together, and renews what must be renewed.
    ///
    /// To be called regularly by its task.
    pub(crate) async fn tick(&mut self) {
        if self.end_read_at.is_none() {
            return;
        }
        let was_owner = self.is_owner();
        if self.has_backlog() || self.is_offline {
            let flushed = self.flush(&[]).await;
            match flushed {
                Flush::Stands => self.set_offline(false),
                Flush::Overtaken => {}
                Flush::StoreOut => self.tell_deputy().await,
            }
        } else if was_owner
            && self.is_read_due()
            && self.read_end().await.is_ok()
        {
            self.object_to_takeover().await;
        }
        self.note_change_of_owner(was_owner);
        self.write_base_if_due().await;
    }

    /// Hands the slot over to its deputy, with everything in the chain.
    pub(crate) async fn hand_over(&mut self) {
        if !self.is_owner() {
            self.flush_all().await;
            return;
        }
        let ownership = self.state.ownership().cloned();
        let heir = ownership
            .and_then(|o| o.deputy)
            .or_else(|| self.peers.pick_deputy());
        let records = heir.map(|owner| ClaimRecord::Owner {
            owner,
            deputy: None,
            gap_until_unix_ms: self.gap_until(),
        });
        for _ in 0..TRIES {
            match self.flush(records.as_slice()).await {
                Flush::Stands | Flush::StoreOut => return,
                Flush::Overtaken => {}
            }
        }
    }

    async fn flush_all(&mut self) {
        for _ in 0..TRIES {
            if !self.has_backlog() {
                return;
            }
            if matches!(self.flush(&[]).await, Flush::StoreOut) {
                return;
            }
        }
    }

    fn role(&self) -> Role {
        let Some(ownership) = self.state.ownership() else {
            return Role::Unowned;
        };
        if ownership.owner == self.me {
            Role::Owner
        } else if ownership.deputy.as_ref() == Some(&self.me) {
            Role::Deputy(ownership.clone())
        } else {
            Role::Outsider(ownership.clone())
        }
    }

    /// Makes this VM the owner, or says why it may not grant claims.
    async fn prepare(&mut self) -> Result<(), ClaimVerdict> {
        if self.end_read_at.is_none() && self.read_end().await.is_err() {
            return Err(unavailable("the slot cannot be read"));
        }
        if self.role() == Role::Owner {
            return Ok(());
        }
        // The record may be old; who owns the slot is read again.
        if self.read_end().await.is_err() {
            return Err(self.ask_elsewhere());
        }
        let was_owner = self.is_owner();
        match self.role() {
            Role::Owner => {}
            Role::Unowned => self.take(None, Vec::new()).await?,
            Role::Deputy(ownership) => {
                self.take_as_deputy(&ownership).await?;
            }
            Role::Outsider(ownership) => {
                self.take_as_outsider(&ownership).await?;
            }
        }
        self.note_change_of_owner(was_owner);
        Ok(())
    }

    async fn take_as_deputy(
        &mut self,
        ownership: &Ownership,
    ) -> Result<(), ClaimVerdict> {
        if !self.peers.is_gone(&ownership.owner).await {
            return Err(not_owner(&ownership.owner));
        }
        self.has_turned = true;
        let ours = self.held.owner.as_ref() == Some(&ownership.owner);
        let records = match ours {
            true => records_of(&self.held.claims),
            false => Vec::new(),
        };
        self.take(ownership.gap_until_unix_ms, records).await?;
        self.held = Held::default();
        Ok(())
    }

    async fn take_as_outsider(
        &mut self,
        ownership: &Ownership,
    ) -> Result<(), ClaimVerdict> {
        if !self.peers.is_gone(&ownership.owner).await {
            return Err(not_owner(&ownership.owner));
        }
        if let Some(deputy) = &ownership.deputy
            && !self.peers.is_gone(deputy).await
        {
            return Err(not_owner(deputy));
        }
        if self.state.takeover() != Some(&self.me) {
            self.announce().await;
            return Err(unavailable("the owner of the slot is lost"));
        }
        let wait = self.settings.offline_max.mul_f64(CLOCK_MARGIN);
        let waited = self.announced_at.is_some_and(|at| {
            self.clock.now().saturating_duration_since(at) >= wait
        });
        if !waited {
            return Err(unavailable("the owner of the slot is lost"));
        }
        let hold_ms = self.settings.gap_hold.as_millis() as u64;
        let gap_until = self.clock.unix_ms() + hold_ms;
        self.take(Some(gap_until), Vec::new()).await?;
        Event::SlotGap.log(format_args!(
            "slot {} after {}",
            self.number, ownership.owner.vm
        ));
        Ok(())
    }

    async fn announce(&mut self) {
        let record = ClaimRecord::Takeover { by: self.me.clone() };
        if matches!(self.flush(&[record]).await, Flush::Stands) {
            self.announced_at = Some(self.clock.now());
        }
    }

    /// Puts this VM's ownership into the chain.
    async fn take(
        &mut self,
        gap_until_unix_ms: Option<u64>,
        claims: Vec<ClaimRecord>,
    ) -> Result<(), ClaimVerdict> {
        let mut records = vec![ClaimRecord::Owner {
            owner: self.me.clone(),
            deputy: self.peers.pick_deputy(),
            gap_until_unix_ms,
        }];
        records.extend(claims);
        match self.flush(&records).await {
            Flush::Stands => {
                // As owner again, it may one day be a deputy again.
                self.has_turned = false;
                Ok(())
            }
            Flush::Overtaken => Err(self.ask_elsewhere()),
            Flush::StoreOut => {
                Err(unavailable("the slot cannot be taken over"))
            }
        }
    }

    /// Verdicts on all requests, and the records of those that are new.
    fn judge_all(
        &self,
        requests: &[ClaimRequest],
    ) -> (Vec<ClaimVerdict>, Vec<ClaimRecord>) {
        let now_unix_ms = self.clock.unix_ms();
        let mut trial = self.state.for_trial(requests);
        let mut verdicts = Vec::new();
        let mut news = Vec::new();
        for request in requests {
            let known = trial.judge(request, now_unix_ms, self.run_limit);
            if let Some(verdict) = known {
                verdicts.push(verdict);
                continue;
            }
            let record = ClaimRecord::Claimed {
                claim: request.clone(),
                at_unix_ms: now_unix_ms,
            };
            trial.take(&record);
            news.push(record);
            verdicts.push(ClaimVerdict::Granted);
        }
        (verdicts, news)
    }

    /// Grants new claims with the deputy alone, while the store is out.
    async fn claim_offline(
        &mut self,
        verdicts: Vec<ClaimVerdict>,
        news: Vec<ClaimRecord>,
    ) -> Vec<ClaimVerdict> {
        let granted = self.hold_with_deputy(&news).await;
        if granted && self.may_go_offline() {
            self.set_offline(true);
            for record in &news {
                self.state.take(record);
            }
            self.add_to_backlog(news);
            return verdicts;
        }
        self.forget_unless_in_doubt(&news);
        let refused = unavailable("the store is out and no deputy holds");
        let is_new =
            |verdict: &ClaimVerdict| *verdict == ClaimVerdict::Granted;
        verdicts
            .into_iter()
            .map(|v| if is_new(&v) { refused.clone() } else { v })
            .collect()
    }

    async fn hold_with_deputy(&mut self, news: &[ClaimRecord]) -> bool {
        let deputy = self.state.ownership().and_then(|o| o.deputy.clone());
        let Some(deputy) = deputy else { return false };
        if !self.is_owner() || !self.may_go_offline() {
            return false;
        }
        // While it is open whether another deputy was named, that one could
        // take over without the claims that this one holds.
        if self.in_doubt.iter().any(|d| names_owner(&d.batch.content)) {
            return false;
        }
        let granted = self.offline_log.claims.len();
        self.offline_log.claims.extend(offline_claims(news));
        let held = self.send_log(&deputy).await;
        if !held {
            self.offline_log.claims.truncate(granted);
            self.offline_log.held = 0;
        }
        held
    }

    /// Lets the deputy know outcomes that came since the last claim.
    async fn tell_deputy(&mut self) {
        let log = &self.offline_log;
        let is_behind = self.is_offline && log.held < log.claims.len();
        if let Some(deputy) = log.deputy.clone().filter(|_| is_behind) {
            // Without the outcome a repeat is answered `outcome_unknown`.
            self.send_log(&deputy).await;
        }
    }

    /// Sends the deputy what it does not hold yet, or all of it anew.
    async fn send_log(&mut self, deputy: &VmIncarnation) -> bool {
        let log = &mut self.offline_log;
        if log.deputy.as_ref() != Some(deputy) {
            log.deputy = Some(deputy.clone());
            log.held = 0;
        }
        for first in [log.held, 0] {
            let request = HoldRequest {
                slot: self.number,
                index: self.state.index(),
                owner: self.me.clone(),
                first,
                claims: log.claims[first..].to_vec(),
            };
            if self.peers.hold(deputy, request).await {
                log.held = log.claims.len();
                return true;
            }
            if first == 0 {
                break;
            }
        }
        false
    }

    fn may_go_offline(&self) -> bool {
        let now = self.clock.now();
        self.end_read_at.is_some_and(|at| {
            now.saturating_duration_since(at) < self.settings.offline_max
        })
    }

    /// Claims that were not granted must not stand as if they were: those
    /// that an open append may bring into the chain are settled as not run.
    fn forget_unless_in_doubt(&mut self, news: &[ClaimRecord]) {
        let Some(doubt) = &self.in_doubt else { return };
        let settled: Vec<ClaimRecord> = news
            .iter()
            .filter(|record| doubt.batch.content.contains(record))
            .filter_map(|record| match record {
                ClaimRecord::Claimed { claim, .. } => {
                    Some(ClaimRecord::Settled {
                        key: claim.key,
                        request: claim.request.clone(),
                        outcome: ClaimOutcome::NotRun,
                    })
                }
                _ => None,
            })
            .collect();
        self.backlog.extend(settled);
    }

    fn add_to_backlog(&mut self, news: Vec<ClaimRecord>) {
        let in_doubt = self.in_doubt.as_ref();
        let fresh = news.into_iter().filter(|record| {
            !in_doubt.is_some_and(|d| d.batch.content.contains(record))
        });
        self.backlog.extend(fresh);
    }

    /// Appends the batch in doubt, the backlog and `news`, in this order.
    async fn flush(&mut self, news: &[ClaimRecord]) -> Flush {
        if let Some(doubt) = self.in_doubt.clone() {
            match self.append(&doubt.batch).await {
                Append::Stands => self.in_doubt = None,
                // Whether an earlier try of it will land is still open.
                Append::NotDone | Append::InDoubt => return Flush::StoreOut,
                Append::Overtaken => return Flush::Overtaken,
            }
        }
        loop {
            let part = self.next_part();
            let is_last = part.len() == self.backlog.len();
            let mut records = part.clone();
            if is_last {
                records.extend(self.owner_renewal(news));
                records.extend_from_slice(news);
            }
            if records.is_empty() {
                return Flush::Stands;
            }
            let batch = Batch { write: WriteId::random(), content: records };
            match self.append(&batch).await {
                Append::Stands => {
                    self.backlog.drain(..part.len());
                }
                Append::Overtaken => return Flush::Overtaken,
                Append::NotDone => return Flush::StoreOut,
                Append::InDoubt => {
                    self.backlog.drain(..part.len());
                    let index = self.state.index() + 1;
                    self.in_doubt = Some(Doubt { index, batch });
                    return Flush::StoreOut;
                }
            }
            if is_last {
                return Flush::Stands;
            }
        }
    }

    /// The first records of the backlog that fit one batch.
    fn next_part(&self) -> Vec<ClaimRecord> {
        let mut bytes = 0;
        let fits = |record: &&ClaimRecord| {
            bytes += record_bytes(record);
            bytes <= BATCH_LIMIT_BYTES
        };
        self.backlog
            .iter()
            .take(BATCH_LIMIT)
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// A new owner record, if the deputy is gone or somebody objects.
    fn owner_renewal(&self, news: &[ClaimRecord]) -> Option<ClaimRecord> {
        let takes = |r: &ClaimRecord| matches!(r, ClaimRecord::Owner { .. });
        if !self.is_owner() || news.iter().any(takes) {
            return None;
        }
        let deputy = self.state.ownership().and_then(|o| o.deputy.as_ref());
        let wanted = self.peers.pick_deputy();
        let objected = self.state.takeover().is_some();
        if wanted.as_ref() == deputy && !objected {
            return None;
        }
        Some(ClaimRecord::Owner {
            owner: self.me.clone(),
            deputy: wanted,
            gap_until_unix_ms: self.gap_until(),
        })
    }

    async fn append(&mut self, batch: &Batch<Vec<ClaimRecord>>) -> Append {
        let now = self.clock.now();
        if !self.is_end_fresh(now) && self.read_end().await.is_err() {
            return Append::NotDone;
        }
        let index = self.state.index() + 1;
        let prefix = self.prefix();
        let store = self.store.clone();
        let sent_at = self.clock.now();
        let appended = chain::append(&*store, &prefix, index, batch).await;
        let took = self.clock.now().saturating_duration_since(sent_at);
        match appended {
            Ok(Appended::Mine) if took < APPEND_LIMIT => {
                self.state.apply(index, &batch.content);
                self.end_read_at = Some(sent_at);
                Append::Stands
            }
            Ok(Appended::Mine) => {
                // Paused for so long that the chain must be read anew; what
                // the batch holds is then found there or written again.
                self.reset();
                Append::Overtaken
            }
            Ok(Appended::Other(records)) => {
                self.end_doubt(index, None);
                self.state.apply(index, &records);
                // More may follow. If it cannot be read, the next append
                // finds out.
                let _ = self.read_end().await;
                Append::Overtaken
            }
            Err(StoreError::NotApplied(_)) => Append::NotDone,
            Err(StoreError::OutcomeUnknown(_)) => Append::InDoubt,
        }
    }

    fn is_end_fresh(&self, now: BootInstant) -> bool {
        self.end_read_at
            .is_some_and(|at| now.saturating_duration_since(at) < APPEND_LIMIT)
    }

    fn reset(&mut self) {
        self.state = SlotState::default();
        self.base_index = 0;
        self.end_read_at = None;
    }

    /// Reads what others appended, up to the end of the chain.
    async fn read_end(&mut self) -> Result<(), StoreError> {
        let sent_at = self.clock.now();
        if self.end_read_at.is_none() {
            self.read_base().await?;
        }
        let prefix = self.prefix();
        let after = self.state.index();
        let batches: Vec<(u64, Batch<Vec<ClaimRecord>>)> =
            chain::read_after(&*self.store, &prefix, after).await?;
        for (index, batch) in batches {
            if index != self.state.index() + 1 {
                // The chain was shortened after the base was read.
                self.reset();
                let gap = "the chain was shortened meanwhile".to_owned();
                return Err(StoreError::NotApplied(gap));
            }
            self.end_doubt(index, Some(batch.write));
            self.state.apply(index, &batch.content);
        }
        self.end_read_at = Some(sent_at);
        self.reapply_backlog();
        Ok(())
    }

    /// Ends the doubt about a batch, now that its index has been read.
    ///
    /// If another batch stands there, this one never will, and what it says
    /// about keys goes back to the backlog. What it says about the owner is
    /// void: it was decided on an older state.
    fn end_doubt(&mut self, index: u64, found: Option<WriteId>) {
        let Some(doubt) = self.in_doubt.take_if(|d| d.index <= index) else {
            return;
        };
        if doubt.index < index || found != Some(doubt.batch.write) {
            let claims = claims_only(&doubt.batch.content);
            self.backlog.splice(0..0, claims);
        }
    }

    /// What waits here is in force here, also after reading the chain.
    fn reapply_backlog(&mut self) {
        let in_doubt = self.in_doubt.iter();
        let open: Vec<ClaimRecord> = in_doubt
            .flat_map(|doubt| claims_only(&doubt.batch.content))
            .chain(self.backlog.iter().cloned())
            .collect();
        for record in &open {
            self.state.take(record);
        }
    }

    async fn read_base(&mut self) -> Result<(), StoreError> {
        let Some(stored) = self.store.get(&self.base_key()).await? else {
            return Ok(());
        };
        let state: SlotState = chain::decode(&stored.value)?;
        if state.index() > self.state.index() {
            self.base_index = state.index();
            self.state = state;
        }
        Ok(())
    }

    fn is_read_due(&self) -> bool {
        let every = self.settings.offline_max / 4;
        let now = self.clock.now();
        self.end_read_at
            .is_none_or(|at| now.saturating_duration_since(at) >= every)
    }

    async fn object_to_takeover(&mut self) {
        let other = self.state.takeover().is_some_and(|by| *by != self.me);
        if self.is_owner() && other {
            // The renewal of the owner record is the objection.
            let _ = self.flush(&[]).await;
        }
    }

    async fn write_base_if_due(&mut self) {
        let index = self.state.index();
        let due = index >= self.base_index + BASE_EVERY;
        if !due || !self.is_owner() || self.has_backlog() {
            return;
        }
        let now_unix_ms = self.clock.unix_ms();
        self.state.expire(now_unix_ms, self.settings.retention);
        let Some(value) = self.base_value() else { return };
        let key = self.base_key();
        let condition = match self.store.get(&key).await {
            Ok(Some(stored)) => Condition::Is(stored.version),
            Ok(None) => Condition::Absent,
            Err(_) => return,
        };
        if self.store.put(&key, &value, condition).await.is_ok() {
            self.base_index = index;
            self.shorten(index).await;
        }
    }

    fn base_value(&mut self) -> Option<String> {
        let value = chain::encode(&self.state).ok()?;
        if value.len() <= VALUE_LIMIT_BYTES {
            return Some(value);
        }
        // Knowing which keys were used matters more than their answers.
        self.state.drop_answers();
        let value = chain::encode(&self.state).ok()?;
        (value.len() <= VALUE_LIMIT_BYTES).then_some(value)
    }

    /// Removes batches that the base holds and that are old enough.
    ///
    /// Batches that are too young are left for a later base; they cost only
    /// space.
    async fn shorten(&self, base: u64) {
        let oldest_kept = self.clock.unix_ms()
            - (REMOVE_AGE.as_millis() as u64).min(self.clock.unix_ms());
        let prefix = self.prefix();
        let first_page = self.store.list(&format!("{prefix}/"), "").await;
        for entry in first_page.unwrap_or_default() {
            let removable = chain::index(&entry.key)
                .is_some_and(|index| index < base)
                && last_at(&entry.value).is_some_and(|at| at < oldest_kept);
            if !removable || self.store.delete(&entry.key).await.is_err() {
                return;
            }
        }
    }

    /// Whether what this VM knows says that the asker is not the owner that
    /// has this VM as its deputy.
    async fn contradicts(&mut self, request: &HoldRequest) -> bool {
        let must_read = self.end_read_at.is_none()
            || self.state.index() < request.index
            || self.has_turned;
        let is_read = must_read && self.read_end().await.is_ok();
        if self.state.index() < request.index {
            // The store is out here too. The owner has read further than
            // this VM, so its word holds, unless this VM has turned.
            return self.has_turned;
        }
        let agrees = self.state.ownership().is_some_and(|ownership| {
            ownership.owner == request.owner
                && ownership.deputy.as_ref() == Some(&self.me)
        });
        if agrees && self.in_doubt.is_none() && is_read {
            // The attempt to take over came to nothing and never will.
            self.has_turned = false;
        }
        !agrees || self.has_turned
    }

    fn note_change_of_owner(&self, was_owner: bool) {
        let event = match (was_owner, self.is_owner()) {
            (false, true) => Event::SlotTaken,
            (true, false) => Event::SlotLost,
            _ => return,
        };
        event.log(format_args!("slot {}", self.number));
    }

    fn set_offline(&mut self, offline: bool) {
        if !offline {
            self.offline_log = OfflineLog::default();
        }
        if offline != self.is_offline {
            self.is_offline = offline;
            let event =
                if offline { Event::SlotOffline } else { Event::SlotOnline };
            event.log(format_args!("slot {}", self.number));
        }
    }

    fn ask_elsewhere(&self) -> ClaimVerdict {
        match self.state.ownership() {
            Some(ownership) if ownership.owner != self.me => {
                not_owner(&ownership.owner)
            }
            _ => unavailable("the slot changes hands"),
        }
    }

    fn gap_until(&self) -> Option<u64> {
        self.state.ownership().and_then(|o| o.gap_until_unix_ms)
    }

    fn prefix(&self) -> String {
        format!("claims/{:04}", self.number)
    }

    fn base_key(&self) -> String {
        format!("claimbase/{:04}", self.number)
    }
}

/// The new claims among records, as the deputy is to hold them.
fn offline_claims(records: &[ClaimRecord]) -> Vec<OfflineClaim> {
    let claims = records.iter().filter_map(|record| match record {
        ClaimRecord::Claimed { claim, at_unix_ms } => Some(OfflineClaim {
            claim: claim.clone(),
            at_unix_ms: *at_unix_ms,
            outcome: None,
        }),
        _ => None,
    });
    claims.collect()
}

fn names_owner(records: &[ClaimRecord]) -> bool {
    records.iter().any(|r| matches!(r, ClaimRecord::Owner { .. }))
}

/// The records that say something about keys, not about the slot.
fn claims_only(records: &[ClaimRecord]) -> Vec<ClaimRecord> {
    let about_keys = |record: &&ClaimRecord| {
        matches!(
            record,
            ClaimRecord::Claimed { .. } | ClaimRecord::Settled { .. }
        )
    };
    records.iter().filter(about_keys).cloned().collect()
}

fn records_of(claims: &[OfflineClaim]) -> Vec<ClaimRecord> {
    let mut records = Vec::new();
    for held in claims {
        records.push(ClaimRecord::Claimed {
            claim: held.claim.clone(),
            at_unix_ms: held.at_unix_ms,
        });
        if let Some(outcome) = &held.outcome {
            records.push(ClaimRecord::Settled {
                key: held.claim.key,
                request: held.claim.request.clone(),
                outcome: outcome.clone(),
            });
        }
    }
    records
}

fn record_bytes(record: &ClaimRecord) -> usize {
    const USUAL_BYTES: usize = 256;
    match record {
        ClaimRecord::Settled {
            outcome: ClaimOutcome::Ran { body: Some(body), .. },
            ..
        } => USUAL_BYTES + body.len() * 2,
        _ => USUAL_BYTES,
    }
}

/// The time of the last claim in a batch as it stands in the store.
fn last_at(value: &str) -> Option<u64> {
    let batch: Batch<Vec<ClaimRecord>> = chain::decode(value).ok()?;
    batch
        .content
        .iter()
        .filter_map(|record| match record {
            ClaimRecord::Claimed { at_unix_ms, .. } => Some(*at_unix_ms),
            _ => None,
        })
        .max()
        .or(Some(0))
}

fn unavailable(reason: &str) -> ClaimVerdict {
    ClaimVerdict::Unavailable { reason: reason.to_owned() }
}

fn not_owner(life: &VmIncarnation) -> ClaimVerdict {
    ClaimVerdict::NotOwner { ask: life.vm.clone() }
}

/// The name of the VM that a verdict points to.
pub(crate) fn redirect(verdict: &ClaimVerdict) -> Option<&VmId> {
    match verdict {
        ClaimVerdict::NotOwner { ask } => Some(ask),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
