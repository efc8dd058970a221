//! Asks the owners of limited and cold upstreams for permits, for requests
//! that find this VM's own share of the limits used up.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    clock::BootInstant,
    error::Error,
    gateway::{
        forward::{Attempt, Job, MIN_TIME_LEFT, NoAttempt},
        trace::Trace,
    },
    message::{PeerReply, PeerRequest, ShortHash},
    placing::{
        member::Member,
        permit_lenders::{MAX_ASKED, NO_REPLY_WAIT, REPLY_TIMEOUT},
    },
    rollouts::choice::VersionChoice,
};

/// An upstream for which another VM has lent a permit.
struct PermittedUpstream {
    member: Arc<Member>,
    version: VersionChoice,
    /// The VM that has lent it.
    lender: SocketAddr,
}

impl Job {
    /// Begins an attempt at an upstream that this VM may send a request to, or
    /// at one for which another VM lends a permit.
    pub(crate) async fn begin_own_or_permitted(
        &mut self,
        trace: &mut Trace,
    ) -> Result<Attempt, Error> {
        let now = self.gateway.clock.now();
        let error = match self.try_begin_attempt(trace, now) {
            Ok(attempt) => return Ok(attempt),
            Err(NoAttempt::Rejected(error)) => return Err(error),
            Err(NoAttempt::NoUpstream(error)) => error,
        };
        let Some(permitted) = self.borrow_permit().await else {
            return Err(self.pick_error(error));
        };
        let PermittedUpstream { member, version, lender } = permitted;
        self.check_time_to_send()?;
        self.check_not_quarantined()?;
        let now = self.gateway.clock.now();
        let attempt =
            self.begin_attempt_at(member, &version, None, trace, now);
        trace.record_lender(lender);
        Ok(attempt)
    }

    async fn borrow_permit(&self) -> Option<PermittedUpstream> {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let upstreams = {
            let version = self.version_choice(now);
            let criteria = self.pick_criteria(&version, &self.tried);
            gateway.pool.permit_candidates(&self.service, &criteria, now)
        };
        let owners = gateway.pool.permit_owners(&upstreams, now);
        let mut asked = 0;
        while asked < MAX_ASKED {
            let now = gateway.clock.now();
            let lenders = &gateway.permit_lenders;
            let vm = lenders.choose(&self.service, &owners, now)?;
            let left = self.time_left(now).checked_sub(MIN_TIME_LEFT)?;
            let reply = match gateway.peers.live_address(vm, now) {
                Some(address) => {
                    asked += 1;
                    self.ask_for_permit(address, &upstreams, left).await
                }
                None => Reply::None(NO_REPLY_WAIT),
            };
            let now = gateway.clock.now();
            match reply {
                Reply::Lent(upstream, lender) => {
                    return self.pick_permitted(upstream, lender, now);
                }
                Reply::None(wait) => {
                    lenders.record_wait(&self.service, vm, wait, now);
                }
            }
        }
        None
    }

    async fn ask_for_permit(
        &self,
        address: SocketAddr,
        upstreams: &[ShortHash],
        left: Duration,
    ) -> Reply {
        let gateway = &self.gateway;
        let upstreams = upstreams.to_vec();
        let request = PeerRequest::BorrowPermit { upstreams };
        let limit = REPLY_TIMEOUT.min(left);
        let client = &gateway.peers.client;
        let reply = client.call_while_running(address, request, limit, limit);
        let (outcome, reply) = match reply.await {
            Ok(PeerReply::PermitLent(upstream)) => {
                ("lent", Reply::Lent(upstream, address))
            }
            Ok(PeerReply::NoPermit { wait_ms }) => {
                let wait = Duration::from_millis(wait_ms.into());
                ("none", Reply::None(wait))
            }
            Ok(_) | Err(_) => ("no_reply", Reply::None(NO_REPLY_WAIT)),
        };
        gateway.metrics.permits.with_label_values(&[outcome]).inc();
        reply
    }

    fn pick_permitted(
        &self,
        upstream: ShortHash,
        lender: SocketAddr,
        now: BootInstant,
    ) -> Option<PermittedUpstream> {
        let version = self.version_choice(now);
        let member = {
            let criteria = self.pick_criteria(&version, &self.tried);
            let pool = &self.gateway.pool;
            pool.pick_permitted(&self.service, upstream, &criteria, now)?
        };
        Some(PermittedUpstream { member, version, lender })
    }
}

/// The reply of an owner.
enum Reply {
    /// It lends a permit for this upstream; its address.
    Lent(ShortHash, SocketAddr),
    /// It has no permit to lend for this time.
    None(Duration),
}
