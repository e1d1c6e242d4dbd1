//! The limits that tests play with, a log that nobody reads, and a front on loopback.
#![allow(dead_code, reason = "each of the tests that share it uses a part")]

use mintlb_core::capacity::Capacity;
use mintlb_core::clock::Clock;
use mintlb_core::lifecycle::{CloseDelays, Lifecycle, LifecycleEvent};
use mintlb_core::metrics::Metrics;
use mintlb_core::project_types::NamedProjectType;
use mintlb_core::reducer::Event;
use mintlb_core::work::WorkUnitIds;
use mintlb_http::frontend::Frontend;
use mintlb_http::limits::HttpLimits;
use mintlb_scheduler::{Idempotency, ProjectType};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;

/// As a machine of 192 MB and 1024 descriptors has them, where dials take 250 ms at most.
pub fn limits() -> HttpLimits {
    let time = Duration::from_millis;
    HttpLimits {
        max_body_bytes: 64 << 10,
        max_head_bytes: 16 << 10,
        max_worker_line_bytes: 128 << 10,
        max_list_line_bytes: 4 << 20,
        max_client_connections: 512,
        max_worker_connections: 384,
        max_idle_per_worker: 8,
        dial_timeout: time(250),
        last_byte_delay: time(250) / 32,
        idle_timeout: time(3750),
        reuse_threshold: time(50),
        read_timeout: time(2000),
        probe_timeout: time(500),
        list_idle_timeout: time(2500),
        list_call_timeout: time(2750),
        retry_after_s: 0.2,
    }
}

pub fn quiet() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

pub struct Served {
    pub frontend: Arc<Frontend>,
    pub lifecycle: Arc<Mutex<Lifecycle>>,
    pub clock: Clock,
    pub address: SocketAddr,
}

/// A front of one project type, `w`, and what it tells.
pub async fn served() -> (Served, UnboundedReceiver<Event>) {
    let (tell, events) = unbounded_channel();
    let clock = Clock::start();
    let lifecycle = Arc::new(Mutex::new(Lifecycle::new(CloseDelays {
        after_leave: 0.0,
        after_stop: 0.0,
    })));
    lifecycle
        .lock()
        .apply(clock.now(), LifecycleEvent::Ready)
        .unwrap();
    let shared = (
        WorkUnitIds::default(),
        Capacity::new(64, 1 << 20),
        clock,
        lifecycle.clone(),
    );
    let frontend = Frontend::new(Vec::new(), limits(), shared, tell, quiet());
    let (credit, late_credit, promised_turnaround, turnaround_stretch, hard_limit) =
        (1.0, 0.0, 1.0, 0.0, 3.0);
    let (idempotency, machine_kind) = (Idempotency::Idempotent, None);
    let project_type = ProjectType {
        credit,
        late_credit,
        promised_turnaround,
        turnaround_stretch,
        hard_limit,
        idempotency,
        machine_kind,
    };
    frontend.set_project_types(
        &[NamedProjectType {
            name: "w".into(),
            number: 0,
            project_type,
        }],
        &Metrics::default(),
    );
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(frontend.clone().listen(listener));
    (
        Served {
            frontend,
            lifecycle,
            clock,
            address,
        },
        events,
    )
}

/// All that comes until an answer is whole, or the connection ends.
pub async fn answer(stream: &mut TcpStream) -> String {
    let (mut got, mut piece) = (String::new(), [0; 1024]);
    while !got.ends_with("yes") {
        let read = timeout(Duration::from_secs(4), stream.read(&mut piece))
            .await
            .expect("an answer or an end");
        match read {
            Ok(0) | Err(_) => break,
            Ok(n) => got += &String::from_utf8_lossy(&piece[..n]),
        }
    }
    got
}
