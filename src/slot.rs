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

use std::{
    future::Future,
    time::{Duration, Instant},
};

use crate::{
    chain::{self, Appended, Batch, WriteId},
    claim::{
        ClaimOutcome, ClaimRecord, ClaimRequest, ClaimVerdict, OfflineClaim,
        Ownership, SlotState, VmLife,
    },
    clock::SharedClock,
    event::Event,
    id::VmId,
    settings::ClaimSettings,
    store::{Condition, SharedStore, StoreError, VALUE_LIMIT_BYTES},
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
    fn is_gone(&self, life: &VmLife) -> impl Future<Output = bool> + Send;

    /// A live VM of this hall to hold claims with.
    fn pick_deputy(&self) -> Option<VmLife>;

    /// Asks a deputy to hold claims; true when it does.
    fn hold(
        &self,
        deputy: &VmLife,
        request: HoldRequest,
    ) -> impl Future<Output = bool> + Send;
}

/// A request to hold claims for a slot's owner.
#[derive(Clone, Debug)]
pub(crate) struct HoldRequest {
    pub(crate) slot: u32,
    /// The index of the chain up to which the owner has read.
    pub(crate) index: u64,
    pub(crate) owner: VmLife,
    /// The position of the first claim in all since the store went out.
    pub(crate) first: usize,
    pub(crate) claims: Vec<OfflineClaim>,
}

/// Claims held as deputy for an owner that goes on without the store.
#[derive(Debug, Default)]
struct Held {
    owner: Option<VmLife>,
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
    deputy: Option<VmLife>,
    held: usize,
}

/// One claim slot at one VM.
pub(crate) struct Slot<P> {
    number: u32,
    me: VmLife,
    settings: ClaimSettings,
    run_limit: Duration,
    store: SharedStore,
    clock: SharedClock,
    peers: P,
    state: SlotState,
    base_index: u64,
    /// When the end of the chain was last read, or the store answered an
    /// append; taken before the call was sent.
    end_read_at: Option<Instant>,
    /// A batch whose append stayed open; it is the next to be tried.
    in_doubt: Option<Doubt>,
    /// Records that are in force here and not yet in the chain.
    backlog: Vec<ClaimRecord>,
    held: Held,
    offline_log: OfflineLog,
    /// Set from the attempt to take over as deputy.
    has_turned: bool,
    announced_at: Option<Instant>,
    is_offline: bool,
}

impl<P: SlotPeers> Slot<P> {
    pub(crate) fn new(
        number: u32,
        me: VmLife,
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
    async fn send_log(&mut self, deputy: &VmLife) -> bool {
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
            Err(StoreError::NotDone(_)) => Append::NotDone,
            Err(StoreError::MaybeDone(_)) => Append::InDoubt,
        }
    }

    fn is_end_fresh(&self, now: Instant) -> bool {
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
                return Err(StoreError::NotDone(gap));
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

fn not_owner(life: &VmLife) -> ClaimVerdict {
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
mod tests {
    use std::{
        collections::HashMap,
        sync::{
            Arc, Mutex as StdMutex,
            atomic::{AtomicBool, AtomicI32, Ordering},
        },
        time::SystemTime,
    };

    use async_trait::async_trait;
    use proptest::prelude::*;
    use smol::{block_on, lock::Mutex};

    use super::*;
    use crate::{
        claim::{BodyHash, ClaimKey},
        clock::Clock,
        id::{Incarnation, OrganisationId, RequestId},
        memory_store::{Fault, MemoryStore},
        store::{Store, Stored, StoredEntry, Written},
    };

    const VMS: usize = 3;
    const OFFLINE_MAX: Duration = Duration::from_secs(60);
    const GAP_HOLD: Duration = Duration::from_secs(100);

    /// A clock that is set.
    struct SetClock {
        start: Instant,
        passed: StdMutex<Duration>,
    }

    impl Clock for SetClock {
        fn now(&self) -> Instant {
            self.start + *self.passed.lock().unwrap()
        }

        fn system_time(&self) -> SystemTime {
            SystemTime::UNIX_EPOCH
                + Duration::from_secs(1_000_000)
                + *self.passed.lock().unwrap()
        }
    }

    /// One VM's way to the store, which can be cut.
    struct Door {
        store: Arc<MemoryStore>,
        is_shut: AtomicBool,
        /// Calls after which it shuts by itself, if not negative.
        shuts_after: AtomicI32,
    }

    impl Door {
        fn pass(&self) -> Result<(), StoreError> {
            if self.shuts_after.fetch_sub(1, Ordering::Relaxed) == 0 {
                self.is_shut.store(true, Ordering::Relaxed);
            }
            match self.is_shut.load(Ordering::Relaxed) {
                true => Err(StoreError::NotDone("shut".to_owned())),
                false => Ok(()),
            }
        }
    }

    #[async_trait]
    impl Store for Door {
        async fn get(&self, key: &str) -> Result<Option<Stored>, StoreError> {
            self.pass()?;
            self.store.get(key).await
        }

        async fn wait(
            &self,
            key: &str,
            limit: Duration,
        ) -> Result<Option<Stored>, StoreError> {
            self.pass()?;
            self.store.wait(key, limit).await
        }

        async fn list(
            &self,
            prefix: &str,
            after: &str,
        ) -> Result<Vec<StoredEntry>, StoreError> {
            self.pass()?;
            self.store.list(prefix, after).await
        }

        async fn put(
            &self,
            key: &str,
            value: &str,
            condition: Condition,
        ) -> Result<Written, StoreError> {
            self.pass()?;
            self.store.put(key, value, condition).await
        }

        async fn delete(&self, key: &str) -> Result<(), StoreError> {
            self.pass()?;
            self.store.delete(key).await
        }
    }

    type SharedSlot = Arc<Mutex<Slot<FakePeers>>>;

    /// Whom one VM believes to be gone, and who can be reached.
    struct Links {
        slots: StdMutex<Vec<SharedSlot>>,
        gone: StdMutex<[bool; VMS]>,
        cut: StdMutex<[bool; VMS]>,
    }

    #[derive(Clone)]
    struct FakePeers {
        me: usize,
        links: Arc<Links>,
    }

    fn life(number: usize) -> VmLife {
        VmLife {
            vm: format!("vm-{number}").parse().unwrap(),
            incarnation: Incarnation(1),
        }
    }

    fn number(life: &VmLife) -> usize {
        life.vm.as_str()[3..].parse().unwrap()
    }

    impl SlotPeers for FakePeers {
        async fn is_gone(&self, life: &VmLife) -> bool {
            let other = number(life);
            let gone = self.links.gone.lock().unwrap();
            let cut = self.links.cut.lock().unwrap();
            other != self.me && (gone[other] || cut[other] || cut[self.me])
        }

        fn pick_deputy(&self) -> Option<VmLife> {
            let gone = self.links.gone.lock().unwrap();
            let next = (self.me + 1..self.me + VMS).map(|n| n % VMS);
            next.into_iter().find(|n| !gone[*n]).map(life)
        }

        async fn hold(&self, deputy: &VmLife, request: HoldRequest) -> bool {
            let other = number(deputy);
            let is_cut = {
                let cut = self.links.cut.lock().unwrap();
                cut[other] || cut[self.me]
            };
            if is_cut {
                return false;
            }
            let slot = self.links.slots.lock().unwrap()[other].clone();
            slot.lock().await.hold(request).await
        }
    }

    struct World {
        clock: Arc<SetClock>,
        store: Arc<MemoryStore>,
        doors: Vec<Arc<Door>>,
        links: Arc<Links>,
        slots: Vec<SharedSlot>,
        next_sequence: u64,
        /// Requests that were granted and not given back, by key, with the
        /// time of the grant.
        holders: HashMap<u8, Vec<(ClaimRequest, Duration)>>,
    }

    impl World {
        fn new() -> World {
            let clock = Arc::new(SetClock {
                start: Instant::now(),
                passed: StdMutex::default(),
            });
            let store = Arc::new(MemoryStore::default());
            let links = Arc::new(Links {
                slots: StdMutex::default(),
                gone: StdMutex::default(),
                cut: StdMutex::default(),
            });
            let mut world = World {
                clock,
                store,
                doors: Vec::new(),
                links,
                slots: Vec::new(),
                next_sequence: 1,
                holders: HashMap::new(),
            };
            for me in 0..VMS {
                world.add_vm(me);
            }
            *world.links.slots.lock().unwrap() = world.slots.clone();
            world
        }

        fn add_vm(&mut self, me: usize) {
            let door = Arc::new(Door {
                store: self.store.clone(),
                is_shut: AtomicBool::new(false),
                shuts_after: AtomicI32::new(-1),
            });
            let slot = Slot::new(
                0,
                life(me),
                settings(),
                Duration::from_secs(1_000_000),
                door.clone(),
                self.clock.clone(),
                FakePeers { me, links: self.links.clone() },
            );
            self.doors.push(door);
            self.slots.push(Arc::new(Mutex::new(slot)));
        }

        fn wait(&self, seconds: u64) {
            let mut passed = self.clock.passed.lock().unwrap();
            *passed += Duration::from_secs(seconds);
        }

        fn shut(&self, vm: usize, is_shut: bool) {
            self.doors[vm].is_shut.store(is_shut, Ordering::Relaxed);
        }

        fn set_gone(&self, vm: usize, is_gone: bool) {
            self.links.gone.lock().unwrap()[vm] = is_gone;
        }

        fn request(&mut self, key: u8) -> ClaimRequest {
            let organisation: OrganisationId = "desk".parse().unwrap();
            let sequence = self.next_sequence;
            self.next_sequence += 1;
            ClaimRequest {
                key: ClaimKey::new(&organisation, &key.to_string()),
                body: BodyHash(key.into()),
                request: RequestId {
                    vm: "vm-0".parse().unwrap(),
                    incarnation: Incarnation(1),
                    sequence,
                },
            }
        }

        /// Asks a VM for a claim as a router would; true when granted.
        fn claim(&mut self, vm: usize, key: u8) -> bool {
            let request = self.request(key);
            let slot = self.slots[vm].clone();
            let verdicts = block_on(async {
                slot.lock().await.claim(std::slice::from_ref(&request)).await
            });
            match &verdicts[0] {
                ClaimVerdict::Granted => {
                    let at = *self.clock.passed.lock().unwrap();
                    let holders = self.holders.entry(key).or_default();
                    holders.push((request, at));
                    true
                }
                ClaimVerdict::Unavailable { .. } => {
                    // The router gives such a claim back.
                    self.settle(vm, &request, ClaimOutcome::NotRun);
                    false
                }
                _ => false,
            }
        }

        fn settle(
            &self,
            vm: usize,
            request: &ClaimRequest,
            outcome: ClaimOutcome,
        ) {
            let slot = self.slots[vm].clone();
            block_on(async {
                let mut slot = slot.lock().await;
                if slot.is_owner() {
                    slot.settle(request, outcome);
                }
            });
        }

        fn tick(&self, vm: usize) {
            let slot = self.slots[vm].clone();
            block_on(async { slot.lock().await.tick().await });
        }

        /// No key was granted twice within the time for which a caller may
        /// repeat it, which is what `gap_hold` promises.
        fn assert_single(&self) {
            for (key, holders) in &self.holders {
                let doubled = holders
                    .windows(2)
                    .find(|pair| pair[1].1 - pair[0].1 < GAP_HOLD);
                assert!(doubled.is_none(), "key {key}: {doubled:?}");
            }
        }
    }

    fn settings() -> ClaimSettings {
        ClaimSettings {
            slots: 1,
            commit: Duration::from_millis(1),
            offline_max: OFFLINE_MAX,
            gap_hold: GAP_HOLD,
            retention: Duration::from_secs(1_000_000),
            answer_limit_bytes: 100,
        }
    }

    #[test]
    fn an_owner_goes_on_without_the_store_if_its_deputy_holds() {
        let mut world = World::new();
        assert!(world.claim(0, 1));
        for vm in 0..VMS {
            world.shut(vm, true);
        }
        assert!(world.claim(0, 2));
        assert!(!world.claim(0, 2), "a repeat is not granted");
        assert!(!world.claim(1, 3), "nobody else grants");
        world.links.cut.lock().unwrap()[1] = true;
        assert!(!world.claim(0, 4), "not without the deputy");
        world.links.cut.lock().unwrap()[1] = false;
        assert!(world.claim(0, 5));
        world.wait(OFFLINE_MAX.as_secs());
        assert!(!world.claim(0, 6), "not for ever");
    }

    #[test]
    fn a_deputy_takes_over_what_it_held() {
        let mut world = World::new();
        assert!(world.claim(0, 1));
        world.shut(0, true);
        assert!(world.claim(0, 2));
        world.set_gone(0, true);
        assert!(!world.claim(1, 2), "the deputy knows the key");
        assert!(world.claim(1, 3));
        assert!(!world.claim(0, 4), "the deputy holds no more");
        world.shut(0, false);
        world.set_gone(0, false);
        assert!(!world.claim(0, 3));
        world.assert_single();
    }

    #[test]
    fn a_hall_that_is_lost_is_taken_over_after_the_wait() {
        let mut world = World::new();
        assert!(world.claim(0, 1));
        world.set_gone(0, true);
        world.set_gone(1, true);
        assert!(!world.claim(2, 2), "only announced");
        world.wait(OFFLINE_MAX.as_secs() / 2);
        assert!(!world.claim(2, 2), "too early");
        world.wait(OFFLINE_MAX.as_secs());
        assert!(!world.claim(2, 2), "unknown keys may have run");
        world.wait(GAP_HOLD.as_secs());
        assert!(world.claim(2, 2));
        assert!(!world.claim(2, 1), "known keys stay known");
    }

    #[test]
    fn an_owner_that_lives_objects_to_a_takeover() {
        let mut world = World::new();
        assert!(world.claim(0, 1));
        world.set_gone(0, true);
        world.set_gone(1, true);
        assert!(!world.claim(2, 2));
        world.wait(OFFLINE_MAX.as_secs() / 2);
        // Else it would be named the deputy, which may take over at once.
        world.set_gone(2, true);
        world.tick(0);
        world.set_gone(2, false);
        world.wait(OFFLINE_MAX.as_secs());
        assert!(!world.claim(2, 2), "it must announce anew");
        assert!(world.claim(0, 2));
        world.assert_single();
    }

    #[test]
    fn a_planned_stop_hands_over_at_once() {
        let mut world = World::new();
        assert!(world.claim(0, 1));
        let slot = world.slots[0].clone();
        block_on(async { slot.lock().await.hand_over().await });
        assert!(!world.claim(0, 2));
        assert!(world.claim(1, 2));
        assert!(!world.claim(1, 1));
    }

    #[derive(Clone, Debug)]
    enum Action {
        Claim { vm: usize, key: u8 },
        GiveBack { key: u8 },
        Tick { vm: usize },
        Wait { seconds: u64 },
        Shut { vm: usize, is_shut: bool },
        ShutsAfter { vm: usize, calls: i32 },
        Gone { vm: usize, is_gone: bool },
        Cut { vm: usize, is_cut: bool },
        Fault(Fault),
        HandOver { vm: usize },
    }

    fn action() -> impl Strategy<Value = Action> {
        let fault = prop_oneof![
            Just(Fault::NotDone),
            Just(Fault::LostCall),
            Just(Fault::LostAnswer),
        ];
        prop_oneof![
            12 => (0..VMS, 0..4_u8)
                .prop_map(|(vm, key)| Action::Claim { vm, key }),
            2 => (0..4_u8).prop_map(|key| Action::GiveBack { key }),
            4 => (0..VMS).prop_map(|vm| Action::Tick { vm }),
            2 => (1..80_u64).prop_map(|seconds| Action::Wait { seconds }),
            4 => (0..VMS, any::<bool>())
                .prop_map(|(vm, is_shut)| Action::Shut { vm, is_shut }),
            3 => (0..VMS, 0..4_i32)
                .prop_map(|(vm, calls)| Action::ShutsAfter { vm, calls }),
            3 => (0..VMS, any::<bool>())
                .prop_map(|(vm, is_gone)| Action::Gone { vm, is_gone }),
            2 => (0..VMS, any::<bool>())
                .prop_map(|(vm, is_cut)| Action::Cut { vm, is_cut }),
            3 => fault.prop_map(Action::Fault),
            1 => (0..VMS).prop_map(|vm| Action::HandOver { vm }),
        ]
    }

    fn act(world: &mut World, action: &Action) {
        match action {
            Action::Claim { vm, key } => {
                world.claim(*vm, *key);
            }
            Action::GiveBack { key } => {
                let held = world.holders.get_mut(key).and_then(Vec::pop);
                let Some((request, at)) = held else { return };
                // Only an owner takes it; else the key stays held.
                let taken = (0..VMS).any(|vm| {
                    let slot = world.slots[vm].clone();
                    block_on(async { slot.lock().await.is_owner() })
                });
                if !taken {
                    let holders = world.holders.entry(*key).or_default();
                    holders.push((request, at));
                    return;
                }
                for vm in 0..VMS {
                    world.settle(vm, &request, ClaimOutcome::NotRun);
                }
            }
            Action::Tick { vm } => world.tick(*vm),
            Action::Wait { seconds } => world.wait(*seconds),
            Action::Shut { vm, is_shut } => world.shut(*vm, *is_shut),
            Action::ShutsAfter { vm, calls } => {
                let door = &world.doors[*vm];
                door.shuts_after.store(*calls, Ordering::Relaxed);
            }
            Action::Gone { vm, is_gone } => world.set_gone(*vm, *is_gone),
            Action::Cut { vm, is_cut } => {
                world.links.cut.lock().unwrap()[*vm] = *is_cut;
            }
            Action::Fault(fault) => world.store.plan([*fault]),
            Action::HandOver { vm } => {
                let slot = world.slots[*vm].clone();
                block_on(async { slot.lock().await.hand_over().await });
            }
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 600,
            ..ProptestConfig::default()
        })]

        /// Whatever is cut, lost, believed or waited for, no key is granted
        /// to a second request while a first holds it.
        #[test]
        fn no_key_is_granted_twice(
            actions in prop::collection::vec(action(), 1..120),
        ) {
            let mut world = World::new();
            for action in &actions {
                act(&mut world, action);
                world.assert_single();
            }
        }
    }
}
