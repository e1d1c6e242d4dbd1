//! The quota of a route under lost, late and reordered messages, while counters and primaries are
//! replaced: what all shards have admitted never exceeds it.

use mintlb_batch::quota::{
    Allowances, QuotaAccount, QuotaCounter, ShardAllowance, Shortage, Verdict,
};

const SHARDS: usize = 4;
const STEPS: usize = 2000;
const SEEDS: u64 = 300;

/// The account of all jobs.
fn account() -> QuotaAccount {
    QuotaAccount::of_route("r")
}

/// A generator of random numbers (SplitMix64).
struct Random(u64);

impl Random {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % end
    }
}

/// The primary of a shard.
struct Primary {
    epoch: u64,
    allowances: Allowances,
    /// The counter's epoch by the placement that this store applies.
    counter_epoch: u64,
    queued: u64,
    /// The request that waits for its response.
    waiting: Option<Request>,
}

/// A request for an allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Request {
    counter_epoch: u64,
    limit: u64,
    held: ShardAllowance,
    tokens: u64,
}

/// The counter of one epoch, which is its position from 1 on.
struct Counter {
    quota: QuotaCounter,
    /// The request that waits for the answers to a recall, and for how many shards they have come.
    recalling: Option<(Request, usize)>,
    queue: Vec<Request>,
}

/// A message on its way.
#[derive(Clone, Copy, Debug)]
enum Message {
    Acquire(Request),
    Decided(Request, Verdict),
    Recall {
        counter_epoch: u64,
        shard: usize,
    },
    Recalled {
        counter_epoch: u64,
        left: ShardAllowance,
    },
}

/// A check that is left out on purpose, to show that it is needed.
#[derive(Clone, Copy, PartialEq)]
enum Mutation {
    None,
    /// A primary takes what was handed out for an earlier generation.
    GenerationNotCompared,
    /// A counter hands out before all primaries have told what they hold.
    MissingAnswersCountAsEmpty,
}

struct Model {
    random: Random,
    mutation: Mutation,
    limit: u64,
    primaries: Vec<Primary>,
    /// The last one is the current counter; the others don't know yet that they are replaced.
    counters: Vec<Counter>,
    messages: Vec<Message>,
    admitted: u64,
}

impl Model {
    fn new(seed: u64, mutation: Mutation) -> Model {
        let primary = |_| Primary {
            epoch: 1,
            allowances: Allowances::default(),
            counter_epoch: 1,
            queued: 0,
            waiting: None,
        };
        let mut model = Model {
            random: Random(seed),
            mutation,
            limit: 1000,
            primaries: (0..SHARDS).map(primary).collect(),
            counters: Vec::new(),
            messages: Vec::new(),
            admitted: 0,
        };
        model.replace_counter();
        model
    }

    fn replace_counter(&mut self) {
        self.counters.push(Counter {
            quota: QuotaCounter::new(SHARDS),
            recalling: None,
            queue: Vec::new(),
        });
    }

    fn run(&mut self) {
        for _ in 0..STEPS {
            match self.random.below(100) {
                0..=24 => self.submit(),
                25..=34 => self.finish(),
                35..=91 => self.deliver(),
                92..=93 => self.time_out(),
                94..=95 => self.end_recall(),
                96..=97 => self.learn_placement(),
                98 if self.random.below(4) == 0 => self.replace_counter(),
                98 => self.replace_primary(),
                _ => self.limit = 500 + 500 * self.random.below(3),
            }
        }
    }

    fn draw_primary(&mut self) -> usize {
        self.random.below(SHARDS as u64) as usize
    }

    fn submit(&mut self) {
        let shard = self.draw_primary();
        let tokens = 1 + self.random.below(300);
        let limit = self.limit;
        let primary = &mut self.primaries[shard];
        let admitted = primary
            .allowances
            .admit(&account(), limit, primary.queued, tokens);
        match admitted {
            Ok(()) => {
                primary.queued += tokens;
                self.admitted += 1;
                let queued: u64 = self.primaries.iter().map(|primary| primary.queued).sum();
                assert!(queued <= limit, "{queued} tokens of {limit} are queued");
            }
            Err(shortage) => self.acquire(shard, limit, shortage),
        }
    }

    fn acquire(&mut self, shard: usize, limit: u64, shortage: Shortage) {
        let primary = &mut self.primaries[shard];
        if primary.waiting.is_some() || primary.counter_epoch < shortage.counter_epoch {
            return;
        }
        let request = Request {
            counter_epoch: primary.counter_epoch,
            limit,
            held: ShardAllowance {
                shard: shard as u32,
                epoch: primary.epoch,
                ..shortage.held
            },
            tokens: shortage.tokens,
        };
        primary.waiting = Some(request);
        self.messages.push(Message::Acquire(request));
    }

    fn finish(&mut self) {
        let shard = self.draw_primary();
        let queued = self.primaries[shard].queued;
        self.primaries[shard].queued -= self.random.below(queued + 1);
    }

    /// Delivers any of the messages, or loses it.
    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let chosen = self.random.below(self.messages.len() as u64) as usize;
        let message = self.messages.swap_remove(chosen);
        if self.random.below(10) == 0 {
            return;
        }
        match message {
            Message::Acquire(request) => {
                let counter = &mut self.counters[request.counter_epoch as usize - 1];
                counter.queue.push(request);
                self.decide_next(request.counter_epoch);
            }
            Message::Decided(request, verdict) => self.on_decided(request, verdict),
            Message::Recall {
                counter_epoch,
                shard,
            } => {
                let primary = &mut self.primaries[shard];
                let left = primary
                    .allowances
                    .recall(&account(), counter_epoch, primary.queued);
                if let Some(left) = left {
                    let left = ShardAllowance {
                        shard: shard as u32,
                        epoch: primary.epoch,
                        ..left
                    };
                    self.messages.push(Message::Recalled {
                        counter_epoch,
                        left,
                    });
                }
            }
            Message::Recalled {
                counter_epoch,
                left,
            } => self.on_recalled(counter_epoch, left),
        }
    }

    /// A counter decides about one request at a time.
    fn decide_next(&mut self, epoch: u64) {
        let counter = &mut self.counters[epoch as usize - 1];
        if counter.recalling.is_some() || counter.queue.is_empty() {
            return;
        }
        let request = counter.queue.remove(0);
        let verdict = counter
            .quota
            .acquire(request.limit, request.held, request.tokens, None);
        if verdict != Verdict::NeedsRecall {
            self.messages.push(Message::Decided(request, verdict));
            return;
        }
        counter.recalling = Some((request, 1));
        for shard in (0..SHARDS).filter(|shard| *shard != request.held.shard as usize) {
            let recall = Message::Recall {
                counter_epoch: epoch,
                shard,
            };
            self.messages.push(recall);
        }
    }

    /// An answer that comes after the recall's end is not taken.
    fn on_recalled(&mut self, epoch: u64, left: ShardAllowance) {
        let counter = &mut self.counters[epoch as usize - 1];
        if let Some((_, answered)) = &mut counter.recalling
            && counter.quota.on_recalled(left)
        {
            *answered += 1;
            if *answered >= SHARDS {
                self.conclude_recall(epoch);
            }
        }
    }

    /// A recall's time is over.
    fn end_recall(&mut self) {
        let epoch = 1 + self.random.below(self.counters.len() as u64);
        self.conclude_recall(epoch);
    }

    fn conclude_recall(&mut self, epoch: u64) {
        if self.mutation == Mutation::MissingAnswersCountAsEmpty {
            self.forge_answers(epoch);
        }
        let counter = &mut self.counters[epoch as usize - 1];
        let Some((request, answered)) = counter.recalling.take() else {
            return;
        };
        let verdict =
            counter
                .quota
                .acquire(request.limit, request.held, request.tokens, Some(answered));
        self.messages.push(Message::Decided(request, verdict));
        self.decide_next(epoch);
    }

    /// Answers in the name of all primaries that they use nothing.
    fn forge_answers(&mut self, epoch: u64) {
        let counter = &mut self.counters[epoch as usize - 1];
        for (shard, primary) in (0..).zip(&self.primaries) {
            counter.quota.on_recalled(ShardAllowance {
                shard,
                epoch: primary.epoch,
                generation: primary.allowances.generation(&account()),
                tokens: 0,
            });
        }
    }

    fn on_decided(&mut self, request: Request, verdict: Verdict) {
        let is_void_taken = self.mutation == Mutation::GenerationNotCompared;
        let primary = &mut self.primaries[request.held.shard as usize];
        if primary.waiting != Some(request) && !is_void_taken {
            return;
        }
        primary.waiting = None;
        match verdict {
            Verdict::Granted(tokens) if is_void_taken => {
                let generation = primary.allowances.generation(&account());
                let held = ShardAllowance {
                    generation,
                    ..request.held
                };
                primary.allowances.raise(&account(), &held, tokens);
            }
            Verdict::Granted(tokens) => {
                primary.allowances.raise(&account(), &request.held, tokens);
            }
            Verdict::Outdated { generation } => primary
                .allowances
                .begin_generation_after(&account(), generation),
            Verdict::NeedsRecall | Verdict::Exceeded | Verdict::Unknown => (),
        }
    }

    /// A primary gives up the request that it waits for.
    fn time_out(&mut self) {
        let shard = self.draw_primary();
        let primary = &mut self.primaries[shard];
        if let Some(request) = primary.waiting.take() {
            let generation = request.held.generation;
            primary
                .allowances
                .begin_generation_after(&account(), generation);
        }
    }

    fn learn_placement(&mut self) {
        let shard = self.draw_primary();
        self.primaries[shard].counter_epoch = self.counters.len() as u64;
    }

    /// Another store takes over a shard, with all jobs that its log holds. The placement that says
    /// so names the present counter.
    fn replace_primary(&mut self) {
        let shard = self.draw_primary();
        let former = &self.primaries[shard];
        self.primaries[shard] = Primary {
            epoch: former.epoch + 1,
            allowances: Allowances::default(),
            counter_epoch: self.counters.len() as u64,
            queued: former.queued,
            waiting: None,
        };
    }
}

#[test]
fn the_quota_is_never_exceeded() {
    let mut admitted = 0;
    for seed in 0..SEEDS {
        let mut model = Model::new(seed, Mutation::None);
        model.run();
        admitted += model.admitted;
    }
    assert!(admitted > 20 * SEEDS, "only {admitted} jobs were admitted");
}

#[test]
fn each_check_is_needed() {
    for mutation in [
        Mutation::GenerationNotCompared,
        Mutation::MissingAnswersCountAsEmpty,
    ] {
        let is_found = (0..SEEDS).any(|seed| {
            let run = || Model::new(seed, mutation).run();
            std::panic::catch_unwind(run).is_err()
        });
        assert!(is_found);
    }
}

#[test]
fn a_full_quota_is_told_from_one_that_is_not_known() {
    let held = |shard, tokens| ShardAllowance {
        shard,
        epoch: 1,
        generation: 1,
        tokens,
    };
    let mut counter = QuotaCounter::new(2);
    assert_eq!(
        counter.acquire(100, held(0, 0), 10, None),
        Verdict::NeedsRecall
    );
    assert_eq!(
        counter.acquire(100, held(0, 0), 10, Some(1)),
        Verdict::Unknown,
        "the other shard may hold everything"
    );
    assert!(counter.on_recalled(held(1, 95)));
    assert_eq!(
        counter.acquire(100, held(0, 0), 10, None),
        Verdict::NeedsRecall
    );
    assert_eq!(
        counter.acquire(100, held(0, 0), 10, Some(1)),
        Verdict::Unknown
    );
    assert_eq!(
        counter.acquire(100, held(0, 0), 10, Some(2)),
        Verdict::Exceeded
    );
    assert_eq!(
        counter.acquire(100, held(0, 0), 5, None),
        Verdict::Granted(5)
    );
}

#[test]
fn what_is_on_its_way_is_void_once_the_quota_has_changed() {
    let mut allowances = Allowances::default();
    let shortage = allowances.admit(&account(), 1000, 0, 600).unwrap_err();
    let lowered = allowances.admit(&account(), 100, 0, 600).unwrap_err();
    assert!(lowered.held.generation > shortage.held.generation);
    assert!(!allowances.raise(&account(), &shortage.held, 600));
    assert!(allowances.admit(&account(), 100, 0, 600).is_err());
}
