//! Client of the platform's rating service, which scores answers.

use std::time::Duration;

use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::{
    chains::store::split_url,
    http_client::{Call, HttpClient},
    id::{ModelId, OrganisationId, VersionId},
    unit::Share,
};

/// Timeout of one rating.
const RATING_TIMEOUT: Duration = Duration::from_secs(3);

const RESPONSE_LIMIT_BYTES: u64 = 4096;

/// A request to rate an answer, sent as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RatingRequest {
    /// The organisation whose request was answered.
    pub organisation: OrganisationId,
    /// The name of the task, by which evidence is grouped.
    pub task: String,
    /// The model that answered.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// The text of the prompt's last message.
    pub prompt: String,
    /// The text of the answer.
    pub answer: String,
}

/// The reply of the rating service.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Rating {
    /// The quality of the answer, from 0 to 1.
    pub score: Share,
}

/// Requests a rating from the service at `url`, which the settings have
/// validated.
///
/// Returns `None` on any failure; the caller then continues without a rating.
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
    let response =
        client.fetch(call, RATING_TIMEOUT, RESPONSE_LIMIT_BYTES).await.ok()?;
    if response.status != 200 {
        return None;
    }
    let rating: Rating = serde_json::from_slice(&response.body).ok()?;
    Some(rating.score)
}
