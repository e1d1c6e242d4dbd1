//! Shared by the tests: limits, a logger without output, and a frontend on the loopback interface.
#![allow(dead_code, reason = "each test program uses a part of this module")]

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

/// The limits of a machine with 192 MB and 1024 descriptors, with a dial time-out of 250 ms.
pub fn limits() -> HttpLimits {
    let ms = Duration::from_millis;
    HttpLimits {
        max_body_bytes: 64 << 10,
        max_head_bytes: 16 << 10,
        max_worker_line_bytes: 128 << 10,
        max_list_line_bytes: 4 << 20,
        max_client_connections: 512,
        max_worker_connections: 384,
        max_idle_per_worker: 8,
        dial_timeout: ms(250),
        last_byte_delay: ms(250) / 32,
        idle_timeout: ms(3750),
        reuse_threshold: ms(50),
        read_timeout: ms(2000),
        probe_timeout: ms(500),
        list_idle_timeout: ms(2500),
        list_call_timeout: ms(2750),
        retry_after_s: 0.2,
    }
}

pub fn discarding_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

pub struct TestFrontend {
    pub frontend: Arc<Frontend>,
    pub lifecycle: Arc<Mutex<Lifecycle>>,
    pub clock: Clock,
    pub address: SocketAddr,
}

/// Starts a frontend for one project type, `w`. Returns it with the events that it sends.
pub async fn start_frontend() -> (TestFrontend, UnboundedReceiver<Event>) {
    let (event_sender, events) = unbounded_channel();
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
    let frontend = Frontend::new(
        Vec::new(),
        limits(),
        shared,
        event_sender,
        discarding_logger(),
    );
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
        TestFrontend {
            frontend,
            lifecycle,
            clock,
            address,
        },
        events,
    )
}

/// Reads until the response is complete (its body is `yes`), or the connection ends.
pub async fn read_answer(stream: &mut TcpStream) -> String {
    let (mut received, mut buffer) = (String::new(), [0; 1024]);
    while !received.ends_with("yes") {
        let read = timeout(Duration::from_secs(4), stream.read(&mut buffer))
            .await
            .expect("a response or the end of the connection within 4 s");
        match read {
            Ok(0) | Err(_) => break,
            Ok(n) => received += &String::from_utf8_lossy(&buffer[..n]),
        }
    }
    received
}
