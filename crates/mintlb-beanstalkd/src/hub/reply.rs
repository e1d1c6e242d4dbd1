//! Encoding of replies.

use crate::codec::Tube;
use std::borrow::Cow;

/// An encoded reply.
pub(super) type Reply = Cow<'static, [u8]>;

/// Reply when a job or tube does not exist or is not available to the session.
pub(super) const NOT_FOUND: &[u8] = b"NOT_FOUND\r\n";

/// Encodes a reply of one line.
pub(super) fn line(text: String) -> Reply {
    Cow::Owned((text + "\r\n").into_bytes())
}

/// Encodes a reply with a body: a line with `words` and the body's length, then the body.
pub(super) fn with_body(words: &str, body: &[u8]) -> Vec<u8> {
    let mut text = Vec::with_capacity(words.len() + body.len() + 16);
    text.extend_from_slice(words.as_bytes());
    text.push(b' ');
    text.extend_from_slice(itoa::Buffer::new().format(body.len()).as_bytes());
    text.extend_from_slice(b"\r\n");
    text.extend_from_slice(body);
    text.extend_from_slice(b"\r\n");
    text
}

/// Encodes a YAML list of tubes.
pub(super) fn yaml_list<'a>(tubes: impl Iterator<Item = &'a Tube>) -> Reply {
    let text = tubes.fold(String::from("---\n"), |text, tube| {
        text + "- " + tube + "\n"
    });
    Cow::Owned(with_body("OK", text.as_bytes()))
}

/// Encodes a YAML dictionary.
pub(super) fn yaml_dictionary(pairs: &[(&str, String)]) -> Reply {
    let mut text = String::from("---\n");
    for (key, value) in pairs {
        text.extend([*key, ": ", value.as_str(), "\n"]);
    }
    Cow::Owned(with_body("OK", text.as_bytes()))
}
