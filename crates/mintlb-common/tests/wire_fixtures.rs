//! What the outside writes for this crate and what it writes for others: the settings file, the operator's
//! configuration, the bodies of records, the bytes on a connection. Processes of different releases read them from each
//! other, so that no release may change them. What the program writes was taken from it before its names were changed;
//! what it reads (the two files, the other side of a connection) is written by hand and was read by that program.

mod fixture;
mod messages;

use bytes::Bytes;
use fixture::{Fixtures, hex, path};
use messages::{WAIT, listener, next, notice, process};
use mintlb_common::configuration::{
    ClientLimits, Configuration, Engine, Route, RouteType, Service, WeightedService,
};
use mintlb_common::incarnation::Incarnation;
use mintlb_common::placement::{Placement, SHARD_COUNT, ShardAssignment, StoreEntry};
use mintlb_common::record::{
    CONFIGURATION, ENDED_JOB_PREFIX, PLACEMENT, REPLICAS, WORKER_PREFIX, WorkerRecord, WorkerState,
};
use mintlb_common::settings::{
    Bounds, FaultTolerance, InternalPort, Limits, ListenAddresses, NodeSettings, SETTINGS_VARIABLE,
};
use mintlb_common::transport::Channel;
use std::net::SocketAddr;
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
fn the_settings_file_with_the_fewest_keys() {
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
        catch_up_s: 5.0,
    };
    assert_eq!(read.bounds, bounds);
}

/// A route with the required keys only.
fn least_route(name: &str, path_prefix: &str, route_type: RouteType) -> Route {
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
    let part = |service: &str, weight| WeightedService {
        target_service: service.to_string(),
        weight,
    };
    let whole = Route {
        name: "r-one".to_string(),
        host_name: "one.example".to_string(),
        path_prefix: "/one/".to_string(),
        route_type: RouteType::Streaming,
        timeout_ms: Some(3001),
        target_latency_ms: 302,
        priority: 3,
        target_service: Some("huvo".to_string()),
        traffic_split: vec![part("huvo", 90.5), part("wuno", 9.5)],
        max_attempts: 4,
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
            whole,
            least_route("r-two", "/two/", RouteType::Idempotent),
            least_route("r-three", "/", RouteType::NonIdempotent),
            least_route("r-four", "/four/", RouteType::Batch),
        ],
        service_list: vec![
            service("huvo", Some("/health"), 320, Some(engine)),
            service("wuno", None, 0, None),
        ],
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
fn the_names_of_route_types_are_written_as_they_are_read() {
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
fn the_operator_is_told_of_faults_by_the_names_of_the_keys() {
    let json = text("faulty.json");
    let told = Configuration::parse_from_operator(json.as_bytes())
        .unwrap_err()
        .to_string();
    assert_eq!(told, text("faulty.txt").trim_end());
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
fn records() {
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

#[test]
fn placements() {
    let store = |id: u64, retiring| StoreEntry {
        id,
        node_name: format!("disk-{id}"),
        address: format!("10.{id}.0.36:7662"),
        zone: format!("zone-{id}"),
        retiring,
    };
    let joint = ShardAssignment {
        epoch: 8,
        replicas: vec![21, 22],
        previous: vec![22],
        last_active_epoch: Some(7),
    };
    let settled = ShardAssignment {
        epoch: 9,
        replicas: vec![22],
        previous: vec![],
        last_active_epoch: None,
    };
    let mut fixtures = Fixtures::read("placements.txt");
    fixtures.check("store", &store(21, false));
    fixtures.check("store-retiring", &store(22, true));
    fixtures.check("shard-joint", &joint);
    fixtures.check("shard-settled", &settled);
    fixtures.check("empty", &Placement::default());
    let stores = vec![store(21, false), store(22, true)];
    fixtures.check(
        "whole",
        &Placement {
            epoch: 70_000,
            stores,
            shards: vec![joint, settled],
        },
    );
    fixtures.done();
}

#[test]
fn the_shards_of_hosts() {
    assert_eq!(SHARD_COUNT, 16);
    let shards = ["one.example", "TWO.example", "ficu95.example", ""].map(Placement::shard_of);
    assert_eq!(text("shards.txt").trim_end(), format!("{shards:?}"));
}

/// The next bytes on a connection.
async fn read(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    timeout(WAIT, stream.read_exact(&mut bytes))
        .await
        .expect("too few bytes")
        .unwrap();
    bytes
}

/// Replaces what is drawn anew in each run by zeros, after a comparison.
fn blanked(mut bytes: Vec<u8>, at: usize, drawn: &[u8]) -> Vec<u8> {
    let place = &mut bytes[at..at + drawn.len()];
    assert_eq!(place, drawn);
    place.fill(0);
    bytes
}

/// Reads a greeting of this process, without its port and its incarnation.
async fn greeting(stream: &mut TcpStream, own: SocketAddr, incarnation: Incarnation) -> Vec<u8> {
    let bytes = blanked(read(stream, 29).await, 11, &own.port().to_be_bytes());
    blanked(bytes, 13, &incarnation.number().to_be_bytes())
}

#[tokio::test]
async fn what_the_dialling_side_writes() {
    let mut fixtures = Fixtures::read("transport.txt");
    let (a, _sees) = process().await;
    let (own, life) = (a.local_address(), a.incarnation());
    let (listener, there) = listener().await;
    assert!(a.notify(there, Channel::Gossip, Bytes::from_static(b"notice")));
    let (mut stream, _) = listener.accept().await.unwrap();
    fixtures.same("greeting", &greeting(&mut stream, own, life).await);
    fixtures.same("notice-overlay", &read(&mut stream, 20).await);
    stream
        .write_all(&fixtures.take("reply-of-another"))
        .await
        .unwrap();
    let caller = a.clone();
    let call = tokio::spawn(async move {
        caller
            .call(there, Channel::Register, Bytes::from_static(b"call"), WAIT)
            .await
    });
    fixtures.same("call-register", &read(&mut stream, 18).await);
    stream
        .write_all(&fixtures.take("answer-register"))
        .await
        .unwrap();
    assert_eq!(call.await.unwrap(), Ok(Bytes::from_static(b"answer")));
    assert!(a.notify(there, Channel::Control, Bytes::new()));
    fixtures.same("notice-duties", &read(&mut stream, 14).await);
    // The next connection is meant for the life that has answered.
    drop(stream);
    let (mut stream, _) = loop {
        a.notify(there, Channel::Batch, Bytes::from_static(b"lots"));
        if let Ok(accepted) = timeout(WAIT / 100, listener.accept()).await {
            break accepted.unwrap();
        }
    };
    fixtures.same("greeting-expected", &greeting(&mut stream, own, life).await);
    fixtures.same("notice-lots", &read(&mut stream, 18).await);
    // Another life dials from there: it is asked who is there.
    let mut other = TcpStream::connect(own).await.unwrap();
    let SocketAddr::V4(from) = there else {
        panic!("no IPv4 address")
    };
    let mut dialled = fixtures.take("greeting-of-another");
    dialled[7..11].copy_from_slice(&from.ip().octets());
    dialled[11..13].copy_from_slice(&from.port().to_be_bytes());
    other.write_all(&dialled).await.unwrap();
    let (mut asked, _) = timeout(WAIT, listener.accept()).await.unwrap().unwrap();
    fixtures.same("greeting-question", &greeting(&mut asked, own, life).await);
    fixtures.done();
}

#[tokio::test]
async fn what_the_accepting_side_reads_and_writes() {
    let mut fixtures = Fixtures::read("transport_accepted.txt");
    let (a, mut sees) = process().await;
    let mut stream = TcpStream::connect(a.local_address()).await.unwrap();
    stream.write_all(&fixtures.take("greeting")).await.unwrap();
    let reply = blanked(
        read(&mut stream, 14).await,
        6,
        &a.incarnation().number().to_be_bytes(),
    );
    fixtures.same("reply", &reply);
    stream
        .write_all(&fixtures.take("notice-lots"))
        .await
        .unwrap();
    assert_eq!(
        next(&mut sees).await,
        notice("127.0.0.1:1".parse().unwrap(), "notice")
    );
    stream.write_all(&fixtures.take("call-lots")).await.unwrap();
    let answer = read(&mut stream, 22).await;
    fixtures.same("answer-lots", &answer);
    assert!(hex(&answer).ends_with(&hex(b"callcall")));
    fixtures.done();
}
