//! The encoding of the messages between dispatchers and owners, which processes of other releases send
//! and expect. The expected bytes are derived by hand from RFC 8949: a message is an array of its
//! fields in the order of their indexes, an enum an array of its variant's index and an array of its
//! fields.

use mintlb_quota::messages::{AdmitRequest, AdmitResponse, RateLimit};

/// `[7, 119.0, 60.5]`: an array of an integer and two 64-bit floats.
const LIMIT: &[u8] = &[
    0x83, // array of 3
    0x07, // 0: version
    0xfb, 0x40, 0x5d, 0xc0, 0x00, 0x00, 0x00, 0x00, 0x00, // 1: rate 119.0
    0xfb, 0x40, 0x4e, 0x40, 0x00, 0x00, 0x00, 0x00, 0x00, // 2: burst 60.5
];

/// `["huka270", [7, 119.0, 60.5]]`.
const REQUEST: &[u8] = &[
    0x82, // array of 2
    0x67, b'h', b'u', b'k', b'a', b'2', b'7', b'0', // 0: tenant, a text string of 7 bytes
    0x83, 0x07, // 1: limit
    0xfb, 0x40, 0x5d, 0xc0, 0x00, 0x00, 0x00, 0x00, 0x00, //
    0xfb, 0x40, 0x4e, 0x40, 0x00, 0x00, 0x00, 0x00, 0x00,
];

/// `[0, []]`.
const ADMITTED: &[u8] = &[0x82, 0x00, 0x80];
/// `[1, [1500]]`.
const REJECTED: &[u8] = &[0x82, 0x01, 0x81, 0x19, 0x05, 0xdc];
/// `[1, [4294967295]]`.
const REJECTED_LONG: &[u8] = &[0x82, 0x01, 0x81, 0x1a, 0xff, 0xff, 0xff, 0xff];
/// `[2, []]`.
const NOT_OWNER: &[u8] = &[0x82, 0x02, 0x80];

fn limit() -> RateLimit {
    RateLimit {
        version: 7,
        rate: 119.0,
        burst: 60.5,
    }
}

fn request() -> AdmitRequest {
    AdmitRequest {
        tenant: "huka270".to_string(),
        limit: limit(),
    }
}

fn responses() -> [(AdmitResponse, &'static [u8]); 4] {
    let rejected = |retry_after_ms| AdmitResponse::Rejected { retry_after_ms };
    [
        (AdmitResponse::Admitted, ADMITTED),
        (rejected(1500), REJECTED),
        (rejected(u32::MAX), REJECTED_LONG),
        (AdmitResponse::NotOwner, NOT_OWNER),
    ]
}

#[test]
fn a_limit_is_encoded_as_expected() {
    assert_eq!(minicbor::to_vec(limit()).unwrap(), LIMIT);
    assert_eq!(minicbor::decode::<RateLimit>(LIMIT).unwrap(), limit());
}

#[test]
fn a_request_is_encoded_as_expected() {
    assert_eq!(minicbor::to_vec(request()).unwrap(), REQUEST);
    assert_eq!(
        minicbor::decode::<AdmitRequest>(REQUEST).unwrap(),
        request()
    );
}

#[test]
fn responses_are_encoded_as_expected() {
    for (response, bytes) in responses() {
        assert_eq!(minicbor::to_vec(response).unwrap(), bytes, "{response:?}");
        assert_eq!(minicbor::decode::<AdmitResponse>(bytes).unwrap(), response);
    }
}

#[test]
fn a_message_with_an_additional_field_is_decoded() {
    let mut longer = vec![0x83];
    longer.extend_from_slice(&REQUEST[1..]);
    longer.push(0x01);
    assert_eq!(
        minicbor::decode::<AdmitRequest>(&longer).unwrap(),
        request()
    );
}

#[test]
fn a_truncated_message_is_an_error() {
    for end in 0..REQUEST.len() {
        assert!(
            minicbor::decode::<AdmitRequest>(&REQUEST[..end]).is_err(),
            "{end} bytes"
        );
    }
    for (response, bytes) in responses() {
        for end in 0..bytes.len() {
            let decoded = minicbor::decode::<AdmitResponse>(&bytes[..end]);
            assert!(decoded.is_err(), "{response:?}, {end} bytes");
        }
    }
}

#[test]
fn a_response_with_an_unknown_variant_is_an_error() {
    assert!(minicbor::decode::<AdmitResponse>(&[0x82, 0x03, 0x80]).is_err());
}
