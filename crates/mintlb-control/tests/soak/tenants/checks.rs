//! The rules for keys and jobs: who is served, under which tenant, and who is not.

use super::calls::{Call, Purpose};
use super::evidence::{Evidence, Violation};
use super::jobs::job_of_item;
use std::collections::{HashMap, HashSet};
use tokio::time::Instant;

/// The tenants of a key, `None` for nobody.
type Holders = HashSet<Option<&'static str>>;

/// No worker sees credentials, and each request names the tenant that held its key.
pub fn check_arrivals(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let live = evidence
        .calls
        .iter()
        .filter(|call| call.purpose == Purpose::Live);
    let live: HashMap<&str, &Call> = live.map(|call| (call.id.as_str(), call)).collect();
    let jobs = Jobs::of(evidence);
    for arrival in evidence.arrivals {
        let mut violate = |text| {
            violations.push(Violation {
                at: arrival.at,
                text,
            })
        };
        if arrival.has_credentials {
            violate(format!("a worker saw credentials of {:?}", arrival.id));
        }
        let Some(id) = arrival.id.as_deref() else {
            violate("a request without an id reached a worker".to_string());
            continue;
        };
        let allowed = match (arrival.is_item, live.get(id)) {
            (true, _) => jobs.tenants_of(job_of_item(id)),
            (false, Some(call)) => evidence.holders(call, arrival.at),
            (false, None) => Holders::new(),
        };
        let tenant = arrival.tenant.as_deref();
        if tenant.is_none() || !allowed.contains(&tenant) {
            violate(format!(
                "{id} reached a worker as of {tenant:?}, allowed {allowed:?}: {:?}",
                live.get(id)
            ));
        }
    }
}

/// Valid keys are let in, others are not; jobs are their tenant's alone.
pub fn check_answers(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let jobs = Jobs::of(evidence);
    for call in evidence.calls {
        let Some(status) = call.status else {
            continue;
        };
        let holders = evidence.holders(call, call.ended);
        let why = match (status, holders.contains(&None)) {
            (401, false) => Some("a valid key is refused"),
            (..500, _) if status != 401 && holders.iter().all(Option::is_none) => {
                Some("an invalid key is accepted")
            }
            _ => match call.purpose {
                Purpose::Live => matches!(status, 400 | 403..=499 if status != 429)
                    .then_some("no such answer is allowed"),
                Purpose::Submit => None,
                Purpose::Read | Purpose::End => jobs.violation(call, status, &holders),
            },
        };
        if let Some(why) = why {
            violations.push(Violation {
                at: call.ended,
                text: format!("{why}: {holders:?}, {call:?}"),
            });
        }
    }
}

/// How many calls with keys that were taken away everywhere were refused.
pub fn refused_former_keys(evidence: &Evidence) -> usize {
    let refused = evidence.calls.iter().filter(|call| {
        let mut known = evidence.history.keys.iter();
        let is_former = known.any(|key| Some(key) == call.key.as_ref());
        let holders = evidence.holders(call, call.ended);
        call.status == Some(401) && is_former && holders.iter().all(Option::is_none)
    });
    refused.count()
}

/// A job that was accepted.
struct AcceptedJob {
    at: Instant,
    tenants: Holders,
    /// When its first end was sent.
    end_sent: Option<Instant>,
}

/// The jobs by their ids.
struct Jobs<'a> {
    accepted: HashMap<&'a str, AcceptedJob>,
    /// Tenants whose keys tried to submit a job.
    submitters: HashMap<&'a str, Holders>,
}

impl<'a> Jobs<'a> {
    fn of(evidence: &Evidence<'a>) -> Jobs<'a> {
        let mut jobs = Jobs {
            accepted: HashMap::new(),
            submitters: HashMap::new(),
        };
        for call in evidence.calls {
            let id = call.id.as_str();
            match call.purpose {
                Purpose::Submit => {
                    let mut holders = evidence.holders(call, call.ended);
                    holders.remove(&None);
                    let submitters = jobs.submitters.entry(id).or_default();
                    submitters.extend(&holders);
                    if call.status == Some(202) {
                        let accepted = AcceptedJob {
                            at: call.ended,
                            tenants: holders,
                            end_sent: None,
                        };
                        jobs.accepted.entry(id).or_insert(accepted);
                    }
                }
                Purpose::End => {
                    if let Some(job) = jobs.accepted.get_mut(id) {
                        job.end_sent.get_or_insert(call.sent);
                    }
                }
                Purpose::Read | Purpose::Live => (),
            }
        }
        jobs
    }

    /// The tenants that a job may belong to.
    fn tenants_of(&self, id: &str) -> Holders {
        let accepted = self.accepted.get(id).map(|job| job.tenants.clone());
        accepted.unwrap_or_else(|| self.submitters.get(id).cloned().unwrap_or_default())
    }

    /// What is wrong with the answer to a call on a job, by a key of these tenants.
    fn violation(&self, call: &Call, status: u16, holders: &Holders) -> Option<&'static str> {
        let job = self.accepted.get(call.id.as_str())?;
        if job.at > call.sent {
            return None;
        }
        let may_have_ended = job.end_sent.is_some_and(|sent| match call.purpose {
            Purpose::End => sent < call.sent,
            _ => sent <= call.ended,
        });
        let is_own = holders.len() == 1 && *holders == job.tenants;
        let is_foreign = holders.is_disjoint(&job.tenants) && !holders.contains(&None);
        match status {
            403 if is_own => Some("its own job is refused"),
            404 if is_own && !may_have_ended => Some("its own job is not found"),
            200 if is_foreign => Some("another tenant's job is served"),
            404 if is_foreign && !may_have_ended => Some("another tenant's job is not refused"),
            200 | 401 | 403 | 404 | 500.. => None,
            _ => Some("no such answer is allowed"),
        }
    }
}
