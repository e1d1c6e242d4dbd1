//! The limits that tests play with, a log that nobody reads, and a front on loopback.
#![allow(dead_code, reason = "each of the tests that share it uses a part")]

use mintlb_core::clock::Clock;
use mintlb_core::figures::Figures;
use mintlb_core::reducer::Event;
use mintlb_core::room::Room;
use mintlb_core::standing::{Notice, Standing, Word};
use mintlb_core::types::Named;
use mintlb_core::work::Numbers;
use mintlb_http::front::Front;
use mintlb_http::limits::Limits;
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
pub fn limits() -> Limits {
    let time = Duration::from_millis;
    Limits {
        body: 64 << 10,
        head: 16 << 10,
        line: 128 << 10,
        list_line: 4 << 20,
        clients: 512,
        links: 384,
        idle_per_worker: 8,
        dial: time(250),
        sound: time(250) / 32,
        idle: time(3750),
        dear: time(50),
        read: time(2000),
        probe: time(500),
        list_silence: time(2500),
        list_call: time(2750),
        come_back: 0.2,
    }
}

pub fn quiet() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

pub struct Served {
    pub front: Arc<Front>,
    pub standing: Arc<Mutex<Standing>>,
    pub clock: Clock,
    pub at: SocketAddr,
}

/// A front of one project type, `w`, and what it tells.
pub async fn served() -> (Served, UnboundedReceiver<Event>) {
    let (tell, events) = unbounded_channel();
    let clock = Clock::start();
    let standing = Arc::new(Mutex::new(Standing::new(Notice {
        leave: 0.0,
        stop: 0.0,
    })));
    standing.lock().hear(clock.now(), Word::Ready).unwrap();
    let shared = (
        Numbers::default(),
        Room::new(64, 1 << 20),
        clock,
        standing.clone(),
    );
    let front = Front::new(Vec::new(), limits(), shared, tell, quiet());
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
    front.take_types(
        &[Named {
            name: "w".into(),
            number: 0,
            project_type,
        }],
        &Figures::default(),
    );
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(front.clone().listen(listener));
    (
        Served {
            front,
            standing,
            clock,
            at,
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
