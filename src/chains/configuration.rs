//! The configuration: templates and versions, as a chain of changes.
//!
//! A [`Configuration`] is the immutable state at one revision; the next state
//! results only from applying the next change. [`ConfigurationCell`] contains
//! the configuration in force at this VM, whose revision never decreases.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    api::template::{Template, VersionEntry},
    clock::BootInstant,
    error::{Error, ErrorKind},
    id::{ModelId, OrganisationId, Revision, VersionId, VmId},
    secret::KeyHash,
};

/// What a change does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Adds or replaces an organisation's template.
    PutTemplate(Box<Template>),
    /// Removes an organisation's template.
    RemoveTemplate(OrganisationId),
    /// Adds or replaces a version.
    PutVersion(VersionEntry),
}

/// A change as stored in the chain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that results from the change.
    pub revision: Revision,
    /// The VM that stored the change.
    pub vm: VmId,
    /// When it was stored, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The reason that the operator gave.
    pub reason: String,
    /// The edit.
    pub edit: Edit,
}

/// A part of the configuration and the revision that last changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The revision that last changed it.
    pub revision: Revision,
    /// The template or version.
    pub value: T,
}

/// The condition on which an edit is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// No condition.
    Any,
    /// The template or version does not exist.
    Absent,
    /// The template or version was last changed at this revision.
    At(Revision),
}

/// All templates and versions at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    revision: Revision,
    templates: BTreeMap<OrganisationId, Versioned<Arc<Template>>>,
    versions: BTreeMap<ModelId, BTreeMap<VersionId, Versioned<VersionEntry>>>,
    #[serde(skip)]
    organisations_by_key: HashMap<KeyHash, OrganisationId>,
}

impl Configuration {
    /// Parses a configuration from JSON.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] if it can't be parsed.
    pub fn from_json(text: &str) -> Result<Configuration, Error> {
        let mut configuration: Configuration = serde_json::from_str(text)
            .map_err(|error| {
                Error::new(ErrorKind::InvalidInput)
                    .context(error.to_string())
                    .context("reading a configuration snapshot")
            })?;
        configuration.index_keys();
        Ok(configuration)
    }

    /// Returns the revision; 0 if no change was applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the templates of all organisations.
    pub fn templates(
        &self,
    ) -> impl Iterator<Item = &Versioned<Arc<Template>>> {
        self.templates.values()
    }

    /// Returns the template of an organisation.
    pub fn template(
        &self,
        organisation: &OrganisationId,
    ) -> Option<&Versioned<Arc<Template>>> {
        self.templates.get(organisation)
    }

    /// Returns the template of the organisation that a bearer key belongs to.
    pub fn template_by_key(&self, hash: &KeyHash) -> Option<&Arc<Template>> {
        let organisation = self.organisations_by_key.get(hash)?;
        self.templates.get(organisation).map(|part| &part.value)
    }

    /// Returns all versions of all models.
    pub fn all_versions(
        &self,
    ) -> impl Iterator<Item = &Versioned<VersionEntry>> {
        self.versions.values().flat_map(BTreeMap::values)
    }

    /// Returns the versions of a model; none if the model is unknown.
    pub fn versions(
        &self,
        model: &ModelId,
    ) -> impl Iterator<Item = &VersionEntry> {
        let versions = self.versions.get(model);
        versions.into_iter().flatten().map(|(_, part)| &part.value)
    }

    /// Returns a version of a model.
    pub fn version(
        &self,
        model: &ModelId,
        version: &VersionId,
    ) -> Option<&Versioned<VersionEntry>> {
        self.versions.get(model)?.get(version)
    }

    /// Returns whether a model has any version.
    pub fn has_model(&self, model: &ModelId) -> bool {
        self.versions.contains_key(model)
    }

    /// Checks an edit against this configuration.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::EditConflict`] if `expected` does not hold, with both
    /// revisions in the message, and [`ErrorKind::InvalidInput`] or
    /// [`ErrorKind::NotFound`] if the edit is invalid.
    pub fn check(&self, edit: &Edit, expected: Expected) -> Result<(), Error> {
        let current = self.part_revision(edit);
        check_expected(current, expected)?;
        match edit {
            Edit::PutTemplate(template) => self.check_keys(template),
            Edit::RemoveTemplate(organisation) if current.is_none() => {
                Err(Error::new(ErrorKind::NotFound)
                    .context(format!("no template of `{organisation}`")))
            }
            Edit::RemoveTemplate(_) | Edit::PutVersion(_) => Ok(()),
        }
    }

    /// Returns the state after the next change.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] if the change is not the next one.
    pub fn apply(&self, change: &Change) -> Result<Configuration, Error> {
        if change.revision != self.revision.next() {
            return Err(Error::new(ErrorKind::Internal).context(format!(
                "change {} does not follow revision {}",
                change.revision, self.revision
            )));
        }
        let mut next = self.clone();
        next.revision = change.revision;
        match &change.edit {
            Edit::PutTemplate(template) => {
                let key = template.organisation.clone();
                let value = Arc::new(Template::clone(template));
                next.templates.insert(key, part(change.revision, value));
            }
            Edit::RemoveTemplate(organisation) => {
                next.templates.remove(organisation);
            }
            Edit::PutVersion(entry) => {
                let versions =
                    next.versions.entry(entry.model.clone()).or_default();
                let value = part(change.revision, entry.clone());
                versions.insert(entry.version.clone(), value);
            }
        }
        next.index_keys();
        Ok(next)
    }

    fn part_revision(&self, edit: &Edit) -> Option<Revision> {
        match edit {
            Edit::PutTemplate(template) => {
                let part = self.templates.get(&template.organisation)?;
                Some(part.revision)
            }
            Edit::RemoveTemplate(organisation) => {
                Some(self.templates.get(organisation)?.revision)
            }
            Edit::PutVersion(entry) => {
                let part = self.version(&entry.model, &entry.version)?;
                Some(part.revision)
            }
        }
    }

    fn check_keys(&self, template: &Template) -> Result<(), Error> {
        template.validate()?;
        for hash in &template.key_hashes {
            match self.organisations_by_key.get(hash) {
                Some(other) if *other != template.organisation => {
                    return Err(Error::new(ErrorKind::InvalidInput).context(
                        format!("a key is already held by `{other}`"),
                    ));
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn index_keys(&mut self) {
        let pairs = self.templates.values().flat_map(|part| {
            let template = &part.value;
            let hashes = template.key_hashes.iter();
            hashes.map(|hash| (*hash, template.organisation.clone()))
        });
        self.organisations_by_key = pairs.collect();
    }
}

fn part<T>(revision: Revision, value: T) -> Versioned<T> {
    Versioned { revision, value }
}

fn check_expected(
    current: Option<Revision>,
    expected: Expected,
) -> Result<(), Error> {
    let holds = match expected {
        Expected::Any => true,
        Expected::Absent => current.is_none(),
        Expected::At(revision) => current == Some(revision),
    };
    if holds {
        return Ok(());
    }
    let latest =
        current.map_or("none".to_owned(), |revision| revision.to_string());
    let given = match expected {
        Expected::At(revision) => revision.to_string(),
        Expected::Any | Expected::Absent => "none".to_owned(),
    };
    Err(Error::new(ErrorKind::EditConflict).context(format!(
        "your edit is of revision {given}, the current revision is {latest}"
    )))
}

/// The configuration in force at this VM, and when it was last proven to be
/// current.
pub struct ConfigurationCell {
    current: RwLock<Arc<Configuration>>,
    proven_at: Mutex<Option<BootInstant>>,
}

impl ConfigurationCell {
    /// Creates a cell with the empty configuration and no proof of freshness.
    pub fn new() -> ConfigurationCell {
        ConfigurationCell {
            current: RwLock::default(),
            proven_at: Mutex::new(None),
        }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Configuration> {
        self.current.read().expect("configuration lock").clone()
    }

    /// Puts a configuration in force if its revision is higher than the
    /// current one.
    ///
    /// Returns whether it did.
    pub fn install(&self, next: Configuration) -> bool {
        let mut current = self.current.write().expect("configuration lock");
        if next.revision() <= current.revision() {
            return false;
        }
        *current = Arc::new(next);
        true
    }

    /// Applies the changes that follow the configuration in force. Returns
    /// whether the revision has increased.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] if there is a gap before one of them.
    pub fn apply_all(&self, changes: &[Change]) -> Result<bool, Error> {
        let mut next = Configuration::clone(&self.current());
        for change in changes {
            if change.revision > next.revision() {
                next = next.apply(change)?;
            }
        }
        Ok(self.install(next))
    }

    /// Records a proof of freshness: the configuration in force was current at
    /// `when`.
    pub fn record_proof(&self, when: BootInstant) {
        let mut proven_at = self.proven_at.lock().expect("proof lock");
        *proven_at = (*proven_at).max(Some(when));
    }

    /// Returns the age of the last proof of freshness, or `None` if there was
    /// none.
    pub fn proof_age(&self, now: BootInstant) -> Option<Duration> {
        let proven_at = *self.proven_at.lock().expect("proof lock");
        proven_at.map(|at| now.saturating_duration_since(at))
    }
}

impl Default for ConfigurationCell {
    fn default() -> ConfigurationCell {
        ConfigurationCell::new()
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::api::template::VersionState;
    use crate::unit::{MicroCost, Share};

    fn template(name: &str, key: &str) -> Edit {
        let text = format!(
            r#"{{"organisation":"{name}","key_hashes":["{}"]}}"#,
            KeyHash::of(key)
        );
        let template = Template::from_json(text.as_bytes()).unwrap();
        Edit::PutTemplate(Box::new(template))
    }

    fn version(state: VersionState) -> Edit {
        Edit::PutVersion(VersionEntry {
            model: "m".parse().unwrap(),
            version: "v1".parse().unwrap(),
            state,
            input_price_micro_per_1k: MicroCost(1),
            output_price_micro_per_1k: MicroCost(2),
            prior_quality: Share::ONE,
        })
    }

    fn change(revision: u64, edit: Edit) -> Change {
        Change {
            revision: Revision(revision),
            vm: "vm-1".parse().unwrap(),
            at_unix_ms: 0,
            reason: String::new(),
            edit,
        }
    }

    #[test]
    fn an_edit_conflict_names_both_revisions() {
        let first = change(1, template("desk", "k"));
        let state = Configuration::default().apply(&first).unwrap();
        let edit = template("desk", "k2");
        assert!(state.check(&edit, Expected::At(Revision(1))).is_ok());
        let error = state.check(&edit, Expected::Absent).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::EditConflict);
        let error = state.check(&edit, Expected::At(Revision(7))).unwrap_err();
        assert!(error.to_string().contains("revision 7"));
        assert!(error.to_string().contains("current revision is 1"));
    }

    #[test]
    fn a_key_belongs_to_one_organisation() {
        let first = change(1, template("desk", "k"));
        let state = Configuration::default().apply(&first).unwrap();
        let stolen = template("other", "k");
        assert!(state.check(&stolen, Expected::Any).is_err());
        assert!(state.template_by_key(&KeyHash::of("k")).is_some());
        assert!(state.template_by_key(&KeyHash::of("x")).is_none());
    }

    proptest! {
        /// The revision in force never decreases, in whichever order and
        /// however often batches of changes arrive.
        #[test]
        fn revisions_never_decrease(
            batches in prop::collection::vec((0..12_u64, 1..12_u64), 1..30),
        ) {
            let chain: Vec<Change> = (1..=12)
                .map(|n| change(n, version(VersionState::Serving)))
                .collect();
            let cell = ConfigurationCell::new();
            let mut highest = Revision(0);
            for (from, len) in batches {
                let from = from as usize;
                let to = (from + len as usize).min(chain.len());
                let _ = cell.apply_all(&chain[from..to]);
                let revision = cell.current().revision();
                prop_assert!(revision >= highest);
                highest = revision;
            }
        }
    }
}
