//! A peer that speaks the protocol byte by byte, written without the code under test.

use super::STEP_TIMEOUT;
use mintlb_common::transport::Channel;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

pub const NOTIFICATION: u8 = 0;
pub const REQUEST: u8 = 1;
pub const RESPONSE: u8 = 2;

const PROTOCOL: &[u8; 6] = b"mintl2";
const HANDSHAKE_BYTES: usize = 29;
const REPLY_BYTES: usize = 14;
const HEADER_BYTES: usize = 14;
const PURPOSE_MESSAGES: u8 = 0;

/// A frame as the raw peer reads it.
#[derive(Debug, PartialEq)]
pub struct RawFrame {
    pub kind: u8,
    pub call: u64,
    pub body: Vec<u8>,
}

/// Builds the handshake of a peer that dials.
#[derive(Clone, Copy)]
pub struct Dialer {
    address: SocketAddr,
    incarnation: u64,
    expected: u64,
}

impl Dialer {
    /// A peer that claims this address, as incarnation 1, and expects no particular incarnation.
    pub fn at(address: SocketAddr) -> Dialer {
        Dialer {
            address,
            incarnation: 1,
            expected: 0,
        }
    }

    pub fn with_incarnation(self, incarnation: u64) -> Dialer {
        Dialer {
            incarnation,
            ..self
        }
    }

    pub fn expecting(self, expected: u64) -> Dialer {
        Dialer { expected, ..self }
    }

    /// Dials a process. Returns the connection and the incarnation that replies.
    pub async fn dial(self, to: SocketAddr) -> (RawPeer, u64) {
        let mut stream = TcpStream::connect(to).await.unwrap();
        stream.write_all(&self.handshake()).await.unwrap();
        let mut reply = [0; REPLY_BYTES];
        let read = timeout(STEP_TIMEOUT, stream.read_exact(&mut reply)).await;
        read.expect("no reply").unwrap();
        let (protocol, incarnation) = reply.split_at(PROTOCOL.len());
        assert_eq!(protocol, PROTOCOL);
        let incarnation = u64::from_be_bytes(incarnation.try_into().unwrap());
        (RawPeer(stream), incarnation)
    }

    fn handshake(self) -> Vec<u8> {
        let SocketAddr::V4(address) = self.address else {
            panic!("no IPv4 address")
        };
        let mut handshake = PROTOCOL.to_vec();
        handshake.push(PURPOSE_MESSAGES);
        handshake.extend(address.ip().octets());
        handshake.extend(address.port().to_be_bytes());
        handshake.extend(self.incarnation.to_be_bytes());
        handshake.extend(self.expected.to_be_bytes());
        handshake
    }
}

/// A connection that speaks the protocol.
pub struct RawPeer(pub TcpStream);

impl RawPeer {
    /// Accepts the next connection for messages and replies as this incarnation. Returns the
    /// connection and the incarnation that the other side expects. Identity queries are answered on
    /// the way.
    pub async fn accept(listener: &TcpListener, incarnation: u64) -> (RawPeer, u64) {
        loop {
            let accepted = timeout(STEP_TIMEOUT, listener.accept()).await;
            let (mut stream, _) = accepted.expect("nobody dials").unwrap();
            let mut handshake = [0; HANDSHAKE_BYTES];
            let read = timeout(STEP_TIMEOUT, stream.read_exact(&mut handshake)).await;
            read.expect("no handshake").unwrap();
            assert_eq!(&handshake[..6], PROTOCOL);
            let reply = [&PROTOCOL[..], &incarnation.to_be_bytes()].concat();
            stream.write_all(&reply).await.unwrap();
            if handshake[6] == PURPOSE_MESSAGES {
                let expected = u64::from_be_bytes(handshake[21..].try_into().unwrap());
                return (RawPeer(stream), expected);
            }
        }
    }

    /// Writes a frame on [`Channel::Batch`].
    pub async fn write(&mut self, kind: u8, call: u64, body: &str) {
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        frame.extend([Channel::Batch as u8, kind]);
        frame.extend(call.to_be_bytes());
        frame.extend(body.as_bytes());
        self.0.write_all(&frame).await.unwrap();
    }

    /// Reads a frame.
    pub async fn read(&mut self) -> RawFrame {
        let header = self.read_bytes(HEADER_BYTES).await;
        let body_bytes = u32::from_be_bytes(header[..4].try_into().unwrap());
        RawFrame {
            kind: header[5],
            call: u64::from_be_bytes(header[6..].try_into().unwrap()),
            body: self.read_bytes(body_bytes as usize).await,
        }
    }

    /// Waits until the other side has closed the connection, without having sent anything more.
    pub async fn expect_closed(mut self) {
        let mut rest = Vec::new();
        let read = timeout(STEP_TIMEOUT, self.0.read_to_end(&mut rest)).await;
        read.expect("the connection stays open").ok();
        assert!(rest.is_empty(), "{rest:?}");
    }

    async fn read_bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        let read = timeout(STEP_TIMEOUT, self.0.read_exact(&mut bytes)).await;
        read.expect("too few bytes").unwrap();
        bytes
    }
}
