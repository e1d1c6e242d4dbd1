//! Checks of what proposals and reads report.

use mintlb_register::message::AcceptedValue;
use mintlb_register::state::ControlState;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The chosen values reported so far. Each revision has one value, and no operation returns a value older than one that
/// was acknowledged before it began.
pub struct Checker {
    chosen: BTreeMap<u64, Arc<ControlState>>,
    newest: AcceptedValue,
    /// The highest revision reported.
    acknowledged: u64,
    /// Versions acknowledged, by the version that they replace.
    versions_by_base: BTreeMap<u64, u64>,
}

impl Checker {
    /// A checker that knows the first value.
    pub fn new(first: AcceptedValue) -> Checker {
        let revision = first.state.revision;
        Checker {
            chosen: BTreeMap::from([(revision, first.state.clone())]),
            newest: first,
            acknowledged: revision,
            versions_by_base: BTreeMap::new(),
        }
    }

    /// The newest value known to be chosen.
    pub fn newest(&self) -> &AcceptedValue {
        &self.newest
    }

    /// The highest revision reported: the floor of operations that begin now.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// The newest value reported with this revision or a lower one.
    pub fn chosen_up_to(&self, revision: u64) -> Option<&ControlState> {
        let (_, state) = self.chosen.range(..=revision).next_back()?;
        Some(state)
    }

    /// Records a value that an operation which began at this floor reports as chosen.
    ///
    /// # Errors
    /// The invariant that it violates.
    pub fn record_chosen(&mut self, chosen: &AcceptedValue, floor: u64) -> Result<(), String> {
        let revision = chosen.state.revision;
        let known = self
            .chosen
            .entry(revision)
            .or_insert_with(|| chosen.state.clone());
        let is_other_value = *known != chosen.state;
        let is_newer = chosen.ballot > self.newest.ballot;
        let goes_back = is_newer && revision < self.newest.state.revision;
        if is_newer {
            self.newest = chosen.clone();
        }
        self.acknowledged = self.acknowledged.max(revision);
        if revision < floor {
            return Err(format!(
                "revision {revision} was read after {floor} had been acknowledged"
            ));
        }
        if is_other_value {
            return Err(format!("two values have revision {revision}"));
        }
        if goes_back {
            return Err(format!("revision {revision} is above a newer one"));
        }
        Ok(())
    }

    /// Records a configuration that was acknowledged as applied.
    ///
    /// # Errors
    /// If another configuration was acknowledged on the same base.
    pub fn record_applied(&mut self, base: u64, version: u64) -> Result<(), String> {
        match self.versions_by_base.insert(base, version) {
            Some(other) if other != version => Err(format!(
                "{other} and {version} were both acknowledged on {base}"
            )),
            _ => Ok(()),
        }
    }
}
