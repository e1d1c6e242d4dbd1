//! What tells routes apart.

use super::Route;
use std::fmt::{self, Write};

/// Identity of a route: its host and path prefix, which no two routes of a configuration share.
///
/// Names of routes may be equal, and a later configuration may give the name of one to another. So whatever is kept by
/// route, within a configuration or across several, goes by this.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(String);

/// Characters with a meaning where ids are parts of longer names.
const RESERVED: [char; 3] = ['%', '@', ' '];

impl RouteId {
    /// The id as text, of the form `HOST/PREFIX/`.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The id of the route of this host, whose case is ignored, and path prefix.
    pub fn new(host: &str, path_prefix: &str) -> RouteId {
        // The first slash is where the prefix begins.
        let host = escaped(&host.to_ascii_lowercase(), &['/']);
        RouteId(host + &escaped(path_prefix, &[]))
    }
}

impl fmt::Display for RouteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Route {
    /// What tells this route from all others.
    pub fn id(&self) -> RouteId {
        RouteId::new(&self.host_name, &self.path_prefix)
    }
}

/// The text with reserved characters, and further ones, as `%` and their code in hexadecimal digits. Different texts stay
/// different.
pub fn escaped(text: &str, further: &[char]) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        if RESERVED.contains(&character) || further.contains(&character) {
            write!(escaped, "%{:02X}", u32::from(character)).ok();
        } else {
            escaped.push(character);
        }
    }
    escaped
}
