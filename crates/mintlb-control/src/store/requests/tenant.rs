//! Requests for a tenant: only about its own jobs, and those that belong to no tenant.

use super::{JobLocation, Store};
use mintlb_batch::messages::{JobName, StoreRequest, StoreResponse, TenantRequest};

impl Store {
    /// The request, if the tenant may make it.
    ///
    /// # Errors
    ///
    /// The response, if the job belongs to another tenant, or no request for a tenant is of this kind.
    pub(super) async fn authorize(
        &self,
        request: TenantRequest,
        location: JobLocation,
    ) -> Result<StoreRequest, StoreResponse> {
        let TenantRequest { tenant, request } = request;
        let Some(job) = job_of(&request) else {
            return Err(StoreResponse::NotPrimary);
        };
        let shard = location.shard(job);
        if self.may_access(shard, job, tenant.as_deref()) {
            return Ok(request);
        }
        // A former primary may know another job of this name, which was never committed.
        match self.confirm_primary(shard).await {
            true => Err(StoreResponse::OtherTenant),
            false => Err(StoreResponse::NotPrimary),
        }
    }

    /// Whether a job is unknown, or belongs to this tenant or to none.
    fn may_access(&self, shard: u32, job: &JobName, tenant: Option<&str>) -> bool {
        let mut shard_host = self.shard_host();
        let found = shard_host.replica(shard).jobs().find(job);
        let owner = found.and_then(|job| job.account.tenant.as_deref());
        owner.is_none() || owner == tenant
    }
}

/// The job that a request is about.
fn job_of(request: &StoreRequest) -> Option<&JobName> {
    match request {
        StoreRequest::Read(read) => Some(&read.job),
        StoreRequest::Body(item) => Some(&item.job),
        StoreRequest::End(job) => Some(job),
        _ => None,
    }
}
