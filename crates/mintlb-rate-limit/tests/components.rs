//! The token bucket, the filter of received datagrams, and the validation of the settings.

use mintlb_rate_limit::config::{Config, MemberConfig};
use mintlb_rate_limit::members::{DropReason, Members};
use mintlb_rate_limit::message::{Datagram, Message, Term, name_id};
use mintlb_rate_limit::mutation::{Mutation, PLANTED};
use mintlb_rate_limit::share::Share;
use mintlb_rate_limit::token_bucket::TokenBucket;
use mintlb_scheduler::util::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn spend(bucket: &mut TokenBucket, now: f64) -> bool {
    let reserved = bucket.reserve(now);
    let spent = reserved && bucket.spend(now);
    if reserved && !spent {
        bucket.cancel_reservation();
    }
    spent
}

/// Each step has a time, perhaps a new share (rate, burst, expiry), and a number of attempts to spend. The expected
/// values are the attempts that succeed.
#[test]
fn token_bucket() {
    let share = |rate, burst, until| Share { rate, burst, until };
    let forever = f64::INFINITY;
    type Steps = &'static [(f64, Option<(f64, f64, f64)>, usize)];
    let cases: [(&str, Steps, &[usize]); 7] = [
        (
            "begins without tokens",
            &[(0.0, Some((10.0, 5.0, f64::INFINITY)), 5)],
            &[0],
        ),
        (
            "fills at its rate",
            &[(0.0, Some((10.0, 5.0, f64::INFINITY)), 0), (0.35, None, 9)],
            &[0, 3],
        ),
        (
            "fills up to its burst",
            &[(0.0, Some((10.0, 5.0, f64::INFINITY)), 0), (9.0, None, 9)],
            &[0, 5],
        ),
        (
            "a larger share adds no tokens at once",
            &[
                (0.0, Some((10.0, 5.0, f64::INFINITY)), 0),
                (9.0, Some((10.0, 50.0, f64::INFINITY)), 9),
                (9.25, None, 9),
            ],
            &[0, 5, 2],
        ),
        (
            "a smaller share removes the tokens beyond its burst",
            &[
                (0.0, Some((10.0, 5.0, f64::INFINITY)), 0),
                (9.0, Some((10.0, 2.0, f64::INFINITY)), 9),
            ],
            &[0, 2],
        ),
        (
            "tokens expire with the share",
            &[
                (0.0, Some((10.0, 5.0, 2.0)), 0),
                (1.999, None, 1),
                (2.0, None, 9),
            ],
            &[0, 1, 0],
        ),
        (
            "expired tokens do not come back with a new share",
            &[
                (0.0, Some((10.0, 5.0, 2.0)), 0),
                (3.0, Some((10.0, 5.0, 9.0)), 9),
                (3.1, None, 9),
            ],
            &[0, 0, 1],
        ),
    ];
    for (name, steps, expected) in cases {
        let mut bucket = TokenBucket::new(0.0);
        let spent = steps.iter().map(|(now, new, attempts)| {
            new.iter()
                .for_each(|(rate, burst, end)| bucket.set_share(*now, share(*rate, *burst, *end)));
            (0..*attempts).filter(|_| spend(&mut bucket, *now)).count()
        });
        assert_eq!(spent.collect::<Vec<_>>(), expected, "{name}");
    }
    // A clock that jumps ahead adds at most the burst; after it was set back no time counts twice.
    let mut bucket = TokenBucket::new(0.0);
    bucket.set_share(0.0, share(10.0, 5.0, forever));
    let spent =
        [1e9, 1e9 - 100.0, 1e9].map(|now| (0..9).filter(|_| spend(&mut bucket, now)).count());
    assert_eq!(spent, [5, 0, 0]);
}

/// A reserved token is not available to others, can't be spent once its share has expired, and is reserved again
/// after a refund.
#[test]
fn reservations() {
    let mut bucket = TokenBucket::new(0.0);
    bucket.set_share(
        0.0,
        Share {
            rate: 1.0,
            burst: 1.0,
            until: 10.0,
        },
    );
    assert!(bucket.reserve(5.0) && !bucket.has_token(5.0) && !bucket.reserve(5.0));
    assert!(bucket.spend(5.0) && !bucket.spend(5.0));
    bucket.refund();
    assert!(!bucket.has_token(5.0), "it is reserved again");
    assert!(
        !bucket.spend(10.0),
        "a process that was stopped meanwhile spends by the clock after it continues"
    );
    bucket.cancel_reservation();
}

/// Moves shares among buckets at random, at most the total at a time. Returns whether the spends in some window exceed
/// its bound: the total burst plus what the total rate adds.
fn exceeds_the_bound(seed: u64) -> bool {
    let (rate, burst, n) = (20.0, 8.0, 4);
    let mut rng = Rng::new(seed * 977 + 1);
    let mut buckets: Vec<TokenBucket> = (0..n).map(|_| TokenBucket::new(0.0)).collect();
    let (mut spent, mut now) = (Vec::new(), 0.0);
    for _ in 0..400 {
        now += 0.05 * rng.uniform();
        if rng.uniform() < 0.2 {
            // Some get nearly all and some nearly nothing; together they get at most the total.
            let fractions: Vec<f64> = (0..n).map(|_| rng.uniform().powi(4)).collect();
            let sum = fractions.iter().sum::<f64>().max(1.0);
            let until = now + rng.uniform();
            for (bucket, fraction) in buckets.iter_mut().zip(fractions) {
                let (rate, burst) = (rate * fraction / sum, burst * fraction / sum);
                bucket.set_share(now, Share { rate, burst, until });
            }
        }
        for bucket in &mut buckets {
            while rng.uniform() < 0.7 && spend(bucket, now) {
                spent.push(now);
            }
        }
    }
    let exceeds = |i: usize| {
        let windows = spent[i..].iter().enumerate();
        let bound = |to: &f64| rate * (to - spent[i]) + burst + 1e-6;
        windows
            .into_iter()
            .any(|(n, to)| (n + 1) as f64 > bound(to))
    };
    (0..spent.len()).any(exceeds)
}

#[test]
fn no_window_exceeds_the_bound() {
    let found = || (0..200).find(|seed| exceeds_the_bound(*seed));
    assert_eq!(found(), None);
    PLANTED.set(Some(Mutation::FullBurstOnChange));
    let with_mutation = found();
    PLANTED.set(None);
    assert!(with_mutation.is_some(), "the mutation is not detected");
}

#[test]
fn invalid_datagrams_are_dropped() {
    let addr = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let (a, b) = (name_id("a"), name_id("b"));
    let members = || Members::new(7, b, BTreeMap::from([(a, addr(1)), (b, addr(2))]), 2.0);
    let datagram = |incarnation: u64| Datagram {
        fleet: 7,
        from: a,
        incarnation,
        to: b,
        message: Message::Leave,
    };
    let valid = datagram(5).encode().unwrap();
    let long = Message::ShareGrant {
        term: Term::default(),
        incarnation: 0,
        number: 0,
        amounts: vec![(0, Default::default()); 17],
    };
    let with = |change: fn(&mut Datagram)| {
        let mut datagram = datagram(5);
        change(&mut datagram);
        datagram.encode().unwrap()
    };
    let too_many = Datagram {
        message: long,
        ..datagram(5)
    }
    .encode()
    .unwrap();
    type Case = (&'static str, u16, Vec<u8>, Result<(), DropReason>);
    let cases: [Case; 9] = [
        ("valid", 1, valid.clone(), Ok(())),
        ("empty", 1, vec![], Err(DropReason::Malformed)),
        (
            "truncated",
            1,
            valid[..valid.len() - 1].to_vec(),
            Err(DropReason::Malformed),
        ),
        (
            "with a byte left over",
            1,
            [&valid[..], &[0]].concat(),
            Err(DropReason::Malformed),
        ),
        ("too long", 1, vec![0x6d; 1201], Err(DropReason::Malformed)),
        (
            "with too many budgets",
            1,
            too_many,
            Err(DropReason::Malformed),
        ),
        (
            "of another fleet",
            1,
            with(|d| d.fleet = 8),
            Err(DropReason::Misaddressed),
        ),
        (
            "for another member",
            1,
            with(|d| d.to = name_id("c")),
            Err(DropReason::Misaddressed),
        ),
        (
            "from another address",
            3,
            valid.clone(),
            Err(DropReason::WrongSource),
        ),
    ];
    for (name, port, bytes, expected) in cases {
        assert_eq!(
            members().decode(0.0, addr(port), &bytes).map(drop),
            expected,
            "{name}"
        );
    }
    // Replayed datagrams do not shut out a later incarnation. After a silence of four leases an earlier one is
    // accepted, as its clock may have been set back before it restarted.
    let mut members = members();
    let mut decode = |now, incarnation| {
        members
            .decode(now, addr(1), &datagram(incarnation).encode().unwrap())
            .map(drop)
    };
    let results = [
        (0.0, 5),
        (0.1, 6),
        (0.2, 5),
        (0.3, 6),
        (8.2, 5),
        (8.4, 5),
        (8.5, 6),
    ]
    .map(|(now, incarnation)| decode(now, incarnation));
    let stale = Err(DropReason::StaleIncarnation);
    assert_eq!(
        results,
        [Ok(()), Ok(()), stale, Ok(()), stale, Ok(()), Ok(())]
    );
}

/// Decoding any bytes ends without a panic, and what is decoded can be encoded again.
#[test]
fn random_bytes() {
    let mut rng = Rng::new(11);
    for _ in 0..20_000 {
        let n = (rng.uniform() * 80.0) as usize;
        let mut bytes: Vec<u8> = (0..n).map(|_| (rng.uniform() * 256.0) as u8).collect();
        bytes.iter_mut().take(1).for_each(|first| *first = 0x6d);
        if let Some(datagram) = Datagram::decode(&bytes) {
            assert_eq!(
                datagram.encode().and_then(|bytes| Datagram::decode(&bytes)),
                Some(datagram)
            );
        }
    }
}

#[test]
fn invalid_settings() {
    let valid = r#"
        keepers = ["a", "b", "c"]
        members = { a = "127.0.0.1:1", b = "127.0.0.1:2", c = "127.0.0.1:3" }
        budgets = [{ name = "x", limits = "again", rate = 5.0, burst = 2.0 }]
    "#;
    let parse = |text: &str| {
        let fleet: Config = toml::from_str(text).map_err(|e| e.message().to_string())?;
        MemberConfig::new(fleet, "a")
    };
    assert!(parse(valid).unwrap().to_string().contains("budget x"));
    let cases = [
        (
            "rate = 5.0",
            "rate = 0.0",
            "fleet.budgets[0].rate: 0 is out of range",
        ),
        (
            "rate = 5.0",
            "rate = nan",
            "fleet.budgets[0].rate: NaN is out of range",
        ),
        (
            "burst = 2.0",
            "burst = 0.5",
            "fleet.budgets[0].burst: 0.5 is out of range; must be at least 1,",
        ),
        ("limits = \"again\"", "limits = \"agaim\"", "agaim"),
        ("name = \"x\"", "name = \"x=1\"", "fleet.budgets[0].name"),
        ("name = \"x\"", "nane = \"x\"", "nane"),
        (
            "127.0.0.1:2",
            "127.0.0.1:1",
            "fleet.members.b: 127.0.0.1:1 is also the address of another",
        ),
        (
            "a = \"127.0.0.1:1\", ",
            "",
            "fleet.members: no entry for this scheduler, \"a\"",
        ),
        ("\"b\", \"c\"]", "\"b\"]", "fleet.keepers: 2 listed"),
        ("\"c\"]", "\"d\"]", "fleet.keepers[2]: \"d\""),
        (
            "keepers",
            "lease = 0.0\n keepers",
            "fleet.lease: 0 s is out of range",
        ),
        (
            "keepers",
            "drift = 0.5\n keepers",
            "fleet.drift: 0.5 is out of range",
        ),
        (
            "keepers",
            "division = \"equal\"\n keepers",
            "fleet.budgets[0].burst: 2 is out of range; must be at least 3,",
        ),
        (
            "budgets = [",
            "budgets = [{ name = \"x\", limits = \"again\", rate = 5.0, burst = 2.0 }, ",
            "fleet.budgets[1].name: \"x\" is also the name of another",
        ),
    ];
    for (original, invalid, expected) in cases {
        assert!(valid.contains(original), "{original}");
        let error = parse(&valid.replace(original, invalid)).unwrap_err();
        assert!(error.contains(expected), "{invalid}: {error}");
    }
}
