//! Texts of the numbered errors in the program's log and responses: operators look them up by their
//! numbers, so a change of the code's names must not change them. Errors that only a response or
//! the command line prints are not among them, as nothing public returns their text.

use mintlb_control::controller::ControllerError;
use mintlb_control::controller::register::acceptor_file_error::Damage;
use mintlb_control::controller::register::{AcceptorFileError, QuorumUnavailable};
use mintlb_control::store::StoreError;
use mintlb_control::store::storage::DiskError;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;

fn cause() -> Error {
    Error::new(ErrorKind::PermissionDenied, "the cause")
}

#[test]
fn numbered_errors_have_their_recorded_texts() {
    let address: SocketAddr = "10.0.0.1:7001".parse().unwrap();
    let damaged = || DiskError::Damaged("the cause".into());
    let unavailable = || DiskError::Unavailable("the cause".into());
    let directory = || DiskError::Directory("the cause".into());
    let texts = [
        ControllerError::NoAddress.to_string(),
        ControllerError::Listen {
            address,
            cause: cause(),
        }
        .to_string(),
        ControllerError::from(AcceptorFileError::Io {
            path: "/a/folder".into(),
            cause: cause(),
        })
        .to_string(),
        ControllerError::from(AcceptorFileError::Database("the cause".into())).to_string(),
        ControllerError::System(cause()).to_string(),
        ControllerError::from(AcceptorFileError::Damaged(Damage::Unreadable(
            "the cause".into(),
        )))
        .to_string(),
        QuorumUnavailable.to_string(),
        StoreError::NoDisk.to_string(),
        StoreError::Directory("the cause".into()).to_string(),
        StoreError::from(directory()).to_string(),
        StoreError::from(damaged()).to_string(),
        StoreError::from(unavailable()).to_string(),
        StoreError::File(damaged()).to_string(),
        StoreError::Listen {
            address,
            cause: cause(),
        }
        .to_string(),
        StoreError::System(cause()).to_string(),
    ];
    let expected = include_str!("fixtures/error_numbers.txt");
    assert_eq!(texts.join("\n"), expected.trim_end());
}
