//! Which shard a request about a job goes to.

use mintlb_batch::messages::JobName;

/// Where a job is looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobLocation {
    /// On the shard that its name is drawn to.
    JobShard,
    /// On its host's shard: it was accepted by a release that placed all jobs of a host together.
    HostShard,
}

impl JobLocation {
    /// The shard of a job.
    pub(super) fn shard(self, job: &JobName) -> u32 {
        match self {
            JobLocation::JobShard => job.shard(),
            JobLocation::HostShard => job.host_shard(),
        }
    }
}
