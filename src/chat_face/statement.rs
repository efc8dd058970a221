//! What upstreams of the own interface say of themselves in their answers.

use hyper::HeaderMap;

use crate::{
    chat_face::{
        dispatch::{Chosen, STATUS_NOT_LOADED, STATUS_UNAVAILABLE},
        gossip::{Gossiper, log_leaving},
        request::Core,
    },
    message::{Notice, ShortHash, ToldLimit},
    placing::statement::{OwnNews, RateLimit, Rest, Statement},
    task,
    unit::RequestRate,
};

/// The header by which an upstream says that it is leaving, with the value 1.
const LEAVING: &str = "lupinseam-leaving";

/// The header by which an upstream names the requests that it takes in a
/// second from all VMs together, a decimal number.
const RATE_LIMIT: &str = "lupinseam-rate-limit";

impl Core {
    /// Takes in what an upstream says of itself in an answer.
    pub(super) fn apply_upstream_statement(
        &self,
        chosen: &Chosen,
        status: u16,
        headers: &HeaderMap,
    ) {
        let upstream = &chosen.upstream;
        let statement = read_statement(status, headers);
        let (draw, now) = (rand::random(), self.vm.clock.now());
        let word = &upstream.own_word;
        for news in word.take(&statement, draw, chosen.chosen_at, now) {
            match &news {
                OwnNews::Leaving => log_leaving(upstream, "by its own answer"),
                other => {
                    let id = &upstream.record.id;
                    other.event().log(format_args!("upstream {id}"));
                }
            }
            let Some(notice) = notice_of(&news, upstream.short) else {
                continue;
            };
            let vm = self.vm.clone();
            task::spawn(async move {
                Gossiper::broadcast_notice(&vm, notice).await
            })
            .detach();
        }
    }
}

/// Reads what an upstream says of itself in the head of an answer.
fn read_statement(status: u16, headers: &HeaderMap) -> Statement {
    let ran = ![STATUS_UNAVAILABLE, STATUS_NOT_LOADED].contains(&status);
    Statement {
        is_leaving: headers.get(LEAVING).is_some_and(|v| v == "1"),
        rest: Rest::read(status, headers),
        rate_limit: RateLimit::read(headers.get_all(RATE_LIMIT), ran),
        load: None,
    }
}

/// What the other VMs of the data hall are to know at once.
fn notice_of(news: &OwnNews, upstream: ShortHash) -> Option<Notice> {
    let limit = |rate: Option<RequestRate>| {
        Notice::RateLimit(ToldLimit { upstream, rate, age_ms: 0 })
    };
    match news {
        OwnNews::Leaving => Some(Notice::Leaving(upstream)),
        OwnNews::Limited(rate) => Some(limit(Some(*rate))),
        OwnNews::Unlimited => Some(limit(None)),
        _ => None,
    }
}
