//! A new configuration while a scheduler serves: whether it is taken, and what of it has to wait. Pure.

use crate::join::Plans;
use crate::operator::Operator;
use crate::placement::Placement;
use crate::serve::Plan;
use mintlb_core::project_types::NamedProjectType;
use mintlb_scheduler::ProjectType;
use mintlb_scheduler::settings::ReloadableSettings;
use std::time::Duration;

/// Of a plan what can hold while a scheduler serves, and what must be the same until the next start.
pub struct Change {
    pub placement: Placement,
    pub operator: Operator,
    pub types: Vec<(String, ProjectType)>,
    pub terms: ReloadableSettings,
    pub last_answer: Duration,
    pub plans: Plans,
}

impl From<Plan> for Change {
    fn from(plan: Plan) -> Change {
        let Plan {
            placement,
            operator,
            types,
            terms,
            grants,
            plans,
            ..
        } = plan;
        Change {
            placement,
            operator,
            types,
            terms,
            last_answer: grants.last_answer,
            plans,
        }
    }
}

impl Change {
    /// Why it can't be taken by a scheduler that goes by these, if it can't.
    pub fn fault(
        &self,
        placement: &Placement,
        operator: &Operator,
        served: &[NamedProjectType],
    ) -> Option<String> {
        if let Some(key) = placement.lost(&self.placement) {
            return Some(format!("{key} is missing"));
        }
        // Its tubes and workers go by the types' numbers.
        let same = served
            .iter()
            .map(|n| (&n.name, &n.project_type))
            .eq(self.types.iter().map(|(n, t)| (n, t)));
        let stuck = operator.beanstalkd.is_some() && !same;
        stuck.then(|| "project types can't change where beanstalkd is spoken".to_string())
    }

    /// What of it differs from what holds, and can't hold before the next start.
    pub fn waits(&self, placement: &Placement, operator: &Operator) -> Vec<String> {
        let mut waits = placement.differs(&self.placement);
        if self.operator.lasting() != operator.lasting() {
            waits.push("the operator's file".to_string());
        }
        waits
    }
}
