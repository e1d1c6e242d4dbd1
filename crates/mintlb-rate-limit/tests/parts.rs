//! What a part may be spent for, how it is told, and which file is turned down.

use mintlb_rate_limit::config::{Config, MemberConfig};
use mintlb_rate_limit::division::Part;
use mintlb_rate_limit::members::{Dropped, Members};
use mintlb_rate_limit::purse::Purse;
use mintlb_rate_limit::slip::{PLANTED, Slip};
use mintlb_rate_limit::word::{Letter, Term, Word, id};
use mintlb_scheduler::util::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn spend(purse: &mut Purse, now: f64) -> bool {
    let set_aside = purse.set_aside(now);
    let paid = set_aside && purse.pay(now);
    if set_aside && !paid {
        purse.give_up();
    }
    paid
}

/// How many of so many tries at each moment succeed.
#[test]
fn a_purse() {
    let part = |rate, burst, until| Part { rate, burst, until };
    let forever = f64::INFINITY;
    type Deeds = &'static [(f64, Option<(f64, f64, f64)>, usize)];
    let cases: [(&str, Deeds, &[usize]); 7] = [
        (
            "begins empty",
            &[(0.0, Some((10.0, 5.0, f64::INFINITY)), 5)],
            &[0],
        ),
        (
            "fills at its rate",
            &[(0.0, Some((10.0, 5.0, f64::INFINITY)), 0), (0.35, None, 9)],
            &[0, 3],
        ),
        (
            "up to its burst",
            &[(0.0, Some((10.0, 5.0, f64::INFINITY)), 0), (9.0, None, 9)],
            &[0, 5],
        ),
        (
            "a greater part brings nothing at once",
            &[
                (0.0, Some((10.0, 5.0, f64::INFINITY)), 0),
                (9.0, Some((10.0, 50.0, f64::INFINITY)), 9),
                (9.25, None, 9),
            ],
            &[0, 5, 2],
        ),
        (
            "a smaller one takes what is over",
            &[
                (0.0, Some((10.0, 5.0, f64::INFINITY)), 0),
                (9.0, Some((10.0, 2.0, f64::INFINITY)), 9),
            ],
            &[0, 2],
        ),
        (
            "lapses by the clock",
            &[
                (0.0, Some((10.0, 5.0, 2.0)), 0),
                (1.999, None, 1),
                (2.0, None, 9),
            ],
            &[0, 1, 0],
        ),
        (
            "what has lapsed does not come back",
            &[
                (0.0, Some((10.0, 5.0, 2.0)), 0),
                (3.0, Some((10.0, 5.0, 9.0)), 9),
                (3.1, None, 9),
            ],
            &[0, 0, 1],
        ),
    ];
    for (name, deeds, expected) in cases {
        let mut purse = Purse::new(0.0);
        let spent = deeds.iter().map(|(now, new, tries)| {
            new.iter()
                .for_each(|(rate, burst, until)| purse.take(*now, part(*rate, *burst, *until)));
            (0..*tries).filter(|_| spend(&mut purse, *now)).count()
        });
        assert_eq!(spent.collect::<Vec<_>>(), expected, "{name}");
    }
    // A clock that jumps ahead brings no more than the burst, one that is set back nothing twice.
    let mut purse = Purse::new(0.0);
    purse.take(0.0, part(10.0, 5.0, forever));
    let spent =
        [1e9, 1e9 - 100.0, 1e9].map(|now| (0..9).filter(|_| spend(&mut purse, now)).count());
    assert_eq!(spent, [5, 0, 0]);
}

/// What is set aside is nobody else's; what lapses while it is set aside is not paid; what was not taken comes back.
#[test]
fn set_aside() {
    let mut purse = Purse::new(0.0);
    purse.take(
        0.0,
        Part {
            rate: 1.0,
            burst: 1.0,
            until: 10.0,
        },
    );
    assert!(purse.set_aside(5.0) && !purse.has(5.0) && !purse.set_aside(5.0));
    assert!(purse.pay(5.0) && !purse.pay(5.0));
    purse.back();
    assert!(!purse.has(5.0), "it is set aside again");
    assert!(
        !purse.pay(10.0),
        "a process that was stopped meanwhile pays by the clock of its waking"
    );
    purse.give_up();
}

/// Parts move among purses as the division lets them; whether a window of all spends holds more than the whole.
fn breaches(seed: u64) -> bool {
    let (rate, burst, n) = (20.0, 8.0, 4);
    let mut chance = Rng::new(seed * 977 + 1);
    let mut purses: Vec<Purse> = (0..n).map(|_| Purse::new(0.0)).collect();
    let (mut spent, mut now) = (Vec::new(), 0.0);
    for _ in 0..400 {
        now += 0.05 * chance.uniform();
        if chance.uniform() < 0.2 {
            // Some hold all, some nothing; together the whole at the most.
            let shares: Vec<f64> = (0..n).map(|_| chance.uniform().powi(4)).collect();
            let all = shares.iter().sum::<f64>().max(1.0);
            let until = now + chance.uniform();
            for (purse, share) in purses.iter_mut().zip(shares) {
                let (rate, burst) = (rate * share / all, burst * share / all);
                purse.take(now, Part { rate, burst, until });
            }
        }
        for purse in &mut purses {
            while chance.uniform() < 0.7 && spend(purse, now) {
                spent.push(now);
            }
        }
    }
    let over = |i: usize| {
        let windows = spent[i..].iter().enumerate();
        let most = |to: &f64| rate * (to - spent[i]) + burst + 1e-6;
        windows.into_iter().any(|(n, to)| (n + 1) as f64 > most(to))
    };
    (0..spent.len()).any(over)
}

#[test]
fn no_window_over_the_whole() {
    let found = || (0..200).find(|seed| breaches(*seed));
    assert_eq!(found(), None);
    PLANTED.set(Some(Slip::BurstAnew));
    let planted = found();
    PLANTED.set(None);
    assert!(planted.is_some(), "burst anew is not found");
}

#[test]
fn what_is_no_word_is_dropped() {
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let (a, b) = (id("a"), id("b"));
    let members = || Members::new(7, b, BTreeMap::from([(a, at(1)), (b, at(2))]), 2.0);
    let letter = |life: u64| Letter {
        fleet: 7,
        from: a,
        life,
        to: b,
        word: Word::Bye,
    };
    let good = letter(5).write().unwrap();
    let long = Word::Give {
        term: Term::default(),
        life: 0,
        number: 0,
        of: vec![(0, Default::default()); 17],
    };
    let with = |change: fn(&mut Letter)| {
        let mut letter = letter(5);
        change(&mut letter);
        letter.write().unwrap()
    };
    let too_many = Letter {
        word: long,
        ..letter(5)
    }
    .write()
    .unwrap();
    type Case = (&'static str, u16, Vec<u8>, Result<(), Dropped>);
    let cases: [Case; 9] = [
        ("a word", 1, good.clone(), Ok(())),
        ("empty", 1, vec![], Err(Dropped::Unreadable)),
        (
            "cut short",
            1,
            good[..good.len() - 1].to_vec(),
            Err(Dropped::Unreadable),
        ),
        (
            "with more behind",
            1,
            [&good[..], &[0]].concat(),
            Err(Dropped::Unreadable),
        ),
        ("too long", 1, vec![0x6d; 1201], Err(Dropped::Unreadable)),
        ("of too many budgets", 1, too_many, Err(Dropped::Unreadable)),
        (
            "of another fleet",
            1,
            with(|l| l.fleet = 8),
            Err(Dropped::Astray),
        ),
        (
            "for another",
            1,
            with(|l| l.to = id("c")),
            Err(Dropped::Astray),
        ),
        ("from elsewhere", 3, good.clone(), Err(Dropped::Stranger)),
    ];
    for (name, port, bytes, expected) in cases {
        assert_eq!(
            members().read(0.0, at(port), &bytes).map(drop),
            expected,
            "{name}"
        );
    }
    // Old words that come again never shut a later life out; after a long silence one of a clock set back is heard.
    let mut members = members();
    let mut read = |now, life| {
        members
            .read(now, at(1), &letter(life).write().unwrap())
            .map(drop)
    };
    let heard = [
        (0.0, 5),
        (0.1, 6),
        (0.2, 5),
        (0.3, 6),
        (8.2, 5),
        (8.4, 5),
        (8.5, 6),
    ]
    .map(|(now, life)| read(now, life));
    let no = Err(Dropped::Earlier);
    assert_eq!(heard, [Ok(()), Ok(()), no, Ok(()), no, Ok(()), Ok(())]);
}

/// Whatever bytes come, reading them ends.
#[test]
fn noise() {
    let mut chance = Rng::new(11);
    for _ in 0..20_000 {
        let n = (chance.uniform() * 80.0) as usize;
        let mut bytes: Vec<u8> = (0..n).map(|_| (chance.uniform() * 256.0) as u8).collect();
        bytes.iter_mut().take(1).for_each(|first| *first = 0x6d);
        if let Some(letter) = Letter::read(&bytes) {
            assert_eq!(
                letter.write().and_then(|bytes| Letter::read(&bytes)),
                Some(letter)
            );
        }
    }
}

#[test]
fn wrong_tables() {
    let good = r#"
        keepers = ["a", "b", "c"]
        members = { a = "127.0.0.1:1", b = "127.0.0.1:2", c = "127.0.0.1:3" }
        budgets = [{ name = "x", limits = "again", rate = 5.0, burst = 2.0 }]
    "#;
    let plan = |text: &str| {
        let table: Config = toml::from_str(text).map_err(|e| e.message().to_string())?;
        MemberConfig::new(table, "a")
    };
    assert!(plan(good).unwrap().to_string().contains("budget x"));
    let cases = [
        (
            "rate = 5.0",
            "rate = 0.0",
            "fleet.budgets[0].rate: 0 is none",
        ),
        (
            "rate = 5.0",
            "rate = nan",
            "fleet.budgets[0].rate: NaN is none",
        ),
        (
            "burst = 2.0",
            "burst = 0.5",
            "fleet.budgets[0].burst: 0.5 is none, 1 at least",
        ),
        ("limits = \"again\"", "limits = \"agaim\"", "agaim"),
        ("name = \"x\"", "name = \"x=1\"", "fleet.budgets[0].name"),
        ("name = \"x\"", "nane = \"x\"", "nane"),
        (
            "127.0.0.1:2",
            "127.0.0.1:1",
            "fleet.members.b: 127.0.0.1:1 is another",
        ),
        (
            "a = \"127.0.0.1:1\", ",
            "",
            "fleet.members: a is not among them",
        ),
        ("\"b\", \"c\"]", "\"b\"]", "fleet.keepers: 2 of them"),
        ("\"c\"]", "\"d\"]", "fleet.keepers[2]: \"d\""),
        ("keepers", "lease = 0.0\n keepers", "fleet.lease: 0 s"),
        ("keepers", "drift = 0.5\n keepers", "fleet.drift: 0.5"),
        (
            "keepers",
            "division = \"equal\"\n keepers",
            "fleet.budgets[0].burst: 2 is none, 3 at least",
        ),
        (
            "budgets = [",
            "budgets = [{ name = \"x\", limits = \"again\", rate = 5.0, burst = 2.0 }, ",
            "fleet.budgets[1].name: \"x\" names another",
        ),
    ];
    for (right, wrong, named) in cases {
        assert!(good.contains(right), "{right}");
        let why = plan(&good.replace(right, wrong)).unwrap_err();
        assert!(why.contains(named), "{wrong}: {why}");
    }
}
