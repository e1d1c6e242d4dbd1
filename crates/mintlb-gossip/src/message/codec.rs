//! CBOR encodings of field types that have none of their own.

/// An IPv4 socket address as one number: the address in the upper bits, the port in the lower 16.
pub mod address {
    use minicbor::decode::{Decoder, Error as DecodeError};
    use minicbor::encode::{Encoder, Error as EncodeError, Write};
    use std::net::{SocketAddr, SocketAddrV4};

    /// Encodes an address.
    ///
    /// # Errors
    /// If the address is not IPv4, the only family used between processes, or if the writer fails.
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

    /// Decodes an address.
    ///
    /// # Errors
    /// If the bytes are not a number or the number does not fit into 48 bits.
    pub fn decode<C>(decoder: &mut Decoder<'_>, _: &mut C) -> Result<SocketAddr, DecodeError> {
        let number = decoder.u64()?;
        let ip =
            u32::try_from(number >> 16).map_err(|_| DecodeError::message("no IPv4 address"))?;
        Ok(SocketAddr::V4(SocketAddrV4::new(ip.into(), number as u16)))
    }
}

/// A record's body as a byte string. Decoding copies it out of the received buffer, so that a small
/// body does not keep a large buffer alive.
pub mod body {
    use bytes::Bytes;
    use minicbor::decode::{Decoder, Error as DecodeError};
    use minicbor::encode::{Encoder, Error as EncodeError, Write};

    /// Encodes a byte string.
    ///
    /// # Errors
    /// If the writer fails.
    pub fn encode<C, W: Write>(
        body: &Bytes,
        encoder: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.bytes(body)?;
        Ok(())
    }

    /// Decodes a byte string.
    ///
    /// # Errors
    /// If the bytes are not a byte string.
    pub fn decode<C>(decoder: &mut Decoder<'_>, _: &mut C) -> Result<Bytes, DecodeError> {
        Ok(Bytes::copy_from_slice(decoder.bytes()?))
    }
}
