//! The first bytes of each connection: who dials whom, and who answers.

use crate::incarnation::Incarnation;
use bytes::{Buf, BufMut, BytesMut};
use std::net::{SocketAddr, SocketAddrV4};

/// The protocol's name and version.
const PROTOCOL: [u8; 6] = *b"mintl2";
/// Bytes of a greeting: protocol, purpose, address and port, two incarnations.
pub const GREETING_BYTES: usize = PROTOCOL.len() + 1 + 4 + 2 + 8 + 8;
/// Bytes of the answer to it: protocol and incarnation.
pub const REPLY_BYTES: usize = PROTOCOL.len() + 8;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Frames follow.
    Messages = 0,
    /// The answer is all that is wanted.
    Question = 1,
}

/// What the dialling side says first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Greeting {
    /// What the connection is for.
    pub purpose: Purpose,
    /// The sender's internal address.
    pub address: SocketAddrV4,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The only incarnation that the frames are meant for; none if any will do.
    pub expected: Option<Incarnation>,
}

impl Greeting {
    /// Writes the greeting.
    pub fn to_bytes(self) -> BytesMut {
        let mut bytes = BytesMut::with_capacity(GREETING_BYTES);
        bytes.put_slice(&PROTOCOL);
        bytes.put_u8(self.purpose as u8);
        bytes.put_slice(&self.address.ip().octets());
        bytes.put_u16(self.address.port());
        bytes.put_u64(self.incarnation.number());
        bytes.put_u64(self.expected.map_or(0, Incarnation::number));
        bytes
    }

    /// Reads a greeting; none if the bytes are of another protocol or version.
    pub fn from_bytes(bytes: &[u8; GREETING_BYTES]) -> Option<Greeting> {
        let mut rest = bytes.strip_prefix(&PROTOCOL)?;
        let purpose = match rest.get_u8() {
            0 => Purpose::Messages,
            1 => Purpose::Question,
            _ => return None,
        };
        let ip = rest.get_u32();
        let address = SocketAddrV4::new(ip.into(), rest.get_u16());
        let incarnation = Incarnation::from_number(rest.get_u64())?;
        Some(Greeting {
            purpose,
            address,
            incarnation,
            expected: Incarnation::from_number(rest.get_u64()),
        })
    }

    /// The sender's internal address.
    pub fn from(&self) -> SocketAddr {
        SocketAddr::V4(self.address)
    }
}

/// Writes the answer to a greeting.
pub fn reply_bytes(own: Incarnation) -> BytesMut {
    let mut bytes = BytesMut::with_capacity(REPLY_BYTES);
    bytes.put_slice(&PROTOCOL);
    bytes.put_u64(own.number());
    bytes
}

/// Reads the answer to a greeting; none if the bytes are of another protocol or version.
pub fn read_reply(bytes: &[u8; REPLY_BYTES]) -> Option<Incarnation> {
    let mut rest = bytes.strip_prefix(&PROTOCOL)?;
    Incarnation::from_number(rest.get_u64())
}
