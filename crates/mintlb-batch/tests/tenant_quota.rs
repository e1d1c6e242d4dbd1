//! The quota of queued tokens is counted by tenant and route, and a job belongs to its tenant.

mod shard_cluster;

use bytes::Bytes;
use minicbor::Encode;
use mintlb_batch::entry::{Entry, ItemHeader, ItemState, JobHeader, JobTerms};
use mintlb_batch::framing;
use mintlb_batch::messages::{StoreResponse, Submit};
use mintlb_batch::quota::{
    AcquireAllowance, Allowances, QuotaAccount, RecallAllowances, ShardAllowance,
};
use mintlb_batch::replica::{Proposal, Replica};
use mintlb_common::placement::Placement;
use shard_cluster::requests::name;
use shard_cluster::{HOST, ShardCluster};
use std::time::Duration;

const ROUTE: &str = "r";
const LIMIT: u64 = 900;
/// Just below the gap between ticks after which a process counts as suspended.
const LONG_TICK: Duration = Duration::from_millis(900);

fn account(route: &str, tenant: Option<&str>) -> QuotaAccount {
    QuotaAccount {
        route: route.to_string(),
        tenant: tenant.map(str::to_string),
    }
}

/// A job of one item with this many tokens and no payload.
fn header(account: &QuotaAccount, id: &str, tokens: u64) -> JobHeader {
    JobHeader {
        host: HOST.to_string(),
        id: id.to_string(),
        route: account.route.clone(),
        terms: JobTerms {
            retention_ms: 1_000_000_000,
            ..JobTerms::default()
        },
        items: vec![ItemHeader {
            id: format!("{id}-0"),
            tokens,
            length: 0,
        }],
        tenant: account.tenant.clone(),
    }
}

/// Submits a job at a store, without an allowance from a counter.
fn submit(cluster: &mut ShardCluster, store_index: usize, limit: u64, job: JobHeader) -> Proposal {
    let now = cluster.now.into();
    let replica = cluster.replica_mut(store_index);
    let submit = Submit {
        epoch: replica.epoch(),
        owner: 7,
        max_queued_tokens: limit,
        job,
    };
    replica.submit(&submit, &Bytes::new(), now)
}

/// Hands out to the shard what the account's job lacks, as its counter does.
fn raise(cluster: &mut ShardCluster, store_index: usize, account: &QuotaAccount, tokens: u64) {
    let job = header(account, "probe", tokens);
    let Proposal::NeedsAllowance(shortage) = submit(cluster, store_index, LIMIT, job) else {
        panic!("the shard has an allowance of {account} already");
    };
    let replica = cluster.replica_mut(store_index);
    assert!(replica.raise_allowance(account, shortage.held, shortage.tokens));
}

/// Submits a job that has to be accepted, and commits it.
fn accept(cluster: &mut ShardCluster, store_index: usize, job: JobHeader) {
    let name = job.id.clone();
    let proposal = submit(cluster, store_index, LIMIT, job);
    assert!(
        matches!(proposal, Proposal::AfterCommit { .. }),
        "{name}: {proposal:?}"
    );
    cluster.run_effects(store_index);
    cluster.run_until_idle();
}

fn queued(cluster: &ShardCluster, store_index: usize, account: &QuotaAccount) -> u64 {
    cluster.replica(store_index).jobs().queued_tokens(account)
}

fn needs_allowance(proposal: &Proposal) -> bool {
    matches!(proposal, Proposal::NeedsAllowance(_))
}

#[test]
fn each_tenant_of_a_route_has_the_whole_limit() {
    let mut cluster = ShardCluster::of_three();
    let (first, second) = (account(ROUTE, Some("a")), account(ROUTE, Some("b")));
    for tenant in [&first, &second] {
        raise(&mut cluster, 0, tenant, LIMIT);
    }
    accept(&mut cluster, 0, header(&first, "first", LIMIT));
    let more = submit(&mut cluster, 0, LIMIT, header(&first, "more", 1));
    assert!(needs_allowance(&more), "{more:?}");
    accept(&mut cluster, 0, header(&second, "second", LIMIT));
    assert_eq!(queued(&cluster, 0, &first), LIMIT);
    assert_eq!(queued(&cluster, 0, &second), LIMIT);
    assert_eq!(queued(&cluster, 0, &account(ROUTE, None)), 0);
}

#[test]
fn an_allowance_of_one_tenant_admits_no_job_of_another() {
    let mut cluster = ShardCluster::of_three();
    let (first, second) = (account(ROUTE, Some("a")), account(ROUTE, Some("b")));
    raise(&mut cluster, 0, &first, LIMIT);
    for other in [second, account(ROUTE, None)] {
        let proposal = submit(&mut cluster, 0, LIMIT, header(&other, "other", 1));
        assert!(needs_allowance(&proposal), "{other}: {proposal:?}");
    }
}

#[test]
fn jobs_of_one_tenant_on_two_routes_are_counted_apart() {
    let mut cluster = ShardCluster::of_three();
    let (one, other) = (account("r1", Some("a")), account("r2", Some("a")));
    for route in [&one, &other] {
        raise(&mut cluster, 0, route, LIMIT);
        let job = header(route, &format!("on-{}", route.route), LIMIT);
        accept(&mut cluster, 0, job);
    }
    assert_eq!(queued(&cluster, 0, &one), LIMIT);
    assert_eq!(queued(&cluster, 0, &other), LIMIT);
}

/// Two tenants' jobs are accepted by the first store, and the second one takes over.
fn taken_over(first: &QuotaAccount, second: &QuotaAccount) -> ShardCluster {
    let mut cluster = ShardCluster::of_three();
    for (account, id) in [(first, "first"), (second, "second")] {
        raise(&mut cluster, 0, account, LIMIT);
        accept(&mut cluster, 0, header(account, id, LIMIT));
    }
    cluster.stores[0].partitioned = true;
    cluster.take_over(2, &[2, 3, 1], &[1, 2, 3]);
    assert!(cluster.is_serving(1));
    cluster
}

/// Completes the only item of a job at a store.
fn complete(cluster: &mut ShardCluster, store_index: usize, id: &str) {
    let now = cluster.now.into();
    let replica = cluster.replica_mut(store_index);
    let text = Bytes::from_static(b"text");
    let proposal = replica.record(&name(id), 0, ItemState::Completed, &text, now);
    assert!(matches!(proposal, Proposal::AfterCommit { .. }));
    cluster.run_effects(store_index);
    cluster.run_until_idle();
}

#[test]
fn tokens_of_a_tenant_are_given_back_as_its_items_end() {
    let mut cluster = ShardCluster::of_three();
    let (first, second) = (account(ROUTE, Some("a")), account(ROUTE, Some("b")));
    for (account, id) in [(&first, "first"), (&second, "second")] {
        raise(&mut cluster, 0, account, LIMIT);
        accept(&mut cluster, 0, header(account, id, LIMIT));
    }
    complete(&mut cluster, 0, "first");
    assert_eq!(queued(&cluster, 0, &first), 0);
    assert_eq!(queued(&cluster, 0, &second), LIMIT);
    accept(&mut cluster, 0, header(&first, "next", LIMIT));
    let now = cluster.now.into();
    let ended = cluster.replica_mut(0).end(&name("second"), now);
    assert!(matches!(ended, Proposal::AfterCommit { .. }));
    assert_eq!(queued(&cluster, 0, &first), LIMIT);
    assert_eq!(queued(&cluster, 0, &second), 0);
}

#[test]
fn the_next_primary_counts_by_the_tenants_in_its_log() {
    let (first, second) = (account(ROUTE, Some("a")), account(ROUTE, Some("b")));
    let mut cluster = taken_over(&first, &second);
    assert_eq!(queued(&cluster, 1, &first), LIMIT);
    assert_eq!(queued(&cluster, 1, &second), LIMIT);
    assert_eq!(queued(&cluster, 1, &account(ROUTE, None)), 0);
    complete(&mut cluster, 1, "first");
    assert_eq!(queued(&cluster, 1, &first), 0);
    assert_eq!(queued(&cluster, 1, &second), LIMIT);
    let counter = 1;
    let replica = cluster.replica_mut(1);
    let left = replica.recall_allowance(&second, counter).unwrap();
    assert_eq!(left.tokens, LIMIT, "what is in use is not given up");
    let left = replica.recall_allowance(&first, counter).unwrap();
    assert_eq!(left.tokens, 0);
}

#[test]
fn a_lowered_limit_voids_the_allowance_of_its_tenant_alone() {
    let (first, second) = (account(ROUTE, Some("a")), account(ROUTE, Some("b")));
    let mut allowances = Allowances::default();
    for tenant in [&first, &second] {
        let shortage = allowances.admit(tenant, LIMIT, 0, LIMIT).unwrap_err();
        assert!(allowances.raise(tenant, &shortage.held, shortage.tokens));
    }
    let on_its_way = allowances.admit(&first, LIMIT, LIMIT, 1).unwrap_err();
    let lowered = allowances.admit(&first, 100, 0, 200).unwrap_err();
    assert!(lowered.held.generation > on_its_way.held.generation);
    assert_eq!(lowered.held.tokens, 0);
    assert!(!allowances.raise(&first, &on_its_way.held, 1));
    assert_eq!(allowances.admit(&second, LIMIT, 0, LIMIT), Ok(()));
}

#[test]
fn the_tenant_is_part_of_a_jobs_identity() {
    let (first, second) = (account(ROUTE, Some("a")), account(ROUTE, Some("b")));
    let job = header(&first, "job", 10);
    assert!(Replica::same_items(&job, &job.clone()));
    for other in [second.clone(), account(ROUTE, None)] {
        assert!(!Replica::same_items(&job, &header(&other, "job", 10)));
    }
    // The store compares before it answers that the job is accepted.
    let mut cluster = ShardCluster::of_three();
    raise(&mut cluster, 0, &first, LIMIT);
    accept(&mut cluster, 0, job);
    let again = submit(&mut cluster, 0, LIMIT, header(&second, "job", 10));
    assert!(
        matches!(
            again,
            Proposal::CompareItems {
                response: StoreResponse::Accepted { .. },
                ..
            }
        ),
        "{again:?}"
    );
    assert_eq!(queued(&cluster, 0, &first), 10);
    assert_eq!(queued(&cluster, 0, &second), 0);
}

#[test]
fn a_lease_tells_the_tenant_of_its_job() {
    let tenant = account(ROUTE, Some("a"));
    let mut cluster = ShardCluster::of_three();
    raise(&mut cluster, 0, &tenant, LIMIT);
    accept(&mut cluster, 0, header(&tenant, "job", 10));
    accept(&mut cluster, 0, header(&tenant, "other", 10));
    // Before that owners of an earlier primary might renew.
    for _ in 0..4 {
        cluster.tick(LONG_TICK);
        cluster.run_until_idle();
    }
    let now = cluster.now.into();
    let replica = cluster.replica_mut(0);
    replica.release(7);
    let plans = replica.lease(9, 10, u64::MAX, now);
    let tenants = plans.iter().map(|plan| plan.head.tenant.as_deref());
    assert_eq!(tenants.collect::<Vec<_>>(), [Some("a"), Some("a")]);
}

/// The head of a job as it was written before jobs had tenants.
#[derive(Encode)]
struct EarlierJobHeader {
    #[n(0)]
    host: String,
    #[n(1)]
    id: String,
    #[n(2)]
    route: String,
    #[n(3)]
    terms: JobTerms,
    #[n(4)]
    items: Vec<ItemHeader>,
}

/// The entry of a log with such a job.
#[derive(Encode)]
enum EarlierEntry {
    #[n(1)]
    Accepted(#[n(0)] EarlierJobHeader),
}

#[test]
fn an_entry_from_before_tenants_decodes_to_no_tenant() {
    let job = header(&account(ROUTE, None), "job", 10);
    let earlier = EarlierEntry::Accepted(EarlierJobHeader {
        host: job.host.clone(),
        id: job.id.clone(),
        route: job.route.clone(),
        terms: job.terms,
        items: job.items.clone(),
    });
    let bytes = framing::encode(&earlier, &[b"payload"]);
    let entry = Entry::Accepted(job);
    let (decoded, raw) = framing::decode::<Entry>(&bytes).unwrap();
    assert_eq!((&decoded, &raw[..]), (&entry, &b"payload"[..]));
    assert_eq!(
        framing::encode(&entry, &[b"payload"]),
        bytes,
        "a job without a tenant is written as before"
    );
}

/// The messages about allowances as they were written before accounts had tenants.
#[derive(Encode)]
struct EarlierAcquireAllowance {
    #[n(0)]
    route: String,
    #[n(1)]
    limit: u64,
    #[n(2)]
    counter_epoch: u64,
    #[n(3)]
    held: ShardAllowance,
    #[n(4)]
    tokens: u64,
}

#[derive(Encode)]
struct EarlierRecallAllowances {
    #[n(0)]
    route: String,
    #[n(1)]
    counter_epoch: u64,
    #[n(2)]
    shards: Vec<u32>,
}

#[test]
fn messages_about_allowances_of_no_tenant_are_written_as_before() {
    let held = ShardAllowance {
        shard: 1,
        epoch: 2,
        generation: 3,
        tokens: 4,
    };
    let earlier = EarlierAcquireAllowance {
        route: ROUTE.to_string(),
        limit: 5,
        counter_epoch: 6,
        held,
        tokens: 7,
    };
    let acquire = AcquireAllowance {
        route: ROUTE.to_string(),
        limit: 5,
        counter_epoch: 6,
        held,
        tokens: 7,
        tenant: None,
    };
    let bytes = framing::encode(&earlier, &[]);
    assert_eq!(framing::encode(&acquire, &[]), bytes);
    let (decoded, _) = framing::decode::<AcquireAllowance>(&bytes).unwrap();
    assert_eq!(decoded, acquire);
    assert_eq!(decoded.account(), QuotaAccount::of_route(ROUTE));

    let earlier = EarlierRecallAllowances {
        route: ROUTE.to_string(),
        counter_epoch: 6,
        shards: vec![1, 63],
    };
    let recall = RecallAllowances {
        route: ROUTE.to_string(),
        counter_epoch: 6,
        shards: vec![1, 63],
        tenant: None,
    };
    let bytes = framing::encode(&earlier, &[]);
    assert_eq!(framing::encode(&recall, &[]), bytes);
    let (decoded, _) = framing::decode::<RecallAllowances>(&bytes).unwrap();
    assert_eq!(decoded, recall);
    assert_eq!(decoded.account(), QuotaAccount::of_route(ROUTE));
}

#[test]
fn a_route_without_tenants_is_counted_where_it_was() {
    for route in ["r", "nightly", ""] {
        let shard = Placement::shard_of_account(route, None);
        assert_eq!(shard, Placement::shard_of_route(route));
    }
}

/// Earlier releases counted by the route's name. Their jobs still count while they wait, for each route of their host.
#[test]
fn jobs_that_an_earlier_release_accepted_count_for_the_routes_of_their_host() {
    let mut cluster = ShardCluster::of_three();
    let place = format!("{HOST}/p/");
    let (former, now) = (account(ROUTE, Some("a")), account(&place, Some("a")));
    raise(&mut cluster, 0, &former, LIMIT);
    accept(&mut cluster, 0, header(&former, "former", LIMIT));
    assert_eq!(queued(&cluster, 0, &now), LIMIT);
    for other in [
        account(&place, Some("b")),
        account(&place, None),
        account("other.example/p/", Some("a")),
    ] {
        assert_eq!(queued(&cluster, 0, &other), 0, "{other}");
    }
    // What the shard's primary tells the account's counter includes them.
    let proposal = submit(&mut cluster, 0, LIMIT, header(&now, "next", 1));
    let Proposal::NeedsAllowance(shortage) = proposal else {
        panic!("{proposal:?}");
    };
    assert_eq!((shortage.held.tokens, shortage.tokens), (LIMIT, 1));
    // Once they are done they don't.
    let name = name("former");
    let at = cluster.now.into();
    let replica = cluster.replica_mut(0);
    replica.record(&name, 0, ItemState::Completed, &Bytes::new(), at);
    cluster.run_effects(0);
    cluster.run_until_idle();
    assert_eq!(queued(&cluster, 0, &now), 0);
}

#[test]
fn jobs_on_two_routes_of_a_host_are_counted_apart() {
    let mut cluster = ShardCluster::of_three();
    let [one, other] = ["/p/", "/q/"].map(|prefix| account(&format!("{HOST}{prefix}"), None));
    for route in [&one, &other] {
        raise(&mut cluster, 0, route, LIMIT);
        accept(&mut cluster, 0, header(route, &route.route, LIMIT));
    }
    assert_eq!(queued(&cluster, 0, &one), LIMIT);
    assert_eq!(queued(&cluster, 0, &other), LIMIT);
}
