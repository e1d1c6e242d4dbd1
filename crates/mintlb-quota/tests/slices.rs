//! The division of limits into slices, and the choice of their owners.

use mintlb_quota::messages::RateLimit;
use mintlb_quota::slices::{Division, owners};

const SLACK: f64 = 20.0;

fn limit(rate: f64, burst: f64) -> RateLimit {
    RateLimit {
        version: 1,
        rate,
        burst,
    }
}

#[test]
fn the_number_of_slices_depends_on_rate_burst_and_members() {
    let division = Division { slack: SLACK };
    let cases = [
        // rate, burst, members, slices
        (179.0, 179.0, 8, 8),
        (6.0, 6.0, 8, 6),
        (6.0, 6.0, 5, 5),
        // 11 tokens of burst, at least 2.5 in each slice.
        (100.0, 1.0, 8, 4),
        (2.5, 100.0, 8, 2),
        (0.1, 1.0, 8, 2),
        (0.1, 1.0, 1, 1),
        (179.0, 179.0, 0, 0),
    ];
    for (rate, burst, members, slices) in cases {
        let count = division.slice_count(&limit(rate, burst), members);
        assert_eq!(
            count, slices,
            "rate {rate}, burst {burst}, {members} members"
        );
    }
}

#[test]
fn slices_add_up_to_the_limit_and_at_most_half_of_the_slack() {
    arbtest::arbtest(|input| {
        let division = Division {
            slack: f64::from(input.int_in_range(4..=40_u32)?),
        };
        let limit = limit(
            f64::from(input.int_in_range(1..=20_000_u32)?) / 100.0,
            f64::from(input.int_in_range(1..=20_000_u32)?) / 100.0,
        );
        let members = input.int_in_range(1..=9)?;
        let slices = division.slice_count(&limit, members);
        assert!((1..=members).contains(&slices));
        let slice = division.slice_limit(&limit, slices);
        let (rate, burst) = (slice.rate * slices as f64, slice.burst * slices as f64);
        assert!((rate - limit.rate).abs() <= 1e-9, "{rate} of {limit:?}");
        assert!(burst >= limit.burst - 1e-9, "{burst} of {limit:?}");
        assert!(
            burst <= limit.burst + division.slack / 2.0 + 1e-9,
            "{burst} of {limit:?}, {division:?}, {slices} slices"
        );
        Ok(())
    });
}

#[test]
fn a_member_that_leaves_or_joins_changes_the_owner_of_its_own_slices_only() {
    arbtest::arbtest(|input| {
        let mut members: Vec<u64> = (0..input.int_in_range(2..=9)?)
            .map(|_| input.arbitrary())
            .collect::<Result<_, _>>()?;
        members.sort_unstable();
        members.dedup();
        let tenant = format!("tenant-{}", input.arbitrary::<u32>()?);
        let slices = input.int_in_range(1..=members.len())?;
        let before = owners(&members, &tenant, slices);
        assert_eq!(before.len(), slices);
        let leaving = members[input.choose_index(members.len())?];
        let rest: Vec<u64> = members
            .iter()
            .copied()
            .filter(|member| *member != leaving)
            .collect();
        let after = owners(&rest, &tenant, slices);
        let kept: Vec<u64> = before
            .iter()
            .copied()
            .filter(|member| *member != leaving)
            .collect();
        assert_eq!(
            after[..kept.len()],
            kept[..],
            "the others keep their slices and their order"
        );
        if !before.contains(&leaving) {
            assert_eq!(after, before);
        }
        // From `rest` to `members`, the same is a member that joins.
        assert!(after.len() <= kept.len() + 1);
        Ok(())
    });
}

#[test]
fn the_order_of_the_members_does_not_matter() {
    let tenant = "acme";
    let forward: Vec<u64> = (1..=9).collect();
    let backward: Vec<u64> = forward.iter().rev().copied().collect();
    assert_eq!(owners(&forward, tenant, 4), owners(&backward, tenant, 4));
}

/// Each member owns 1000 slices on average, and none differs from that by more than 15 %.
#[test]
fn slices_are_distributed_evenly() {
    let members: Vec<u64> = (1..=8).map(|member| member * 0x0123_4567_89ab).collect();
    let mut owned = vec![0; members.len()];
    for tenant in 0..4000 {
        for owner in owners(&members, &format!("tenant-{tenant}"), 2) {
            let place = members.iter().position(|member| *member == owner);
            owned[place.expect("an owner is a member")] += 1;
        }
    }
    for count in &owned {
        assert!(
            (850..=1150).contains(count),
            "{owned:?}, 1000 each on average"
        );
    }
}

/// Processes of different builds must agree on the owners. The expected ones were computed independently of the
/// program.
#[test]
fn owners_are_the_same_in_every_build() {
    let members = [1, 2, 3, 0x0123_4567_89ab_cdef, u64::MAX];
    let cases: [(&str, [u64; 5]); 3] = [
        ("", [1, 3, 0x0123_4567_89ab_cdef, u64::MAX, 2]),
        ("acme", [u64::MAX, 0x0123_4567_89ab_cdef, 1, 3, 2]),
        ("Česká pošta", [0x0123_4567_89ab_cdef, u64::MAX, 1, 3, 2]),
    ];
    for (tenant, ranked) in cases {
        assert_eq!(owners(&members, tenant, 5), ranked, "tenant {tenant:?}");
        assert_eq!(
            owners(&members, tenant, 2),
            ranked[..2],
            "tenant {tenant:?}"
        );
    }
}
