//! The bytes and texts that cross the boundary of this package: the settings file, the operator's
//! configuration, the bodies of records, the bytes on a connection. Processes of different releases
//! exchange them, so no release may change them.
//!
//! The fixtures of what the program writes were taken from it before its names were changed; those
//! of what it reads (the two files, the other side of a connection) are written by hand, and that
//! program could read them.

mod fixture;
mod support;

use bytes::Bytes;
use fixture::{Fixtures, hex, path};
use mintlb_common::configuration::{
    ClientLimits, Configuration, Engine, Route, RouteType, Service, WeightedService,
};
use mintlb_common::incarnation::Incarnation;
use mintlb_common::placement::{
    Placement, QuorumRule, SHARD_COUNT, ShardAssignment, StoreEntry, StoreId,
};
use mintlb_common::quorum::FailureDomain;
use mintlb_common::record::{
    CONFIGURATION, ENDED_JOB_PREFIX, PLACEMENT, REPLICAS, WORKER_PREFIX, WorkerRecord, WorkerState,
};
use mintlb_common::settings::{
    Bounds, FaultTolerance, InternalPort, Limits, ListenAddresses, NodeSettings, SETTINGS_VARIABLE,
};
use mintlb_common::transport::Channel;
use std::net::SocketAddr;
use support::{STEP_TIMEOUT, bind_listener, next_event, notification, start_process};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

fn text(file: &str) -> String {
    std::fs::read_to_string(path(file)).unwrap()
}

#[test]
fn the_settings_file_with_every_key() {
    assert_eq!(SETTINGS_VARIABLE, "MINTLB_BOOT");
    let expected = NodeSettings {
        node_name: "edge-1".to_string(),
        role: "controller".to_string(),
        machine_class: "edge".to_string(),
        serves: vec!["control".to_string(), "storage".to_string()],
        ip_address: [10, 1, 0, 35].into(),
        zone: "hba".to_string(),
        region: "tas".to_string(),
        internal_ports: [7660, 7675],
        seed_nodes: vec![
            "10.1.0.35:8146".parse().unwrap(),
            "10.2.0.28:8146".parse().unwrap(),
        ],
        first_start: true,
        counts_toward_quorum: true,
        data_directory: Some("/data/controller".into()),
        heartbeat_ms: 1201,
        zones: [("hba", "tas"), ("mel", "vic")]
            .map(|(zone, region)| (zone.into(), region.into()))
            .into(),
        listen_addresses: ListenAddresses {
            frontend: Some("10.1.0.35:8080".parse().unwrap()),
            readiness: Some("10.1.0.35:8081".parse().unwrap()),
            control_plane: Some("10.1.0.35:8146".parse().unwrap()),
        },
        limits: Limits {
            cpu_share: 0.41,
            memory_mb: 260,
            max_open_files: 4100,
            link_mbps: 102.5,
            disk_mb: Some(2048),
        },
        fault_tolerance: FaultTolerance {
            machines: 1,
            zones: 2,
            regions: 3,
        },
        bounds: Bounds {
            stabilization_ms: 3101,
            ack_ms: 4102,
            drain_ms: 2103,
            grace_period_s: 8.5,
            config_apply_ms: 2104,
            event_forwarding_ms: 125,
            status_retention_s: 121.5,
            cancel_ms: 3106,
            batch_visibility_ms: 1107,
            quota_overage: 0.25,
            quota_slack: 20.0,
            catch_up_s: 5.75,
        },
    };
    let read = NodeSettings::read(&path("boot.toml")).unwrap();
    assert_eq!(read, expected);
    let ports = [
        InternalPort::Dispatcher,
        InternalPort::Controller,
        InternalPort::Store,
    ];
    assert_eq!(
        ports.map(|port| read.internal_address(port).port()),
        [7660, 7661, 7662]
    );
}

#[test]
fn the_settings_file_with_the_required_keys_only() {
    let read = NodeSettings::read(&path("boot_least.toml")).unwrap();
    assert!(!read.first_start && !read.counts_toward_quorum && read.zones.is_empty());
    assert_eq!(
        (read.data_directory, read.listen_addresses),
        (None, ListenAddresses::default())
    );
    assert_eq!((read.limits.link_mbps, read.limits.disk_mb), (0.0, None));
    assert_eq!(
        read.fault_tolerance,
        FaultTolerance {
            machines: 0,
            zones: 0,
            regions: 0
        }
    );
    let bounds = Bounds {
        stabilization_ms: 3000,
        ack_ms: 4000,
        drain_ms: 2000,
        grace_period_s: 8.0,
        config_apply_ms: 2000,
        event_forwarding_ms: 120,
        status_retention_s: 120.0,
        cancel_ms: 3000,
        batch_visibility_ms: 1000,
        quota_overage: 0.1,
        quota_slack: 20.0,
        catch_up_s: 5.0,
    };
    assert_eq!(read.bounds, bounds);
}

/// A route with the required keys only.
fn minimal_route(name: &str, path_prefix: &str, route_type: RouteType) -> Route {
    Route {
        name: name.to_string(),
        host_name: "two.example".to_string(),
        path_prefix: path_prefix.to_string(),
        route_type,
        timeout_ms: None,
        target_latency_ms: 0,
        priority: 0,
        target_service: Some("wuno".to_string()),
        traffic_split: Vec::new(),
        max_attempts: 1,
        public_access: false,
        session_affinity: false,
        resumable: false,
        max_event_gap_ms: None,
        completion_target_ms: None,
        retention_s: None,
        max_queued_tokens: 0,
    }
}

#[test]
fn the_configuration_with_every_key() {
    let weighted = |service: &str, weight| WeightedService {
        target_service: service.to_string(),
        weight,
    };
    let complete = Route {
        name: "r-one".to_string(),
        host_name: "one.example".to_string(),
        path_prefix: "/one/".to_string(),
        route_type: RouteType::Streaming,
        timeout_ms: Some(3001),
        target_latency_ms: 302,
        priority: 3,
        target_service: Some("huvo".to_string()),
        traffic_split: vec![weighted("huvo", 90.5), weighted("wuno", 9.5)],
        max_attempts: 4,
        public_access: false,
        session_affinity: true,
        resumable: true,
        max_event_gap_ms: Some(250.5),
        completion_target_ms: Some(8006),
        retention_s: Some(40.7),
        max_queued_tokens: 1_200_008,
    };
    let engine = Engine {
        capacity_slots: 48,
        kv_cache_tokens: 232_000,
        stride: Some(19.5),
    };
    let service = |name: &str, health: Option<&str>, max_connections, engine| Service {
        name: name.to_string(),
        health_check_path: health.map(str::to_string),
        max_connections,
        engine,
    };
    let expected = Configuration {
        config_version: 9,
        route_list: vec![
            complete,
            minimal_route("r-two", "/two/", RouteType::Idempotent),
            minimal_route("r-three", "/", RouteType::NonIdempotent),
            minimal_route("r-four", "/four/", RouteType::Batch),
        ],
        service_list: vec![
            service("huvo", Some("/health"), 320, Some(engine)),
            service("wuno", None, 0, None),
        ],
        tenant_list: None,
        limits: ClientLimits {
            max_header_bytes: 16_001,
            max_body_bytes: 4_000_002,
            header_timeout_ms: 3003,
            idle_timeout_ms: 15_004,
        },
    };
    let json = text("configuration.json");
    assert_eq!(Configuration::parse(json.as_bytes()).unwrap(), expected);
    assert_eq!(
        Configuration::parse_from_operator(json.as_bytes()).unwrap(),
        expected
    );
    let without = json.replace("\"limits\"", "\"other\"");
    let limits = ClientLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15_000,
    };
    assert_eq!(
        Configuration::parse(without.as_bytes()).unwrap().limits,
        limits
    );
}

#[test]
fn route_types_are_serialized_by_their_json_names() {
    let types = [
        RouteType::Idempotent,
        RouteType::NonIdempotent,
        RouteType::Streaming,
        RouteType::Batch,
    ];
    let written = serde_json::to_string(&types).unwrap();
    assert_eq!(
        written,
        r#"["idempotent","non_idempotent","streaming","batch"]"#
    );
    assert_eq!(
        serde_json::from_str::<[RouteType; 4]>(&written).unwrap(),
        types
    );
}

#[test]
fn violations_are_reported_by_json_key() {
    let json = text("faulty.json");
    let reported = Configuration::parse_from_operator(json.as_bytes())
        .unwrap_err()
        .to_string();
    assert_eq!(reported, text("faulty.txt").trim_end());
    let first = Configuration::parse(json.as_bytes())
        .unwrap_err()
        .to_string();
    assert_eq!(
        first,
        "M202 route_list[0].path_prefix: has to begin and end with a slash"
    );
}

fn worker(state: WorkerState) -> WorkerRecord {
    WorkerRecord {
        instance_id: "i-1f".to_string(),
        service: "huvo".to_string(),
        address: "10.3.0.9:9000".to_string(),
        zone: "hba".to_string(),
        capacity_slots: 48,
        state,
        call_sequence: 1_000,
        slow_start_until_ms: 1_764_000_000_123,
    }
}

#[test]
fn worker_records() {
    let keys = [
        CONFIGURATION,
        PLACEMENT,
        REPLICAS,
        WORKER_PREFIX,
        ENDED_JOB_PREFIX,
    ];
    assert_eq!(
        keys,
        [
            "configuration",
            "placement",
            "replicas",
            "worker/",
            "ended/"
        ]
    );
    let mut fixtures = Fixtures::read("records.txt");
    let states = [
        ("in-service", WorkerState::InService, 4_000, 0),
        ("draining", WorkerState::Draining, 4_001, 0),
        ("silent", WorkerState::Unresponsive, 4_002, 60),
        ("gone", WorkerState::Deregistered, u64::MAX, 60),
    ];
    for (name, state, version, ttl_s) in states {
        let record = worker(state).to_record();
        assert_eq!(record.key, "worker/i-1f");
        assert_eq!((record.version, record.ttl_s), (version, ttl_s), "{name}");
        fixtures.same(&format!("body-{name}"), &record.body);
        fixtures.check(&format!("worker-{name}"), &worker(state));
        fixtures.check(&format!("state-{name}"), &state);
    }
    fixtures.check(
        "incarnation",
        &Incarnation::from_number(0x0123_4567_89ab_cdef).unwrap(),
    );
    fixtures.done();
}

fn store_with_region() -> StoreEntry {
    StoreEntry {
        id: StoreId(21),
        node_name: "disk-21".to_string(),
        address: "10.21.0.36:7662".to_string(),
        zone: "zone-21".to_string(),
        decommissioning: false,
        region: Some("region-1".to_string()),
        counts_toward_quorum: None,
    }
}

fn shard_with_rules() -> ShardAssignment {
    let domain = |zone: &str, region: &str| FailureDomain {
        zone: zone.to_string(),
        region: region.to_string(),
        counts_toward_quorum: true,
    };
    let rule = |domains| QuorumRule {
        tolerance: FaultTolerance {
            machines: 2,
            zones: 1,
            regions: 1,
        },
        domains,
    };
    let moved = vec![domain("zone-21", "region-1"), domain("zone-22", "region-2")];
    ShardAssignment {
        epoch: 8,
        replicas: vec![StoreId(21), StoreId(22)],
        previous: vec![StoreId(22)],
        last_active_epoch: Some(7),
        rule: Some(rule(moved)),
        previous_rule: Some(rule(vec![domain("zone-22", "region-2")])),
    }
}

/// A store and a shard as releases have them that know neither regions nor rules.
#[derive(Debug, PartialEq, minicbor::Decode)]
struct FormerStoreEntry {
    #[n(0)]
    id: StoreId,
    #[n(1)]
    node_name: String,
    #[n(2)]
    address: String,
    #[n(3)]
    zone: String,
    #[n(4)]
    decommissioning: bool,
}

#[derive(Debug, PartialEq, minicbor::Decode)]
struct FormerShardAssignment {
    #[n(0)]
    epoch: u64,
    #[n(1)]
    replicas: Vec<StoreId>,
    #[n(2)]
    previous: Vec<StoreId>,
    #[n(3)]
    last_active_epoch: Option<u64>,
}

#[test]
fn placements_with_rules() {
    let mut fixtures = Fixtures::read("failure_domains.txt");
    fixtures.check("store-with-region", &store_with_region());
    let uncounted = StoreEntry {
        counts_toward_quorum: Some(false),
        ..store_with_region()
    };
    fixtures.check("store-uncounted", &uncounted);
    fixtures.check("shard-with-rules", &shard_with_rules());
    fixtures.done();
}

#[test]
fn an_earlier_release_reads_placements_with_rules() {
    let (store, shard) = (store_with_region(), shard_with_rules());
    let bytes = minicbor::to_vec(&store).unwrap();
    let former: FormerStoreEntry = minicbor::decode(&bytes).unwrap();
    assert_eq!((former.id, former.zone), (store.id, store.zone));
    assert_eq!(former.node_name, store.node_name);
    assert_eq!(
        (former.address, former.decommissioning),
        (store.address, false)
    );
    let bytes = minicbor::to_vec(&shard).unwrap();
    let former: FormerShardAssignment = minicbor::decode(&bytes).unwrap();
    let expected = FormerShardAssignment {
        epoch: shard.epoch,
        replicas: shard.replicas,
        previous: shard.previous,
        last_active_epoch: shard.last_active_epoch,
    };
    assert_eq!(former, expected);
}

#[test]
fn placements() {
    let store = |id: u64, decommissioning| StoreEntry {
        id: StoreId(id),
        node_name: format!("disk-{id}"),
        address: format!("10.{id}.0.36:7662"),
        zone: format!("zone-{id}"),
        decommissioning,
        region: None,
        counts_toward_quorum: None,
    };
    let joint = ShardAssignment {
        epoch: 8,
        replicas: vec![StoreId(21), StoreId(22)],
        previous: vec![StoreId(22)],
        last_active_epoch: Some(7),
        ..ShardAssignment::default()
    };
    let active = ShardAssignment {
        epoch: 9,
        replicas: vec![StoreId(22)],
        previous: vec![],
        last_active_epoch: None,
        ..ShardAssignment::default()
    };
    let mut fixtures = Fixtures::read("placements.txt");
    fixtures.check("store", &store(21, false));
    fixtures.check("store-retiring", &store(22, true));
    fixtures.check("shard-joint", &joint);
    fixtures.check("shard-settled", &active);
    fixtures.check("empty", &Placement::default());
    let stores = vec![store(21, false), store(22, true)];
    fixtures.check(
        "whole",
        &Placement {
            epoch: 70_000,
            stores,
            shards: vec![joint, active],
        },
    );
    fixtures.done();
}

#[test]
fn hosts_keep_their_shards() {
    assert_eq!(SHARD_COUNT, 16);
    let shards = ["one.example", "TWO.example", "ficu95.example", ""].map(Placement::shard_of_host);
    assert_eq!(text("shards.txt").trim_end(), format!("{shards:?}"));
}

/// The next bytes on a connection.
async fn read(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    timeout(STEP_TIMEOUT, stream.read_exact(&mut bytes))
        .await
        .expect("too few bytes")
        .unwrap();
    bytes
}

/// Compares the bytes that differ in each run with the expected ones, and replaces them by zeros.
fn zeroed(mut bytes: Vec<u8>, offset: usize, expected: &[u8]) -> Vec<u8> {
    let field = &mut bytes[offset..offset + expected.len()];
    assert_eq!(field, expected);
    field.fill(0);
    bytes
}

/// Reads a handshake of this process, with its port and incarnation replaced by zeros.
async fn read_handshake(
    stream: &mut TcpStream,
    address: SocketAddr,
    incarnation: Incarnation,
) -> Vec<u8> {
    let bytes = zeroed(read(stream, 29).await, 11, &address.port().to_be_bytes());
    zeroed(bytes, 13, &incarnation.number().to_be_bytes())
}

#[tokio::test]
async fn bytes_written_by_the_dialing_side() {
    let mut fixtures = Fixtures::read("transport.txt");
    let (process, _events) = start_process().await;
    let (address, incarnation) = (process.local_address(), process.incarnation());
    let (listener, peer) = bind_listener().await;
    assert!(process.notify(peer, Channel::Gossip, Bytes::from_static(b"notice")));
    let (mut stream, _) = listener.accept().await.unwrap();
    fixtures.same(
        "greeting",
        &read_handshake(&mut stream, address, incarnation).await,
    );
    fixtures.same("notice-overlay", &read(&mut stream, 20).await);
    stream
        .write_all(&fixtures.take("reply-of-another"))
        .await
        .unwrap();
    let caller = process.clone();
    let call = tokio::spawn(async move {
        caller
            .call(
                peer,
                Channel::Register,
                Bytes::from_static(b"call"),
                STEP_TIMEOUT,
            )
            .await
    });
    fixtures.same("call-register", &read(&mut stream, 18).await);
    stream
        .write_all(&fixtures.take("answer-register"))
        .await
        .unwrap();
    assert_eq!(call.await.unwrap(), Ok(Bytes::from_static(b"answer")));
    assert!(process.notify(peer, Channel::Control, Bytes::new()));
    fixtures.same("notice-duties", &read(&mut stream, 14).await);
    // The next connection is meant for the incarnation that has replied.
    drop(stream);
    let (mut stream, _) = loop {
        process.notify(peer, Channel::Batch, Bytes::from_static(b"lots"));
        if let Ok(accepted) = timeout(STEP_TIMEOUT / 100, listener.accept()).await {
            break accepted.unwrap();
        }
    };
    fixtures.same(
        "greeting-expected",
        &read_handshake(&mut stream, address, incarnation).await,
    );
    fixtures.same("notice-lots", &read(&mut stream, 18).await);
    // Another incarnation dials with that address, which is then queried.
    let mut other = TcpStream::connect(address).await.unwrap();
    let SocketAddr::V4(from) = peer else {
        panic!("no IPv4 address")
    };
    let mut handshake = fixtures.take("greeting-of-another");
    handshake[7..11].copy_from_slice(&from.ip().octets());
    handshake[11..13].copy_from_slice(&from.port().to_be_bytes());
    other.write_all(&handshake).await.unwrap();
    let (mut query, _) = timeout(STEP_TIMEOUT, listener.accept())
        .await
        .unwrap()
        .unwrap();
    fixtures.same(
        "greeting-question",
        &read_handshake(&mut query, address, incarnation).await,
    );
    fixtures.done();
}

#[tokio::test]
async fn bytes_read_and_written_by_the_accepting_side() {
    let mut fixtures = Fixtures::read("transport_accepted.txt");
    let (process, mut events) = start_process().await;
    let mut stream = TcpStream::connect(process.local_address()).await.unwrap();
    stream.write_all(&fixtures.take("greeting")).await.unwrap();
    let reply = zeroed(
        read(&mut stream, 14).await,
        6,
        &process.incarnation().number().to_be_bytes(),
    );
    fixtures.same("reply", &reply);
    stream
        .write_all(&fixtures.take("notice-lots"))
        .await
        .unwrap();
    assert_eq!(
        next_event(&mut events).await,
        notification("127.0.0.1:1".parse().unwrap(), "notice")
    );
    stream.write_all(&fixtures.take("call-lots")).await.unwrap();
    let response = read(&mut stream, 22).await;
    fixtures.same("answer-lots", &response);
    assert!(hex(&response).ends_with(&hex(b"callcall")));
    fixtures.done();
}
