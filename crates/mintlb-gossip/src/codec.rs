//! How addresses, bodies and records lie in a message.

use bytes::Bytes;
use minicbor::{Decode, Encode};
use mintlb_common::record::Record;

/// The longest key of a record, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// An IPv4 address and port as one number.
pub mod address {
    use minicbor::decode::{Decoder, Error as DecodeError};
    use minicbor::encode::{Encoder, Error as EncodeError, Write};
    use std::net::{SocketAddr, SocketAddrV4};

    /// Writes an address; only IPv4 is used within the tier.
    pub fn encode<C, W: Write>(
        address: &SocketAddr,
        encoder: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        let SocketAddr::V4(address) = address else {
            return Err(EncodeError::message("no IPv4 address"));
        };
        encoder.u64(u64::from(address.ip().to_bits()) << 16 | u64::from(address.port()))?;
        Ok(())
    }

    /// Reads an address.
    pub fn decode<C>(decoder: &mut Decoder<'_>, _: &mut C) -> Result<SocketAddr, DecodeError> {
        let number = decoder.u64()?;
        let ip =
            u32::try_from(number >> 16).map_err(|_| DecodeError::message("no IPv4 address"))?;
        Ok(SocketAddr::V4(SocketAddrV4::new(ip.into(), number as u16)))
    }
}

/// A record's body. It is copied out of the received bytes, so that a small body doesn't hold a large buffer.
pub mod body {
    use bytes::Bytes;
    use minicbor::decode::{Decoder, Error as DecodeError};
    use minicbor::encode::{Encoder, Error as EncodeError, Write};

    /// Writes a byte string.
    pub fn encode<C, W: Write>(
        body: &Bytes,
        encoder: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.bytes(body)?;
        Ok(())
    }

    /// Reads a byte string.
    pub fn decode<C>(decoder: &mut Decoder<'_>, _: &mut C) -> Result<Bytes, DecodeError> {
        Ok(Bytes::copy_from_slice(decoder.bytes()?))
    }
}

/// A record on its way from one process to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RecordFrame {
    /// The record's key.
    #[n(0)]
    pub key: String,
    /// The record's version.
    #[n(1)]
    pub version: u64,
    /// The lifetime that the record was published with, in seconds; 0 keeps it for good.
    #[n(2)]
    pub ttl_s: u32,
    /// What is left of the lifetime at the sender, in ms. The receiver keeps the record no longer than this.
    #[n(3)]
    pub remaining_ms: u64,
    /// The record's body.
    #[n(4)]
    #[cbor(with = "crate::codec::body")]
    pub body: Bytes,
}

impl RecordFrame {
    /// The record as its receiver keeps it; none if it breaks the bounds or its lifetime is over.
    pub fn into_record(self) -> Option<Record> {
        let over = self.ttl_s > 0 && self.remaining_ms == 0;
        if over || self.key.len() > MAX_KEY_BYTES {
            return None;
        }
        Some(Record {
            key: self.key,
            version: self.version,
            ttl_s: self.ttl_s,
            body: self.body,
        })
    }

    /// About how many bytes it takes in a message.
    pub fn size(&self) -> usize {
        self.key.len() + self.body.len() + 32
    }
}

/// Which version of which record a process has, without the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RecordVersion {
    /// [`record_id`] of the key.
    #[n(0)]
    pub id: u64,
    /// The version.
    #[n(1)]
    pub version: u64,
}

/// The 64-bit hash of a key that stands for it in digests and announcements; the same in every build.
pub fn record_id(key: &str) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    mix64(key.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    }))
}

/// Spreads every bit of a number over all of its bits (the last step of splitmix64).
pub fn mix64(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
