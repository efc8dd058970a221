//! Format and client of the platform's list of VMs.

use std::{net::SocketAddr, time::Duration};

use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::{
    chains::store::split_url,
    http_client::{Call, HttpClient},
    id::{DataHallId, ModelId, ServiceId, UpstreamId, VmId},
    placing::upstream::{Serves, UpstreamRecord},
};

const LIST_LIMIT_BYTES: u64 = 4 << 20;

/// Timeout of one read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of a VM according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It is in service.
    Live,
    /// It is about to stop and must get no new work.
    Leaving,
}

/// The role of a listed VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// An entry VM, which runs this program.
    Entry {
        /// The name of the VM.
        vm: VmId,
    },
    /// A replica of a model.
    Model {
        /// The name of the replica.
        upstream: UpstreamId,
        /// The model that it serves.
        model: ModelId,
        /// The number of requests that it can process concurrently.
        slots: u16,
        /// Whether it rejects orders with an outdated epoch.
        checks_fence: bool,
    },
    /// A replica of a plain service.
    Service {
        /// The name of the replica.
        upstream: UpstreamId,
        /// The service that it provides.
        service: ServiceId,
        /// The number of requests that it can process concurrently.
        slots: u16,
    },
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The role of the VM.
    pub role: ListedRole,
    /// The data hall in which the VM runs.
    pub data_hall: DataHallId,
    /// The address on which it listens: the peer port of an entry VM, the
    /// HTTP port of an upstream.
    pub address: SocketAddr,
    /// Whether it is in service or about to stop.
    pub state: ListedState,
}

impl ListedVm {
    /// Returns the record of the upstream, or `None` for an entry VM.
    pub fn upstream(&self) -> Option<UpstreamRecord> {
        let (id, serves, slots, checks_fence) = match &self.role {
            ListedRole::Entry { .. } => return None,
            ListedRole::Model { upstream, model, slots, checks_fence } => {
                let serves = Serves::Model(model.clone());
                (upstream, serves, *slots, *checks_fence)
            }
            ListedRole::Service { upstream, service, slots } => {
                let serves = Serves::Service(service.clone());
                (upstream, serves, *slots, false)
            }
        };
        Some(UpstreamRecord {
            id: id.clone(),
            data_hall: self.data_hall.clone(),
            address: self.address,
            serves,
            slots: slots.max(1),
            checks_fence,
        })
    }
}

/// Reads the list with conditional requests, so that an unchanged list is not
/// transferred again.
pub(crate) struct ListReader {
    client: HttpClient,
    address: SocketAddr,
    path: String,
    etag: Option<String>,
}

impl ListReader {
    /// Creates a reader of the list at `url`, which the settings have
    /// validated.
    pub(crate) fn new(url: &str, client: HttpClient) -> ListReader {
        let (address, path) = split_url(url);
        ListReader { client, address, path, etag: None }
    }

    /// Reads the list. Returns `None` if it has not changed since the last
    /// read.
    pub(crate) async fn read(
        &mut self,
    ) -> Result<Option<Vec<ListedVm>>, String> {
        let mut call = Call::new(self.address, Method::GET, self.path.clone());
        if let Some(etag) = &self.etag {
            call = call.header("if-none-match", etag);
        }
        let response = self
            .client
            .fetch(call, READ_TIMEOUT, LIST_LIMIT_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        match response.status {
            304 => Ok(None),
            200 => {
                let list = serde_json::from_slice(&response.body)
                    .map_err(|error| error.to_string())?;
                self.etag = response.header("etag").map(str::to_owned);
                Ok(Some(list))
            }
            status => Err(format!("unexpected status {status}")),
        }
    }
}
