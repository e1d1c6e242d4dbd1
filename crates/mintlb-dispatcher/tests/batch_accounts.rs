//! The account by which a submitted job's tokens are counted: that of its own route, whatever the route's name.

mod harness;

use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use bytes::Bytes;
use harness::{TestDispatcher, run_single_threaded};
use mintlb_batch::client::{BatchClient, JobAccess};
use mintlb_batch::framing;
use mintlb_batch::messages::{StoreRequest, StoreResponse, Submit};
use mintlb_common::configuration::Configuration;
use mintlb_common::placement::{Placement, SHARD_COUNT, ShardAssignment, StoreEntry, StoreId};
use mintlb_common::transport::{Channel, ResponseFuture, Service, Transport};
use mintlb_dispatcher::batch::calls::BatchCallHandler;
use mintlb_dispatcher::batch::runner::ItemRunner;
use mintlb_dispatcher::batch_executor::{BatchCall, BatchHandler};
use mintlb_gossip::{GossipConfig, GossipService, Member, Role};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;

const HOST: &str = "shop.example";
const DISPATCHER: u64 = 7;

/// A store that accepts all jobs, for others to run, and records them.
#[derive(Default)]
struct RecordingStore(Mutex<Vec<Submit>>);

impl Service for RecordingStore {
    fn on_request(&self, _from: SocketAddr, body: Bytes) -> ResponseFuture {
        let response = match framing::decode(&body) {
            Some((StoreRequest::Submit(submit), _)) => {
                self.0.lock().push(submit);
                StoreResponse::Accepted { leased: false }
            }
            Some((StoreRequest::HasHostPlacedJobs(_), _)) => StoreResponse::HostPlacedJobs(false),
            _ => StoreResponse::NotPrimary,
        };
        Box::pin(async move { framing::encode(&response, &[]) })
    }
}

/// A placement with all shards on one store.
fn placement(address: SocketAddr) -> Placement {
    let store = StoreEntry {
        id: StoreId(1),
        node_name: String::new(),
        address: address.to_string(),
        zone: String::new(),
        decommissioning: false,
        region: None,
        counts_toward_quorum: None,
    };
    let shard = ShardAssignment {
        epoch: 1,
        replicas: vec![store.id],
        ..ShardAssignment::default()
    };
    Placement {
        epoch: 1,
        stores: vec![store],
        shards: vec![shard; SHARD_COUNT as usize],
    }
}

async fn transport() -> Arc<Transport> {
    let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    Transport::start(any_port).await.unwrap()
}

/// The handler of calls, before this store.
async fn handler(dispatcher: &TestDispatcher, store: &Arc<RecordingStore>) -> BatchCallHandler {
    let store_transport = transport().await;
    store_transport.register_service(Channel::Batch, store.clone());
    let placement = Arc::new(placement(store_transport.local_address()));
    let transport = transport().await;
    let gossip = GossipService::start(GossipConfig {
        transport: transport.clone(),
        seeds: Vec::new(),
        member: Member {
            address: transport.local_address(),
            incarnation: transport.incarnation(),
            role: Role::Dispatcher,
            node_name: "edge-1".to_string(),
            zone: "z".to_string(),
        },
    });
    let client = Arc::new(BatchClient::new(
        transport,
        Arc::new(move || {
            let _keep_listening = &store_transport;
            placement.clone()
        }),
    ));
    let executor = dispatcher.batch_executor.clone();
    let runner = ItemRunner::start(client.clone(), executor, DISPATCHER);
    BatchCallHandler::new(client, runner, gossip, DISPATCHER)
}

/// Two batch routes of one name.
fn configuration() -> Arc<Configuration> {
    let route = |prefix: &str, limit: u64| {
        format!(
            r#"{{"name":"lots","host_name":"{HOST}","path_prefix":"{prefix}","route_type":"batch","target_service":"s",
            "max_queued_tokens":{limit}}}"#
        )
    };
    let json = format!(
        r#"{{"config_version":1,"route_list":[{},{}],"service_list":[{{"name":"s"}}]}}"#,
        route("/a/", 100),
        route("/b/", 200)
    );
    Arc::new(Configuration::parse(json.as_bytes()).unwrap())
}

fn submission(route: usize, prefix: &str) -> BatchCall {
    let mut headers = HeaderMap::new();
    let id = HeaderValue::from_str(&format!("job-{route}")).unwrap();
    headers.insert("mintlb-request-id", id);
    let body = format!(
        r#"{{"requests":[{{"instance_id":"e-{route}","path":"{prefix}x","headers":{{}},"body":"","tokens":5}}]}}"#
    );
    BatchCall {
        method: Method::POST,
        host: HOST.to_string(),
        path_and_query: prefix.to_string(),
        headers,
        body: Bytes::from(body),
        configuration: configuration(),
        route: Some(route),
        access: JobAccess::Unrestricted,
    }
}

/// Guards against jobs of a route that are refused, or accepted beyond the quota, by what waits on another one of its name.
#[test]
fn jobs_on_routes_of_one_name_are_counted_apart() {
    run_single_threaded(async {
        let dispatcher = TestDispatcher::start().await;
        let store = Arc::new(RecordingStore::default());
        let handler = handler(&dispatcher, &store).await;
        for (route, prefix) in [(0, "/a/"), (1, "/b/")] {
            let response = handler.handle(submission(route, prefix)).await;
            assert_eq!(response.status(), StatusCode::ACCEPTED);
        }
        let submitted = store.0.lock();
        let counted: Vec<_> = submitted
            .iter()
            .map(|submit| (submit.job.route.as_str(), submit.max_queued_tokens))
            .collect();
        assert_eq!(
            counted,
            [("shop.example/a/", 100), ("shop.example/b/", 200)]
        );
    });
}
