//! The rules for rate limits: nobody is far over its own, and nobody below it is turned away.

use super::calls::Purpose;
use super::configuration::{GREEDY, SPREAD_TIME, TENANTS};
use super::evidence::{Evidence, Violation};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// In each window, no more requests of a tenant are both sent and arrive than allowed. Returns the
/// worst window's share of what was allowed.
pub fn check_windows(evidence: &Evidence, violations: &mut Vec<Violation>) -> f64 {
    let mut worst = 0.0_f64;
    for (tenant, _) in TENANTS {
        let mut violation = None;
        let mut worst_of_tenant = 0.0;
        let requests = requests_of(evidence, tenant);
        // The fullest windows begin as a request is sent.
        for (position, (from, _)) in requests.iter().enumerate() {
            let to = *from + WINDOW;
            let later = requests[position..].iter();
            let in_window = later.take_while(|(sent, _)| *sent <= to);
            let count = in_window.filter(|(_, arrived)| *arrived <= to).count();
            let rate = evidence
                .history
                .highest_rate(tenant, *from - SPREAD_TIME, to);
            // The burst equals the rate.
            let rate = f64::from(rate);
            let limit = (rate * WINDOW.as_secs_f64() + rate) * (1.0 + OVERAGE) + SLACK;
            let share = count as f64 / limit;
            if share > worst_of_tenant {
                worst_of_tenant = share;
                let text = format!("{count} requests of {tenant} in a window, {limit} allowed");
                violation = (share > 1.0).then_some(Violation { at: *from, text });
            }
        }
        violations.extend(violation);
        worst = worst.max(worst_of_tenant);
    }
    worst
}

/// When the live requests of a tenant were sent and first arrived at a worker, by the first.
fn requests_of(evidence: &Evidence, tenant: &str) -> Vec<(Instant, Instant)> {
    let sent: HashMap<&str, Instant> = evidence
        .calls
        .iter()
        .filter(|call| call.purpose == Purpose::Live)
        .map(|call| (call.id.as_str(), call.sent))
        .collect();
    let mut seen = HashSet::new();
    let mut requests = Vec::new();
    for arrival in evidence.arrivals {
        let id = arrival.id.as_deref().unwrap_or_default();
        if arrival.tenant.as_deref() == Some(tenant)
            && let Some(sent) = sent.get(id)
            && seen.insert(id)
        {
            requests.push((*sent, arrival.at));
        }
    }
    requests.sort();
    requests
}

/// In the calm part at most 1% of the requests of each tenant below its limit are answered 429.
/// Returns how many were sent and how many of them were turned away.
pub fn check_calm(evidence: &Evidence, violations: &mut Vec<Violation>) -> (usize, usize) {
    let (from, to) = evidence.calm;
    let (mut all_sent, mut all_rejected) = (0, 0);
    for (tenant, _) in TENANTS.iter().take(GREEDY) {
        let calls = evidence.calls.iter().filter(|call| {
            call.purpose == Purpose::Live
                && call.client == *tenant
                && from <= call.sent
                && call.sent <= to
        });
        let answers: Vec<Option<u16>> = calls.map(|call| call.status).collect();
        let rejected = answers
            .iter()
            .filter(|status| **status == Some(429))
            .count();
        assert!(
            !answers.is_empty(),
            "{tenant} sent nothing in the calm part"
        );
        if rejected * 100 > answers.len() {
            let text = format!(
                "{rejected} of {} of {tenant} got 429 in calm",
                answers.len()
            );
            violations.push(Violation { at: from, text });
        }
        all_sent += answers.len();
        all_rejected += rejected;
    }
    (all_sent, all_rejected)
}
