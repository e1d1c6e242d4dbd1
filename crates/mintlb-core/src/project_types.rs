//! The active project types with their names and numbers, and the assignment of numbers when they change. No I/O.
//!
//! A work unit keeps the number of the project type that it arrived with. A project type whose terms change therefore
//! gets a new number, and a number is reused only when no work unit refers to it any more.

use mintlb_scheduler::{ProjectType, ProjectTypeUpdate};

/// An active project type: clients refer to it by name, the core by number.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedProjectType {
    pub name: String,
    /// Unique among the active project types and those that work units still refer to.
    pub number: usize,
    pub project_type: ProjectType,
}

/// The table of active project types.
pub struct ProjectTypes(Vec<NamedProjectType>);

/// Limit on the numbers per project type, as each number takes memory at every worker.
pub const MAX_NUMBERS_PER_TYPE: usize = 64;

impl ProjectTypes {
    /// Numbers the project types in this order, from 0.
    pub fn new(types: Vec<(String, ProjectType)>) -> ProjectTypes {
        let numbered = types.into_iter().enumerate();
        ProjectTypes(
            numbered
                .map(|(number, (name, project_type))| NamedProjectType {
                    name,
                    number,
                    project_type,
                })
                .collect(),
        )
    }

    /// The active project types, in the order of the configuration.
    pub fn active(&self) -> &[NamedProjectType] {
        &self.0
    }

    /// Replaces the active project types; `is_in_use` tells whether a work unit still refers to a number. Returns the
    /// number of each project type for the scheduler. A new number is the lowest free one, so that no gaps remain.
    ///
    /// # Errors
    /// If no number is free. Nothing has changed then.
    pub fn update(
        &mut self,
        types: &[(String, ProjectType)],
        is_in_use: impl Fn(usize) -> bool,
    ) -> Result<Vec<ProjectTypeUpdate>, String> {
        // The scheduler copies what it has learned under the old number to the new one, so that the numbers of active
        // project types are not free yet.
        let is_free = |n: &usize| !is_in_use(*n) && self.0.iter().all(|named| named.number != *n);
        let mut free = (0..MAX_NUMBERS_PER_TYPE * types.len().max(self.0.len())).filter(is_free);
        let mut changes = Vec::new();
        for (name, project_type) in types {
            let previous = self.0.iter().find(|named| named.name == *name);
            let number = match previous.filter(|previous| previous.project_type == *project_type) {
                Some(unchanged) => unchanged.number,
                None => free
                    .next()
                    .ok_or("no project type number is free: work units of earlier configurations still use them")?,
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
        self.0 = named.collect();
        Ok(changes)
    }
}
