//! The project types in service, by name and number, and what becomes of their numbers when they change. Pure.
//!
//! Work holds the number of the project type that it came with, so a type whose terms change gets another number, and
//! a number is given again only when no work holds it any more.

use mintlb_scheduler::{ProjectType, ProjectTypeUpdate};

/// A project type as it is served: clients name it, the core goes by its number.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedProjectType {
    pub name: String,
    pub number: usize,
    pub project_type: ProjectType,
}

pub struct ProjectTypes(Vec<NamedProjectType>);

/// Numbers for each project type at the most: each costs room at every worker.
pub const MAX_NUMBERS_PER_TYPE: usize = 64;

impl ProjectTypes {
    /// In this order, from 0 on.
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

    pub fn active(&self) -> &[NamedProjectType] {
        &self.0
    }

    /// These are served from now on; `is_held` tells whether work holds a number. What is to be told of each, or,
    /// with nothing changed, why not. A new number is the lowest that is free, so that there is no gap below it.
    pub fn update(
        &mut self,
        types: &[(String, ProjectType)],
        is_held: impl Fn(usize) -> bool,
    ) -> Result<Vec<ProjectTypeUpdate>, String> {
        // What a type had learned is copied before its number can go to another, so those served now are not free.
        let is_free = |n: &usize| !is_held(*n) && self.0.iter().all(|named| named.number != *n);
        let mut free = (0..MAX_NUMBERS_PER_TYPE * types.len().max(self.0.len())).filter(is_free);
        let mut changes = Vec::new();
        for (name, project_type) in types {
            let was = self.0.iter().find(|named| named.name == *name);
            let number = match was.filter(|was| was.project_type == *project_type) {
                Some(same) => same.number,
                None => free
                    .next()
                    .ok_or("work still holds the project types of too many changes before")?,
            };
            let predecessor = was.map(|was| was.number);
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
