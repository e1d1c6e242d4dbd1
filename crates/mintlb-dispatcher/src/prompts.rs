//! Prefix-cache affinity: a request with a long prompt prefers a worker that is likely to have its shared prefix cached.
//!
//! Pure. All dispatchers rank workers alike by a rendezvous hash of the prompt's subject, so that the requests of one
//! subject meet at the same few workers without coordination.

/// Shorter shared prefixes are prefilled faster than a worker that has them cached becomes free.
const LONG_TOKENS: u64 = 2000;
/// A declaration of more tokens than this is not believed: no worker has memory for so many.
const MAX_TOKENS: u64 = 1 << 32;
/// The workers that are preferred for one subject.
pub const PREFERRED: usize = 1;

/// A request's declaration of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// A hash of the shared prefix segments, which a cache has in this order.
    pub subject: u64,
    /// Tokens of the shared prefix.
    pub shared_tokens: u64,
    /// Tokens of the prompt and of the longest output: its KV cache demand.
    pub tokens: u64,
}

impl Prompt {
    /// Reads `Mintlb-Prompt-Prefix` (`ID:TOKENS,...`) and `Mintlb-Token-Usage` (`PROMPT,OUT`). What is no declaration, or
    /// an absurd one, counts as none.
    pub fn read(prefix: Option<&str>, usage: Option<&str>) -> Option<Prompt> {
        let segments: Vec<(&str, u64)> = prefix
            .unwrap_or_default()
            .split(',')
            .filter_map(segment)
            .collect();
        let shared = &segments[..segments.len().saturating_sub(1)];
        let subject = shared
            .iter()
            .fold(HASH_START, |hash, (id, _)| hash_bytes(hash, id.as_bytes()));
        let used = usage.map(|usage| sum(usage.split(',').filter_map(number)));
        let segment_tokens = sum(segments.iter().map(|(_, tokens)| *tokens));
        let tokens = used.unwrap_or(0).max(segment_tokens);
        let shared_tokens = sum(shared.iter().map(|(_, tokens)| *tokens));
        (1..=MAX_TOKENS).contains(&tokens).then_some(Prompt {
            subject,
            shared_tokens,
            tokens,
        })
    }

    /// Whether its shared prefix is long enough for an affinity.
    pub fn is_long(&self) -> bool {
        self.shared_tokens >= LONG_TOKENS
    }
}

fn segment(text: &str) -> Option<(&str, u64)> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some((id, tokens.trim().parse().ok()?))
}

fn sum(tokens: impl Iterator<Item = u64>) -> u64 {
    tokens.fold(0, u64::saturating_add)
}

fn number(text: &str) -> Option<u64> {
    text.trim().parse().ok()
}

const HASH_START: u64 = 0xcbf2_9ce4_8422_2325;

fn hash_bytes(hash: u64, bytes: &[u8]) -> u64 {
    // A byte that no segment contains separates them.
    let bytes = bytes.iter().chain(std::iter::once(&0xff));
    bytes.fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// How a subject ranks a worker; the same everywhere.
fn rank(subject: u64, worker: u64) -> u64 {
    let mut hash = subject ^ worker.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The workers that are preferred for a subject, the best first.
pub fn preferred(subject: u64, workers: impl Iterator<Item = u64>) -> [Option<u64>; PREFERRED] {
    let mut best: [Option<(u64, u64)>; PREFERRED] = [None; PREFERRED];
    for worker in workers {
        let mut next = Some((rank(subject, worker), worker));
        for candidate in &mut best {
            if next > *candidate {
                std::mem::swap(&mut next, candidate);
            }
        }
    }
    best.map(|candidate| candidate.map(|(_, worker)| worker))
}
