//! The active project types with their names and numbers, and the assignment of numbers when they change. No I/O.
//!
//! A work unit keeps the number of the project type that it arrived with. A project type whose terms change therefore
//! gets a new number, and a number is reused only when no work unit refers to it any more.
//!
//! Changes are never held up by work units of earlier ones: there are as many numbers as it takes. As each takes memory at
//! every worker, work units give up the numbers of former project types once there are many ([`ProjectTypes::successors`]).

use mintlb_scheduler::{ProjectType, ProjectTypeUpdate};
use rustc_hash::{FxHashMap, FxHashSet};

/// A project type with its number: clients refer to it by name, the core by number.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedProjectType {
    /// Unique among the active project types.
    pub name: String,
    /// Unique among the active project types and those that work units still refer to.
    pub number: usize,
    /// Its terms.
    pub project_type: ProjectType,
}

/// The table of project types.
pub struct ProjectTypes {
    active: Vec<NamedProjectType>,
    /// Former project types that work units still referred to at the last change.
    former: Vec<NamedProjectType>,
}

/// The numbers in use per active project type beyond which work units give up those of former ones.
pub const MAX_NUMBERS_PER_TYPE: usize = 64;

impl ProjectTypes {
    /// Numbers the project types in this order, from 0.
    pub fn new(types: Vec<(String, ProjectType)>) -> ProjectTypes {
        let numbered = types.into_iter().enumerate();
        ProjectTypes {
            active: numbered
                .map(|(number, (name, project_type))| NamedProjectType {
                    name,
                    number,
                    project_type,
                })
                .collect(),
            former: Vec::new(),
        }
    }

    /// The active project types, in the order of the configuration.
    pub fn active(&self) -> &[NamedProjectType] {
        &self.active
    }

    /// Replaces the active project types; `in_use` are the numbers that work units still refer to. Returns the
    /// number of each project type for the scheduler. A new number is the lowest free one, so that no gaps remain.
    pub fn update(
        &mut self,
        types: &[(String, ProjectType)],
        in_use: &FxHashSet<usize>,
    ) -> Vec<ProjectTypeUpdate> {
        // The scheduler copies what it has learned under the old number to the new one, so that the numbers of active
        // project types are not free yet.
        let is_free = |n: &usize| !in_use.contains(n) && self.active.iter().all(|t| t.number != *n);
        let mut free = (0..).filter(is_free);
        let mut changes = Vec::new();
        for (name, project_type) in types {
            let previous = self.active.iter().find(|named| named.name == *name);
            let number = match previous.filter(|previous| previous.project_type == *project_type) {
                Some(unchanged) => unchanged.number,
                // There is no end of numbers.
                None => free.next().unwrap_or_default(),
            };
            let predecessor = previous.map(|previous| previous.number);
            changes.push(ProjectTypeUpdate {
                number,
                predecessor,
                project_type: project_type.clone(),
            });
        }
        let named = types
            .iter()
            .zip(&changes)
            .map(|((name, project_type), change)| NamedProjectType {
                name: name.clone(),
                number: change.number,
                project_type: project_type.clone(),
            });
        let replaced = std::mem::replace(&mut self.active, named.collect());
        self.former.extend(replaced);
        self.forget_unused(in_use);
        changes
    }

    /// Drops the former project types that no work unit refers to.
    fn forget_unused(&mut self, in_use: &FxHashSet<usize>) {
        let active = &self.active;
        self.former.retain(|former| {
            in_use.contains(&former.number)
                && active.iter().all(|named| named.number != former.number)
        });
    }

    /// The numbers that work units of former project types are to take instead of theirs; none while there are few numbers.
    ///
    /// That is the number of the active project type of the same name or, if there is none, of another one. Both have the
    /// same kind of worker and the same idempotency, so that a work unit may go nowhere and be repeated nowhere where it
    /// might not before. A former project type without such a successor keeps its number.
    pub fn successors(&self) -> FxHashMap<usize, usize> {
        let limit = MAX_NUMBERS_PER_TYPE * self.active.len().max(1);
        if self.active.len() + self.former.len() <= limit {
            return FxHashMap::default();
        }
        let successors = self.former.iter().filter_map(|former| {
            let successor = self.successor(former)?;
            Some((former.number, successor.number))
        });
        successors.collect()
    }

    fn successor(&self, former: &NamedProjectType) -> Option<&NamedProjectType> {
        let is_alike = |named: &&NamedProjectType| {
            let (new, old) = (&named.project_type, &former.project_type);
            new.machine_kind == old.machine_kind && new.idempotency == old.idempotency
        };
        let mut alike = self.active.iter().filter(is_alike);
        let other = alike.clone().next();
        alike.find(|named| named.name == former.name).or(other)
    }
}
