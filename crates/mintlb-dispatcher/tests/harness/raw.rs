//! A worker whose connections a test handles byte by byte.

use super::{STEP_TIMEOUT, bind_loopback, header};
use mintlb_common::record::{WorkerRecord, WorkerState};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Accepts a connection when the test calls for it.
pub struct RawWorker {
    pub record: WorkerRecord,
    pub address: SocketAddr,
    listener: TcpListener,
}

/// A connection to a raw worker, with the bytes that were read and not consumed.
pub struct RawConnection {
    stream: TcpStream,
    pub read: Vec<u8>,
}

impl RawWorker {
    pub async fn start(instance_id: &str, service: &str) -> RawWorker {
        let listener = bind_loopback().await;
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
        let accepted = timeout(STEP_TIMEOUT, self.listener.accept())
            .await
            .expect("no connection was opened in time");
        RawConnection {
            stream: accepted.unwrap().0,
            read: Vec::new(),
        }
    }
}

impl RawConnection {
    /// Reads and consumes the next head; bytes after it stay buffered.
    pub async fn read_head(&mut self) -> String {
        loop {
            if let Some(end) = self.read.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                return String::from_utf8(self.read.drain(..end + 4).collect()).unwrap();
            }
            assert!(
                self.read_more().await,
                "the connection ended before a head: {:?}",
                String::from_utf8_lossy(&self.read)
            );
        }
    }

    /// Reads the next complete request.
    pub async fn read_request(&mut self) -> (String, Vec<u8>) {
        let head = self.read_head().await;
        let length = header(&head, "content-length").map_or(0, |length| length.parse().unwrap());
        while self.read.len() < length {
            assert!(
                self.read_more().await,
                "the connection ended before the body was complete"
            );
        }
        let body = self.read.drain(..length).collect();
        (head, body)
    }

    /// Reads until the dispatcher closes the connection, and returns all unconsumed bytes.
    pub async fn read_rest(mut self) -> Vec<u8> {
        while self.read_more().await {}
        self.read
    }

    /// Waits until bytes were received.
    pub async fn read_some(&mut self) {
        assert!(self.read_more().await, "the connection ended");
    }

    async fn read_more(&mut self) -> bool {
        let read = timeout(STEP_TIMEOUT, self.stream.read_buf(&mut self.read))
            .await
            .expect("no bytes were received in time");
        matches!(read, Ok(1..))
    }

    pub async fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// Responds with a complete 200 to the request with this id.
    pub async fn respond(&mut self, id: &str, body: &str) {
        self.write(&ok_response(id, body)).await;
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        self.stream.set_zero_linger().unwrap();
    }
}

/// A complete 200 to the request with this id, which declares an idle timeout of 5 s.
pub fn ok_response(id: &str, body: &str) -> String {
    let headers = format!(
        "mintlb-request-id: {id}\r\nmintlb-response-signature: s-{id}\r\nkeep-alive: timeout=5\r\n"
    );
    format!(
        "HTTP/1.1 200 OK\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A 503 which states that the request with this id was not executed.
pub fn not_executed_response(id: &str) -> String {
    let headers = format!(
        "mintlb-request-id: {id}\r\nmintlb-not-executed: full\r\nkeep-alive: timeout=5\r\n"
    );
    format!("HTTP/1.1 503 Full\r\n{headers}content-length: 0\r\n\r\n")
}
