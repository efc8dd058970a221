//! The platform's list of VMs: what it looks like and how it is read.

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

/// Longest time of one read.
const READ_LIMIT: Duration = Duration::from_secs(2);

/// Whether a VM is to be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It works.
    Live,
    /// It will stop soon and must get no new work.
    Leaving,
}

/// What a listed VM is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// An entry VM of this system.
    Entry {
        /// Its name.
        vm: VmId,
    },
    /// A replica of a model.
    Model {
        /// Its name.
        upstream: UpstreamId,
        /// The model.
        model: ModelId,
        /// Requests that it can work on at once.
        slots: u16,
        /// Whether it checks the epoch of orders.
        checks_fence: bool,
    },
    /// A replica of a plain service.
    Service {
        /// Its name.
        upstream: UpstreamId,
        /// The service.
        service: ServiceId,
        /// Requests that it can work on at once.
        slots: u16,
    },
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// What it is for.
    pub role: ListedRole,
    /// Its data hall.
    pub data_hall: DataHallId,
    /// Where it listens: for entry VMs the peer port, else HTTP.
    pub address: SocketAddr,
    /// Whether it is to be given work.
    pub state: ListedState,
}

impl ListedVm {
    /// The upstream that the entry describes, if it is one.
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

/// Reads the list, and only what changed when nothing did.
pub(crate) struct ListReader {
    client: HttpClient,
    address: SocketAddr,
    path: String,
    etag: Option<String>,
}

impl ListReader {
    /// Creates a reader of the list at a URL that the settings checked.
    pub(crate) fn new(url: &str, client: HttpClient) -> ListReader {
        let (address, path) = split_url(url);
        ListReader { client, address, path, etag: None }
    }

    /// Reads the list; `None` means that it did not change.
    pub(crate) async fn read(
        &mut self,
    ) -> Result<Option<Vec<ListedVm>>, String> {
        let mut call = Call::new(self.address, Method::GET, self.path.clone());
        if let Some(etag) = &self.etag {
            call = call.header("if-none-match", etag);
        }
        let answer = self
            .client
            .fetch(call, READ_LIMIT, LIST_LIMIT_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        match answer.status {
            304 => Ok(None),
            200 => {
                let list = serde_json::from_slice(&answer.body)
                    .map_err(|error| error.to_string())?;
                self.etag = answer.header("etag").map(str::to_owned);
                Ok(Some(list))
            }
            status => Err(format!("the list answered {status}")),
        }
    }
}
