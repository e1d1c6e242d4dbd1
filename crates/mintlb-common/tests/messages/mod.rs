//! A service that tells what it sees, and a stand-in process that speaks the protocol byte by byte.

#![allow(dead_code, reason = "each test file uses a part of it")]

use bytes::Bytes;
use mintlb_common::transport::{Channel, ResponseFuture, Service, Transport};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;

/// Any single step of a test is over by then.
pub const WAIT: Duration = Duration::from_secs(10);

pub const NOTICE: u8 = 0;
pub const REQUEST: u8 = 1;
pub const ANSWER: u8 = 2;

#[derive(Debug, PartialEq)]
pub enum Seen {
    Notice(SocketAddr, Bytes),
    Unreachable(SocketAddr),
    Restarted(SocketAddr, u64),
}

/// Answers a call with its body doubled; `silence` gets no answer, `what` is not understood.
struct Echo(UnboundedSender<Seen>);

impl Service for Echo {
    fn on_notification(&self, from: SocketAddr, body: Bytes) {
        self.0.send(Seen::Notice(from, body)).unwrap();
    }
    fn on_request(&self, _from: SocketAddr, body: Bytes) -> ResponseFuture {
        Box::pin(async move {
            match &body[..] {
                b"silence" => std::future::pending().await,
                b"what" => Bytes::new(),
                _ => [body.clone(), body].concat().into(),
            }
        })
    }
    fn on_peer_unreachable(&self, peer: SocketAddr) {
        self.0.send(Seen::Unreachable(peer)).unwrap();
    }
    fn on_peer_restarted(
        &self,
        peer: SocketAddr,
        incarnation: mintlb_common::incarnation::Incarnation,
    ) {
        self.0
            .send(Seen::Restarted(peer, incarnation.number()))
            .unwrap();
    }
}

/// A process whose service tells what it sees.
pub async fn process() -> (Arc<Transport>, UnboundedReceiver<Seen>) {
    let transport = Transport::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let (seen, sees) = unbounded_channel();
    transport.register_service(Channel::Batch, Arc::new(Echo(seen)));
    (transport, sees)
}

pub async fn next(sees: &mut UnboundedReceiver<Seen>) -> Seen {
    timeout(WAIT, sees.recv())
        .await
        .expect("nothing is seen")
        .unwrap()
}

pub fn notice(from: SocketAddr, body: &'static str) -> Seen {
    Seen::Notice(from, Bytes::from_static(body.as_bytes()))
}

/// A frame as a stand-in reads it.
#[derive(Debug, PartialEq)]
pub struct Read {
    pub kind: u8,
    pub call: u64,
    pub body: Vec<u8>,
}

/// A connection that speaks the protocol.
pub struct Wire(pub TcpStream);

impl Wire {
    /// Dials as this life of the process at this address; gives the incarnation that answers.
    pub async fn dial(to: SocketAddr, from: SocketAddr, own: u64, expected: u64) -> (Wire, u64) {
        let mut stream = TcpStream::connect(to).await.unwrap();
        let SocketAddr::V4(from) = from else {
            panic!("no IPv4 address")
        };
        let mut greeting = b"mintl2\0".to_vec();
        greeting.extend(from.ip().octets());
        greeting.extend(from.port().to_be_bytes());
        greeting.extend(own.to_be_bytes());
        greeting.extend(expected.to_be_bytes());
        stream.write_all(&greeting).await.unwrap();
        let mut reply = [0; 14];
        timeout(WAIT, stream.read_exact(&mut reply))
            .await
            .expect("no reply")
            .unwrap();
        assert_eq!(&reply[..6], b"mintl2");
        (
            Wire(stream),
            u64::from_be_bytes(reply[6..].try_into().unwrap()),
        )
    }

    /// Takes the next connection and answers as this life; gives what the other side expected. Questions who is there are
    /// answered on the way.
    pub async fn accept(listener: &TcpListener, own: u64) -> (Wire, u64) {
        loop {
            let (mut stream, _) = timeout(WAIT, listener.accept())
                .await
                .expect("nobody dials")
                .unwrap();
            let mut greeting = [0; 29];
            timeout(WAIT, stream.read_exact(&mut greeting))
                .await
                .expect("no greeting")
                .unwrap();
            assert_eq!(&greeting[..6], b"mintl2");
            stream
                .write_all(&[&b"mintl2"[..], &own.to_be_bytes()].concat())
                .await
                .unwrap();
            if greeting[6] == 0 {
                return (
                    Wire(stream),
                    u64::from_be_bytes(greeting[21..].try_into().unwrap()),
                );
            }
        }
    }

    pub async fn write(&mut self, kind: u8, call: u64, body: &str) {
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        frame.extend([Channel::Batch as u8, kind]);
        frame.extend(call.to_be_bytes());
        frame.extend(body.as_bytes());
        self.0.write_all(&frame).await.unwrap();
    }

    pub async fn read(&mut self) -> Read {
        let mut head = [0; 14];
        timeout(WAIT, self.0.read_exact(&mut head))
            .await
            .expect("no frame")
            .unwrap();
        let mut body = vec![0; u32::from_be_bytes(head[..4].try_into().unwrap()) as usize];
        timeout(WAIT, self.0.read_exact(&mut body))
            .await
            .expect("no body")
            .unwrap();
        Read {
            kind: head[5],
            call: u64::from_be_bytes(head[6..].try_into().unwrap()),
            body,
        }
    }

    /// Waits until the other side has closed the connection; nothing more may come on it.
    pub async fn closed(mut self) {
        let mut rest = Vec::new();
        timeout(WAIT, self.0.read_to_end(&mut rest))
            .await
            .expect("it stays open")
            .ok();
        assert!(rest.is_empty(), "{rest:?}");
    }
}

pub async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}
