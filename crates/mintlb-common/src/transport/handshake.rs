//! The handshake at the start of each connection: the dialing side introduces itself, the accepting
//! side replies with its incarnation.

use crate::incarnation::Incarnation;
use bytes::{Buf, BufMut, BytesMut};
use std::net::{SocketAddr, SocketAddrV4};

/// Name and version of the protocol.
const PROTOCOL: [u8; 6] = *b"mintl2";
/// Length of a [`Handshake`]: protocol, purpose, address and port, two incarnations.
pub const HANDSHAKE_BYTES: usize = PROTOCOL.len() + 1 + 4 + 2 + 8 + 8;
/// Length of a [`HandshakeReply`]: protocol and incarnation.
pub const REPLY_BYTES: usize = PROTOCOL.len() + 8;

/// The purpose of a connection. The discriminants are on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Frames follow.
    Messages = 0,
    /// The connection ends with the reply, which names the incarnation at the address.
    IdentityQuery = 1,
}

impl Purpose {
    fn from_byte(byte: u8) -> Option<Purpose> {
        match byte {
            0 => Some(Purpose::Messages),
            1 => Some(Purpose::IdentityQuery),
            _ => None,
        }
    }
}

/// The introduction of the dialing side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handshake {
    /// The purpose of the connection.
    pub purpose: Purpose,
    /// The internal address of the sender.
    pub address: SocketAddrV4,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The only incarnation that may receive the frames; `None` if any may.
    pub expected: Option<Incarnation>,
}

impl Handshake {
    /// Encodes the handshake.
    pub fn encode(self) -> BytesMut {
        let mut bytes = BytesMut::with_capacity(HANDSHAKE_BYTES);
        bytes.put_slice(&PROTOCOL);
        bytes.put_u8(self.purpose as u8);
        bytes.put_slice(&self.address.ip().octets());
        bytes.put_u16(self.address.port());
        bytes.put_u64(self.incarnation.number());
        bytes.put_u64(self.expected.map_or(0, Incarnation::number));
        bytes
    }

    /// Decodes a handshake; `None` if it belongs to another protocol or version.
    pub fn decode(bytes: &[u8; HANDSHAKE_BYTES]) -> Option<Handshake> {
        let mut rest = bytes.strip_prefix(&PROTOCOL)?;
        let purpose = Purpose::from_byte(rest.get_u8())?;
        let ip = rest.get_u32();
        let address = SocketAddrV4::new(ip.into(), rest.get_u16());
        let incarnation = Incarnation::from_number(rest.get_u64())?;
        let expected = Incarnation::from_number(rest.get_u64());
        Some(Handshake {
            purpose,
            address,
            incarnation,
            expected,
        })
    }

    /// The internal address of the sender.
    pub fn sender(&self) -> SocketAddr {
        SocketAddr::V4(self.address)
    }

    /// Whether the frames that follow may be received by this incarnation.
    pub fn is_addressed_to(&self, incarnation: Incarnation) -> bool {
        self.expected.is_none_or(|expected| expected == incarnation)
    }
}

/// The reply of the accepting side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandshakeReply {
    /// The incarnation of the process that replies.
    pub incarnation: Incarnation,
}

impl HandshakeReply {
    /// Encodes the reply.
    pub fn encode(self) -> BytesMut {
        let mut bytes = BytesMut::with_capacity(REPLY_BYTES);
        bytes.put_slice(&PROTOCOL);
        bytes.put_u64(self.incarnation.number());
        bytes
    }

    /// Decodes a reply; `None` if it belongs to another protocol or version.
    pub fn decode(bytes: &[u8; REPLY_BYTES]) -> Option<HandshakeReply> {
        let mut rest = bytes.strip_prefix(&PROTOCOL)?;
        let incarnation = Incarnation::from_number(rest.get_u64())?;
        Some(HandshakeReply { incarnation })
    }
}
