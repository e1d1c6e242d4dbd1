//! Starts the optional subsystems and connects them to the scheduler. Each is configured by its table in the operator's
//! file; one without a table is not started.

use crate::operator_config::OperatorConfig;
use crate::resource_limits::ResourceLimits;
use mintlb_beanstalkd::hub::Hub;
use mintlb_beanstalkd::server::{Server as Beanstalkd, ServerSubsystem, SocketLimits};
use mintlb_beanstalkd::table::Plan as BeanstalkdPlan;
use mintlb_core::budget::SharedBudgets;
use mintlb_core::capacity::Capacity;
use mintlb_core::clock::Clock;
use mintlb_core::membership::MembershipUpdate;
use mintlb_core::reducer::Event;
use mintlb_core::subsystem::Subsystem;
use mintlb_core::work::WorkUnitIds;
use mintlb_rate_limit::config::MemberConfig as FleetMemberConfig;
use mintlb_rate_limit::fleet::Fleet;
use mintlb_scheduler::ProjectType;
use slog::{Logger, info};
use std::fmt::{Display, Formatter};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;

/// The operator's tables, validated against the scheduler's project types and customers.
pub struct SubsystemPlans {
    pub beanstalkd: Option<BeanstalkdPlan>,
    pub fleet: Option<FleetMemberConfig>,
}

impl SubsystemPlans {
    pub fn new(
        operator: &OperatorConfig,
        name: &str,
        types: &[String],
        project_types: &[ProjectType],
        customers: &[String],
    ) -> Result<SubsystemPlans, String> {
        let OperatorConfig { beanstalkd, fleet } = operator.clone();
        let beanstalkd =
            beanstalkd.map(|table| BeanstalkdPlan::new(table, types, project_types, customers));
        let fleet = fleet.map(|table| FleetMemberConfig::new(table, name));
        Ok(SubsystemPlans {
            beanstalkd: beanstalkd.transpose()?,
            fleet: fleet.transpose()?,
        })
    }
}

impl Display for SubsystemPlans {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        self.beanstalkd
            .iter()
            .try_for_each(|plan| writeln!(f, "{plan:#?}"))?;
        self.fleet.iter().try_for_each(|plan| write!(f, "{plan}"))
    }
}

/// What the subsystems share with the rest of the scheduler.
pub struct Context<'a> {
    /// The scheduler's name.
    pub name: &'a str,
    pub seed: u64,
    pub clock: Clock,
    /// The reducer's event queue.
    pub events: &'a UnboundedSender<Event>,
    pub work_unit_ids: &'a WorkUnitIds,
    pub capacity: &'a Capacity,
    /// Counts the attempts that were written to workers completely.
    pub sends: Arc<AtomicU64>,
    pub project_types: &'a [ProjectType],
    /// The workers that are known before the first answer of the list service, if any.
    pub initial_members: Option<&'a MembershipUpdate>,
    pub log: &'a Logger,
}

/// The subsystems that were started.
pub struct Subsystems {
    /// Receive the event loop's notifications.
    pub all: Arc<[Box<dyn Subsystem>]>,
    /// The limits shared by several schedulers, if the fleet subsystem is on.
    pub shared_budgets: Option<Arc<dyn SharedBudgets>>,
    fleet: Option<Fleet>,
}

impl Subsystems {
    /// Applies those settings of a reloaded operator's file that can change without a restart.
    pub fn reload(&self, plans: &SubsystemPlans) {
        if let Some((fleet, plan)) = self.fleet.as_ref().zip(plans.fleet.as_ref()) {
            fleet.reconfigure(plan);
        }
    }
}

/// Starts all planned subsystems. Fails if a socket can't be opened.
pub async fn start(
    plans: SubsystemPlans,
    resource_limits: &ResourceLimits,
    context: &Context<'_>,
) -> Result<Subsystems, String> {
    let mut all: Vec<Box<dyn Subsystem>> = Vec::new();
    let (mut shared_budgets, mut started_fleet): (Option<Arc<dyn SharedBudgets>>, Option<Fleet>) =
        (None, None);
    if let Some(plan) = plans.beanstalkd {
        all.push(Box::new(
            start_beanstalkd(plan, resource_limits, context).await?,
        ));
    }
    if let Some(plan) = plans.fleet {
        let fleet = Fleet::start(plan, context.seed, context.log.clone()).await?;
        shared_budgets = Some(Arc::new(fleet.clone()));
        all.push(Box::new(fleet.clone()));
        started_fleet = Some(fleet);
    }
    Ok(Subsystems {
        all: all.into(),
        shared_budgets,
        fleet: started_fleet,
    })
}

async fn start_beanstalkd(
    plan: BeanstalkdPlan,
    resource_limits: &ResourceLimits,
    context: &Context<'_>,
) -> Result<ServerSubsystem, String> {
    let listen = plan.table.listen;
    let error = |e| format!("beanstalkd.listen: {listen}: {e}");
    let listener = TcpListener::bind(listen).await.map_err(error)?;
    let listen = listener.local_addr().map_err(error)?;
    let (name, work_unit_ids, capacity) = (
        context.name.to_string(),
        context.work_unit_ids.clone(),
        context.capacity.clone(),
    );
    let mut hub = Hub::new(
        plan,
        name,
        context.clock.now(),
        resource_limits.http.max_body_bytes,
        work_unit_ids,
        capacity,
    );
    hub.sends = context.sends.clone();
    let (connections, read_timeout, accept_retry_delay) = (
        resource_limits.beanstalkd_connections,
        resource_limits.http.read_timeout,
        resource_limits.http.dial_timeout / 16,
    );
    let limits = SocketLimits {
        connections,
        read_timeout,
        accept_retry_delay,
    };
    let (events, log) = (context.events.clone(), context.log.clone());
    let server = ServerSubsystem(Beanstalkd::new(
        hub,
        context.project_types,
        limits,
        context.clock,
        events,
        log,
    ));
    // Before the first connection, as jobs are only given to machines according to what the list says of them.
    context
        .initial_members
        .into_iter()
        .for_each(|update| server.on_membership_update(update));
    tokio::spawn(server.0.clone().listen(listener));
    info!(context.log, "beanstalkd is listening"; "listen" => %listen);
    Ok(server)
}
