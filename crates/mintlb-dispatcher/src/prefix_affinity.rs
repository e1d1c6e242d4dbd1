//! Prefix-cache affinity: a request with a long prompt prefers a worker that is likely to have its shared prefix cached.
//!
//! Without I/O. All dispatchers rank workers in the same order, by a rendezvous hash of the shared prefix and the worker,
//! so that requests with the same prefix go to the same few workers without coordination.

/// Minimum length of a shared prefix in tokens for an affinity. The prefill of a shorter one takes less time than waiting
/// for a worker that has it cached.
const MIN_AFFINITY_TOKENS: u64 = 2000;
/// A declaration of more tokens than this is ignored, as no worker has memory for them.
const MAX_TOKENS: u64 = 1 << 32;
/// Number of workers that are preferred for one shared prefix.
pub const PREFERRED_WORKERS: usize = 1;

/// What a request's headers declare about its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the ids of the shared prefix segments, in their order.
    pub prefix_hash: u64,
    /// Length of the shared prefix in tokens.
    pub shared_tokens: u64,
    /// KV cache demand: tokens of the prompt and of the longest output.
    pub tokens: u64,
}

impl Prompt {
    /// Parses `Mintlb-Prompt-Prefix` (`ID:TOKENS,...`, of which the last segment is not shared) and `Mintlb-Token-Usage`
    /// (`PROMPT,OUTPUT`). Invalid or implausible declarations are ignored.
    pub fn parse(prefix: Option<&str>, usage: Option<&str>) -> Option<Prompt> {
        let segments: Vec<(&str, u64)> = prefix
            .unwrap_or_default()
            .split(',')
            .filter_map(parse_segment)
            .collect();
        let shared = &segments[..segments.len().saturating_sub(1)];
        let prefix_hash = shared.iter().fold(FNV_OFFSET_BASIS, |hash, (id, _)| {
            hash_bytes(hash, id.as_bytes())
        });
        let declared_tokens =
            usage.map(|usage| saturating_sum(usage.split(',').filter_map(parse_number)));
        let segment_tokens = saturating_sum(segments.iter().map(|(_, tokens)| *tokens));
        let tokens = declared_tokens.unwrap_or(0).max(segment_tokens);
        let shared_tokens = saturating_sum(shared.iter().map(|(_, tokens)| *tokens));
        (1..=MAX_TOKENS).contains(&tokens).then_some(Prompt {
            prefix_hash,
            shared_tokens,
            tokens,
        })
    }

    /// Whether the shared prefix is long enough for an affinity.
    pub fn has_long_prefix(&self) -> bool {
        self.shared_tokens >= MIN_AFFINITY_TOKENS
    }
}

fn parse_segment(text: &str) -> Option<(&str, u64)> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some((id, tokens.trim().parse().ok()?))
}

fn saturating_sum(tokens: impl Iterator<Item = u64>) -> u64 {
    tokens.fold(0, u64::saturating_add)
}

fn parse_number(text: &str) -> Option<u64> {
    text.trim().parse().ok()
}

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

fn hash_bytes(hash: u64, bytes: &[u8]) -> u64 {
    // 0xff can't occur in a segment's id, so it separates the segments unambiguously.
    let bytes = bytes.iter().chain(std::iter::once(&0xff));
    bytes.fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The rank of a worker for a shared prefix, the same at all dispatchers.
fn rendezvous_hash(prefix_hash: u64, worker: u64) -> u64 {
    let mut hash = prefix_hash ^ worker.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The workers with the highest rank for a shared prefix, the highest first.
pub fn preferred_workers(
    prefix_hash: u64,
    workers: impl Iterator<Item = u64>,
) -> [Option<u64>; PREFERRED_WORKERS] {
    let mut preferred: [Option<(u64, u64)>; PREFERRED_WORKERS] = [None; PREFERRED_WORKERS];
    for worker in workers {
        let mut next = Some((rendezvous_hash(prefix_hash, worker), worker));
        for candidate in &mut preferred {
            if next > *candidate {
                std::mem::swap(&mut next, candidate);
            }
        }
    }
    preferred.map(|candidate| candidate.map(|(_, worker)| worker))
}
