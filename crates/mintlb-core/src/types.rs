//! The project types in service, by name and number, and what becomes of their numbers when they change. Pure.
//!
//! Work holds the number of the project type that it came with, so a type whose terms change gets another number, and
//! a number is given again only when no work holds it any more.

use mintlb::ProjectType;
use mintlb::decide::Numbered;

/// A project type as it is served: clients name it, the core goes by its number.
#[derive(Clone, Debug, PartialEq)]
pub struct Named {
    pub name: String,
    pub number: usize,
    pub project_type: ProjectType,
}

#[derive(Default)]
pub struct Types {
    served: Vec<Named>,
    /// Numbers that were ever given.
    numbers: usize,
}

/// Numbers at the most: each costs room at every worker.
const MOST: usize = 256;

impl Types {
    /// In this order, from 0 on.
    pub fn new(types: Vec<(String, ProjectType)>) -> Types {
        let numbered = types.into_iter().enumerate();
        let served: Vec<Named> =
            numbered.map(|(number, (name, project_type))| Named { name, number, project_type }).collect();
        Types { numbers: served.len(), served }
    }

    pub fn served(&self) -> &[Named] {
        &self.served
    }

    /// These are served from now on; `is_held` tells whether work holds a number. What is to be told of each, or,
    /// with nothing changed, why not.
    pub fn change(
        &mut self,
        types: &[(String, ProjectType)],
        is_held: impl Fn(usize) -> bool,
    ) -> Result<Vec<Numbered>, String> {
        let of = |name: &str| self.served.iter().find(|named| named.name == name);
        let kept: Vec<Option<&Named>> =
            types.iter().map(|(name, t)| of(name).filter(|named| named.project_type == *t)).collect();
        let is_kept = |number| kept.iter().flatten().any(|named| named.number == number);
        // What a type had learned is copied before its number can go to another, so those served now are not free.
        let is_served = |number| self.served.iter().any(|named| named.number == number);
        let free = (0..self.numbers).filter(|n| !is_kept(*n) && !is_served(*n) && !is_held(*n));
        let mut free = free.chain(self.numbers..MOST);
        let mut changes = Vec::new();
        for ((name, project_type), kept) in types.iter().zip(&kept) {
            let number = match kept {
                Some(named) => named.number,
                None => free.next().ok_or("work still holds the project types of too many changes before")?,
            };
            let continues = of(name).map(|named| named.number);
            changes.push(Numbered { number, continues, project_type: project_type.clone() });
        }
        let numbered = types.iter().zip(&changes);
        self.served = numbered
            .map(|((name, project_type), change)| Named {
                name: name.clone(),
                number: change.number,
                project_type: project_type.clone(),
            })
            .collect();
        let last = self.served.iter().map(|named| named.number + 1).max();
        self.numbers = self.numbers.max(last.unwrap_or(0));
        Ok(changes)
    }
}
