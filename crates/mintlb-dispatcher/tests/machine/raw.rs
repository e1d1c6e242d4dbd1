//! A worker whose connections a test handles byte by byte.

use super::{STEP, header, listener};
use mintlb_common::record::{WorkerRecord, WorkerState};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// It accepts a connection when the test says so.
pub struct RawWorker {
    pub record: WorkerRecord,
    pub address: SocketAddr,
    listener: TcpListener,
}

/// One of its connections, with the bytes read and not taken.
pub struct RawConnection {
    stream: TcpStream,
    pub read: Vec<u8>,
}

impl RawWorker {
    pub async fn start(instance_id: &str, service: &str) -> RawWorker {
        let listener = listener().await;
        let address = listener.local_addr().unwrap();
        let record = WorkerRecord {
            instance_id: instance_id.into(),
            service: service.into(),
            address: address.to_string(),
            zone: "a".to_string(),
            capacity_slots: 4,
            state: WorkerState::InService,
            call_sequence: 1,
            slow_start_until_ms: 0,
        };
        RawWorker {
            record,
            address,
            listener,
        }
    }

    pub async fn accept(&self) -> RawConnection {
        let accepted = timeout(STEP, self.listener.accept())
            .await
            .expect("no connection comes");
        RawConnection {
            stream: accepted.unwrap().0,
            read: Vec::new(),
        }
    }
}

impl RawConnection {
    /// Reads and consumes the next head; bytes behind it stay buffered.
    pub async fn head(&mut self) -> String {
        loop {
            if let Some(end) = self.read.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                return String::from_utf8(self.read.drain(..end + 4).collect()).unwrap();
            }
            assert!(
                self.more().await,
                "closed before a head: {:?}",
                String::from_utf8_lossy(&self.read)
            );
        }
    }

    /// The next complete request.
    pub async fn request(&mut self) -> (String, Vec<u8>) {
        let head = self.head().await;
        let length = header(&head, "content-length").map_or(0, |length| length.parse().unwrap());
        while self.read.len() < length {
            assert!(self.more().await, "closed before its body");
        }
        let body = self.read.drain(..length).collect();
        (head, body)
    }

    /// All that still comes until the other side closes.
    pub async fn rest(mut self) -> Vec<u8> {
        while self.more().await {}
        self.read
    }

    /// Waits for some bytes.
    pub async fn some(&mut self) {
        assert!(self.more().await, "closed");
    }

    async fn more(&mut self) -> bool {
        let read = timeout(STEP, self.stream.read_buf(&mut self.read))
            .await
            .expect("no bytes come");
        matches!(read, Ok(1..))
    }

    pub async fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// A complete 200 to the request with this id.
    pub async fn answer(&mut self, id: &str, body: &str) {
        self.write(&ok(id, body)).await;
    }

    /// Cuts the connection with a reset.
    pub fn reset(self) {
        self.stream.set_zero_linger().unwrap();
    }
}

/// A complete 200 to the request with this id, its connection kept for 5 s.
pub fn ok(id: &str, body: &str) -> String {
    let own = format!(
        "mintlb-request-id: {id}\r\nmintlb-response-signature: s-{id}\r\nkeep-alive: timeout=5\r\n"
    );
    format!(
        "HTTP/1.1 200 OK\r\n{own}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Says that the request with this id has not run.
pub fn not_run(id: &str) -> String {
    let own = format!(
        "mintlb-request-id: {id}\r\nmintlb-not-executed: full\r\nkeep-alive: timeout=5\r\n"
    );
    format!("HTTP/1.1 503 Full\r\n{own}content-length: 0\r\n\r\n")
}
