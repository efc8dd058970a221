//! The platform's rating service: how good was this answer?

use std::time::Duration;

use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::{
    chains::store::split_url,
    http_client::{Call, HttpClient},
    id::{ModelId, OrganisationId, VersionId},
    unit::Share,
};

/// Longest time of one rating.
const RATING_LIMIT: Duration = Duration::from_secs(3);

const ANSWER_LIMIT_BYTES: u64 = 4096;

/// What is to be rated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RatingRequest {
    /// Who asked.
    pub organisation: OrganisationId,
    /// The task.
    pub task: String,
    /// The model that answered.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// What was asked.
    pub prompt: String,
    /// The answer.
    pub answer: String,
}

/// A rating.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Rating {
    /// How good the answer is.
    pub score: Share,
}

/// Asks the service at a URL that the settings checked.
///
/// `None` means that there is no rating, for whatever reason; the caller
/// then goes on without one.
pub(crate) async fn rate(
    client: &HttpClient,
    url: &str,
    request: &RatingRequest,
) -> Option<Share> {
    let (address, path) = split_url(url);
    let body = serde_json::to_vec(request).ok()?;
    let call = Call::new(address, Method::POST, path)
        .header("content-type", "application/json")
        .body(body);
    let answer =
        client.fetch(call, RATING_LIMIT, ANSWER_LIMIT_BYTES).await.ok()?;
    if answer.status != 200 {
        return None;
    }
    let rating: Rating = serde_json::from_slice(&answer.body).ok()?;
    Some(rating.score)
}
