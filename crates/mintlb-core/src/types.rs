//! The project types in service, by name and number.

use mintlb::ProjectType;

/// A project type as it is served: clients name it, the core goes by its number.
#[derive(Clone, Debug)]
pub struct Named {
    pub name: String,
    pub number: usize,
    pub project_type: ProjectType,
}
