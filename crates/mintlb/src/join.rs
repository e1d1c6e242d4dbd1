//! The one place where subsystems are joined to the program: each by its table of the operator's file. One whose table
//! is missing costs nothing.

use crate::grants::Grants;
use crate::operator::Operator;
use mintlb_beanstalkd::front::{Bounds, Front as Beanstalkd, Joint};
use mintlb_beanstalkd::hub::Hub;
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

/// The operator's tables, found good beside a scheduler's project types and customers.
pub struct Plans {
    pub beanstalkd: Option<BeanstalkdPlan>,
    pub fleet: Option<FleetMemberConfig>,
}

impl Plans {
    pub fn new(
        operator: &Operator,
        name: &str,
        types: &[String],
        project_types: &[ProjectType],
        customers: &[String],
    ) -> Result<Plans, String> {
        let Operator { beanstalkd, fleet } = operator.clone();
        let beanstalkd =
            beanstalkd.map(|table| BeanstalkdPlan::new(table, types, project_types, customers));
        let fleet = fleet.map(|table| FleetMemberConfig::new(table, name));
        Ok(Plans {
            beanstalkd: beanstalkd.transpose()?,
            fleet: fleet.transpose()?,
        })
    }
}

impl Display for Plans {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        self.beanstalkd
            .iter()
            .try_for_each(|plan| writeln!(f, "{plan:#?}"))?;
        self.fleet.iter().try_for_each(|plan| write!(f, "{plan}"))
    }
}

/// What subsystems have in common with the rest of the program.
pub struct Shared<'a> {
    pub name: &'a str,
    pub seed: u64,
    pub clock: Clock,
    pub tell: &'a UnboundedSender<Event>,
    pub numbers: &'a WorkUnitIds,
    pub room: &'a Capacity,
    pub sends: Arc<AtomicU64>,
    pub project_types: &'a [ProjectType],
    /// What the list last said, where that is known.
    pub told: Option<&'a MembershipUpdate>,
    pub log: &'a Logger,
}

/// What has been joined: who hears the loop's words, and what limits the decisions.
pub struct Joined {
    pub subsystems: Arc<[Box<dyn Subsystem>]>,
    pub purse: Option<Arc<dyn SharedBudgets>>,
    fleet: Option<Fleet>,
}

impl Joined {
    /// What of a new file's tables can hold while it serves does from now on.
    pub fn change(&self, plans: &Plans) {
        if let Some((fleet, plan)) = self.fleet.as_ref().zip(plans.fleet.as_ref()) {
            fleet.reconfigure(plan);
        }
    }
}

/// Starts all that is planned, or says what can't be.
pub async fn join(plans: Plans, grants: &Grants, shared: &Shared<'_>) -> Result<Joined, String> {
    let mut subsystems: Vec<Box<dyn Subsystem>> = Vec::new();
    let (mut purse, mut joined): (Option<Arc<dyn SharedBudgets>>, Option<Fleet>) = (None, None);
    if let Some(plan) = plans.beanstalkd {
        subsystems.push(Box::new(beanstalkd(plan, grants, shared).await?));
    }
    if let Some(plan) = plans.fleet {
        let fleet = Fleet::start(plan, shared.seed, shared.log.clone()).await?;
        purse = Some(Arc::new(fleet.clone()));
        subsystems.push(Box::new(fleet.clone()));
        joined = Some(fleet);
    }
    Ok(Joined {
        subsystems: subsystems.into(),
        purse,
        fleet: joined,
    })
}

async fn beanstalkd(
    plan: BeanstalkdPlan,
    grants: &Grants,
    shared: &Shared<'_>,
) -> Result<Joint, String> {
    let listen = plan.table.listen;
    let no = |e| format!("beanstalkd.listen: {listen}: {e}");
    let listener = TcpListener::bind(listen).await.map_err(no)?;
    let listen = listener.local_addr().map_err(no)?;
    let (name, numbers, room) = (
        shared.name.to_string(),
        shared.numbers.clone(),
        shared.room.clone(),
    );
    let mut hub = Hub::new(
        plan,
        name,
        shared.clock.now(),
        grants.http.max_body_bytes,
        numbers,
        room,
    );
    hub.sends = shared.sends.clone();
    let (connections, read, pause) = (
        grants.sessions,
        grants.http.read_timeout,
        grants.http.dial_timeout / 16,
    );
    let bounds = Bounds {
        connections,
        read,
        pause,
    };
    let (tell, log) = (shared.tell.clone(), shared.log.clone());
    let front = Joint(Beanstalkd::new(
        hub,
        shared.project_types,
        bounds,
        shared.clock,
        tell,
        log,
    ));
    // Before anybody can connect: jobs go by what is known of machines.
    shared
        .told
        .into_iter()
        .for_each(|told| front.on_membership_update(told));
    tokio::spawn(front.0.clone().listen(listener));
    info!(shared.log, "beanstalkd is spoken"; "listen" => %listen);
    Ok(front)
}
