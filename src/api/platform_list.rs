//! Format and client of the platform's list of VMs.

use std::{
    collections::{HashMap, HashSet, hash_map::Entry},
    fmt,
    net::SocketAddr,
    time::Duration,
};

use hyper::Method;
use serde::{
    Deserialize, Deserializer, Serialize,
    de::{SeqAccess, Visitor},
};
use serde_json::value::RawValue;

use crate::{
    chains::store::split_url,
    error::{Error, ErrorKind},
    event::shortened,
    http_client::{Call, HttpClient},
    id::{DataHallId, ModelId, ServiceId, UpstreamId, VmId},
    placing::upstream::{Serves, UpstreamRecord},
};

const LIST_LIMIT_BYTES: u64 = 4 << 20;

/// Timeout of one read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of unreadable entries of a list that are described.
const MAX_DESCRIBED: usize = 20;

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

/// The name of a listed VM, unique among those of its kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ListedName {
    /// An entry VM.
    Vm(VmId),
    /// An upstream.
    Upstream(UpstreamId),
}

impl fmt::Display for ListedName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListedName::Vm(vm) => write!(f, "vm {vm}"),
            ListedName::Upstream(upstream) => write!(f, "upstream {upstream}"),
        }
    }
}

impl ListedVm {
    /// Parses one entry of the list.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] when it cannot be decoded, or when nothing
    /// can listen at its address.
    fn from_json(text: &str) -> Result<ListedVm, Error> {
        let invalid =
            |reason| Error::new(ErrorKind::InvalidInput).context(reason);
        let listed: ListedVm = serde_json::from_str(text)
            .map_err(|error| invalid(error.to_string()))?;
        let (ip, port) = (listed.address.ip(), listed.address.port());
        if port == 0 || ip.is_unspecified() || ip.is_multicast() {
            let address = listed.address;
            return Err(invalid(format!("nothing can listen at {address}")));
        }
        Ok(listed)
    }

    /// Returns its name.
    pub fn name(&self) -> ListedName {
        match &self.role {
            ListedRole::Entry { vm } => ListedName::Vm(vm.clone()),
            ListedRole::Model { upstream, .. }
            | ListedRole::Service { upstream, .. } => {
                ListedName::Upstream(upstream.clone())
            }
        }
    }

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

/// The parts of an entry that tell which VM it is about, of one that cannot be
/// decoded as a whole.
#[derive(Deserialize)]
struct PartialEntry<'a> {
    role: HashMap<String, PartialRole>,
    #[serde(borrow)]
    state: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct PartialRole {
    vm: Option<VmId>,
    upstream: Option<UpstreamId>,
}

impl PartialEntry<'_> {
    fn name(self) -> Option<ListedName> {
        let mut roles = self.role.into_values();
        let (role, None) = (roles.next()?, roles.next()) else {
            return None;
        };
        match role {
            PartialRole { vm: Some(vm), upstream: None } => {
                Some(ListedName::Vm(vm))
            }
            PartialRole { vm: None, upstream: Some(upstream) } => {
                Some(ListedName::Upstream(upstream))
            }
            _ => None,
        }
    }

    fn is_leaving(&self) -> bool {
        self.state.is_some_and(|state| state.get() == "\"leaving\"")
    }
}

/// The description of an entry that cannot be read, of bounded length.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UnreadableEntry {
    /// The name that it states, or the beginning of its text.
    pub entry: String,
    /// Why it cannot be read.
    pub reason: String,
}

/// One version of the list.
///
/// Its entries are decoded one by one, so that an unreadable one affects
/// nothing but the VM that it names.
#[derive(Debug, Default)]
pub struct VmList {
    /// The entries, by name.
    entries: Vec<Vec<ListedVm>>,
    /// Where the entries of a name are in `entries`.
    positions: HashMap<ListedName, usize>,
    /// The names that only unreadable entries state, and whether one of these
    /// says that the VM is leaving.
    unreadable_names: HashMap<ListedName, bool>,
    unreadable: Vec<UnreadableEntry>,
    unreadable_count: usize,
}

impl VmList {
    /// Parses the list.
    ///
    /// # Errors
    ///
    /// A short text when it is not a JSON array.
    pub fn parse(body: &[u8]) -> Result<VmList, String> {
        // Only the entry that has them is affected by bytes that are no text.
        let text = String::from_utf8_lossy(body);
        serde_json::from_str(&text)
            .map_err(|error| shortened(&error.to_string()))
    }

    /// Returns one entry for each name: one that is in service rather than
    /// one that is leaving, then a known one, then the first.
    pub fn entries(
        &self,
        is_known: impl Fn(&ListedVm) -> bool,
    ) -> impl Iterator<Item = &ListedVm> {
        self.entries.iter().filter_map(move |same_name| {
            same_name.iter().min_by_key(|listed| {
                (listed.state == ListedState::Leaving, !is_known(listed))
            })
        })
    }

    /// Returns the names of VMs whose entries are all unreadable, each with
    /// whether the list says that it is leaving.
    pub fn unreadable_names(
        &self,
    ) -> impl Iterator<Item = (&ListedName, bool)> {
        self.unreadable_names.iter().map(|(name, leaving)| (name, *leaving))
    }

    /// Returns the number of entries that cannot be read, and of those that
    /// contradict another one of their name.
    pub fn unreadable_count(&self) -> usize {
        self.unreadable_count
    }

    fn add(&mut self, text: &str) {
        match ListedVm::from_json(text) {
            Ok(listed) => self.add_listed(listed),
            Err(error) => self.add_unreadable(text, &error.to_string()),
        }
    }

    fn add_listed(&mut self, listed: ListedVm) {
        let position = match self.positions.entry(listed.name()) {
            Entry::Vacant(vacant) => {
                vacant.insert(self.entries.len());
                self.entries.push(vec![listed]);
                return;
            }
            Entry::Occupied(occupied) => *occupied.get(),
        };
        let same_name = &mut self.entries[position];
        if same_name.contains(&listed) {
            return;
        }
        let name = listed.name().to_string();
        same_name.push(listed);
        self.describe(&name, "listed twice with different contents");
    }

    fn add_unreadable(&mut self, text: &str, reason: &str) {
        let partial = serde_json::from_str::<PartialEntry<'_>>(text).ok();
        let is_leaving =
            partial.as_ref().is_some_and(PartialEntry::is_leaving);
        let Some(name) = partial.and_then(PartialEntry::name) else {
            self.describe(text, reason);
            return;
        };
        self.describe(&name.to_string(), reason);
        *self.unreadable_names.entry(name).or_default() |= is_leaving;
    }

    fn describe(&mut self, entry: &str, reason: &str) {
        self.unreadable_count += 1;
        if self.unreadable.len() >= MAX_DESCRIBED {
            return;
        }
        let described = UnreadableEntry {
            entry: shortened(entry),
            reason: shortened(reason),
        };
        if !self.unreadable.contains(&described) {
            self.unreadable.push(described);
        }
    }
}

impl<'de> Deserialize<'de> for VmList {
    fn deserialize<D>(deserializer: D) -> Result<VmList, D::Error>
    where
        D: Deserializer<'de>,
    {
        struct ListVisitor;

        impl<'de> Visitor<'de> for ListVisitor {
            type Value = VmList;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a list of VMs")
            }

            fn visit_seq<A>(self, mut seq: A) -> Result<VmList, A::Error>
            where
                A: SeqAccess<'de>,
            {
                let mut list = VmList::default();
                while let Some(raw) = seq.next_element::<&RawValue>()? {
                    list.add(raw.get());
                }
                let VmList { positions, unreadable_names, .. } = &mut list;
                unreadable_names
                    .retain(|name, _| !positions.contains_key(name));
                Ok(list)
            }
        }

        deserializer.deserialize_seq(ListVisitor)
    }
}

/// Which unreadable entries of the list have been reported.
#[derive(Debug, Default)]
pub(crate) struct ReportedEntries {
    described: HashSet<UnreadableEntry>,
    count: usize,
}

/// The unreadable entries of a list that the one before did not have.
#[derive(Debug)]
pub(crate) struct NewlyUnreadable<'a> {
    /// The descriptions, at most [`MAX_DESCRIBED`].
    pub(crate) entries: Vec<&'a UnreadableEntry>,
    /// The number of entries, those without a description included.
    pub(crate) count: usize,
}

impl ReportedEntries {
    /// Returns the unreadable entries of `list` that the last list did not
    /// have, and remembers them.
    pub(crate) fn newly_unreadable<'a>(
        &mut self,
        list: &'a VmList,
    ) -> NewlyUnreadable<'a> {
        let is_new = |one: &&UnreadableEntry| !self.described.contains(*one);
        let entries: Vec<_> = list.unreadable.iter().filter(is_new).collect();
        let more = list.unreadable_count.saturating_sub(self.count);
        let count = more.max(entries.len());
        self.described = list.unreadable.iter().cloned().collect();
        self.count = list.unreadable_count;
        NewlyUnreadable { entries, count }
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
    pub(crate) async fn read(&mut self) -> Result<Option<VmList>, String> {
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
                let list = VmList::parse(&response.body)?;
                self.etag = response.header("etag").map(str::to_owned);
                Ok(Some(list))
            }
            status => Err(format!("unexpected status {status}")),
        }
    }
}

#[cfg(test)]
mod tests;
