//! Fixture: a link of limited bandwidth in front of a server. All connections share it, towards the
//! server; what comes back is not limited.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Bytes that pass at a time.
const SEGMENT_BYTES: usize = 16 << 10;
/// What the system buffers of a connection in front of the link, about.
const BUFFER_BYTES: u32 = 64 << 10;

/// A link, until it is dropped.
pub struct NarrowLink {
    pub address: SocketAddr,
    passed_bytes: Arc<AtomicU64>,
    _connections: JoinSet<()>,
}

/// What all connections share.
#[derive(Clone)]
struct Shared {
    server: SocketAddr,
    /// Held by the connection whose bytes pass.
    turn: Arc<Mutex<()>>,
    bytes_per_second: u32,
    passed_bytes: Arc<AtomicU64>,
}

impl NarrowLink {
    pub fn open(server: SocketAddr, bytes_per_second: u32) -> NarrowLink {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(BUFFER_BYTES).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(64).unwrap();
        let address = listener.local_addr().unwrap();
        let passed_bytes = Arc::new(AtomicU64::new(0));
        let shared = Shared {
            server,
            turn: Arc::default(),
            bytes_per_second,
            passed_bytes: passed_bytes.clone(),
        };
        let mut connections = JoinSet::new();
        connections.spawn(accept(listener, shared));
        NarrowLink {
            address,
            passed_bytes,
            _connections: connections,
        }
    }

    /// Bytes that have passed towards the server.
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Relaxed)
    }
}

async fn accept(listener: TcpListener, shared: Shared) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        connections.spawn(shared.clone().relay(client));
    }
}

impl Shared {
    async fn relay(self, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.server).await else {
            return;
        };
        let (from_client, mut to_client) = client.into_split();
        let (mut from_server, to_server) = server.into_split();
        let back = tokio::spawn(async move {
            tokio::io::copy(&mut from_server, &mut to_client).await.ok();
        });
        self.pass(from_client, to_server).await;
        back.abort();
    }

    async fn pass(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut segment = vec![0; SEGMENT_BYTES];
        while let Ok(length @ 1..) = from.read(&mut segment).await {
            let time = Duration::from_secs_f64(length as f64 / f64::from(self.bytes_per_second));
            let turn = self.turn.lock().await;
            sleep(time).await;
            self.passed_bytes.fetch_add(length as u64, Relaxed);
            drop(turn);
            if to.write_all(&segment[..length]).await.is_err() {
                return;
            }
        }
    }
}
