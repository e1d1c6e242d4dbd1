//! Tokens of pending items by route.

use rustc_hash::FxHashMap;

/// Sum of the tokens of all pending items, by the name of their route.
#[derive(Clone, Debug, Default)]
pub(super) struct QueuedTokens(FxHashMap<String, u64>);

impl QueuedTokens {
    pub(super) fn of(&self, route: &str) -> u64 {
        self.0.get(route).copied().unwrap_or(0)
    }

    pub(super) fn add(&mut self, route: &str, tokens: u64) {
        *self.0.entry(route.to_string()).or_default() += tokens;
    }

    pub(super) fn subtract(&mut self, route: &str, tokens: u64) {
        let Some(sum) = self.0.get_mut(route) else {
            return;
        };
        *sum = sum.saturating_sub(tokens);
        if *sum == 0 {
            self.0.remove(route);
        }
    }
}
