//! A configuration that is reloaded while the scheduler serves: whether it can be applied, and which parts of it take
//! effect only at a restart. No I/O.

use crate::configuration::Configuration;
use crate::operator_config::OperatorConfig;
use crate::serve::StartupPlan;
use crate::subsystems::SubsystemPlans;
use mintlb_core::project_types::NamedProjectType;
use mintlb_scheduler::ProjectType;
use mintlb_scheduler::settings::ReloadableSettings;
use std::time::Duration;

/// The parts of a [`StartupPlan`] that a running scheduler can apply, and the files that it was read from.
pub struct Reload {
    pub configuration: Configuration,
    pub operator: OperatorConfig,
    /// The project types by name.
    pub types: Vec<(String, ProjectType)>,
    pub terms: ReloadableSettings,
    /// See [`crate::resource_limits::ResourceLimits::shutdown_deadline`].
    pub shutdown_deadline: Duration,
    pub subsystems: SubsystemPlans,
}

impl From<StartupPlan> for Reload {
    fn from(plan: StartupPlan) -> Reload {
        let StartupPlan {
            configuration,
            operator,
            types,
            terms,
            resource_limits,
            subsystems,
            ..
        } = plan;
        Reload {
            configuration,
            operator,
            types,
            terms,
            shutdown_deadline: resource_limits.shutdown_deadline,
            subsystems,
        }
    }
}

impl Reload {
    /// The reason why a scheduler that runs with these files and project types must reject the reload, if there is one.
    pub fn rejection(
        &self,
        configuration: &Configuration,
        operator: &OperatorConfig,
        served: &[NamedProjectType],
    ) -> Option<String> {
        if let Some(key) = configuration.missing_key(&self.configuration) {
            return Some(format!("{key} is missing"));
        }
        // beanstalkd's tubes and workers refer to project types by number, and a change gives them new numbers.
        let unchanged = served
            .iter()
            .map(|n| (&n.name, &n.project_type))
            .eq(self.types.iter().map(|(n, t)| (n, t)));
        let rejected = operator.beanstalkd.is_some() && !unchanged;
        rejected.then(|| "project types can't change while beanstalkd is enabled".to_string())
    }

    /// The changed fields that take effect only at a restart.
    pub fn pending_restart(
        &self,
        configuration: &Configuration,
        operator: &OperatorConfig,
    ) -> Vec<String> {
        let mut fields = configuration.restart_only_changes(&self.configuration);
        if self.operator.restart_only() != operator.restart_only() {
            fields.push("the operator's file".to_string());
        }
        fields
    }
}
