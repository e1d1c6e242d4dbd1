//! Quorums of small sets, checked against all losses and all subsets by enumeration.

use arbtest::arbitrary::{Result, Unstructured};
use mintlb_common::quorum::{FailureDomain, FaultTolerance, QuorumSystem};

/// Members at most: their subsets are enumerated.
const MAX_MEMBERS: usize = 8;

fn domain(zone: &str, region: &str) -> FailureDomain {
    FailureDomain {
        zone: zone.to_string(),
        region: region.to_string(),
        counts_toward_quorum: true,
    }
}

/// A set of members as the test sees it: subsets are bit masks.
struct Layout {
    domains: Vec<FailureDomain>,
    tolerance: FaultTolerance,
}

impl Layout {
    /// Up to three regions of up to three zones; some machines don't count.
    fn draw(u: &mut Unstructured) -> Result<Layout> {
        let count = u.int_in_range(1..=MAX_MEMBERS)?;
        let mut domains = Vec::new();
        for _ in 0..count {
            let region = u.int_in_range(0..=2)?;
            let zone = u.int_in_range(0..=2)?;
            domains.push(FailureDomain {
                counts_toward_quorum: u.ratio(4, 5)?,
                ..domain(&format!("r{region}z{zone}"), &format!("r{region}"))
            });
        }
        let tolerance = FaultTolerance {
            machines: u.int_in_range(0..=2)?,
            zones: u.int_in_range(0..=2)?,
            regions: u.int_in_range(0..=1)?,
        };
        Ok(Layout { domains, tolerance })
    }

    fn system(&self) -> QuorumSystem {
        QuorumSystem::new(self.tolerance, &self.domains)
    }

    fn subsets(&self) -> std::ops::Range<u32> {
        0..1 << self.domains.len()
    }

    fn counts(&self, member: usize) -> bool {
        self.domains[member].counts_toward_quorum
    }

    /// Whether a set of members may be lost at once, by the definition: a choice of machines, or of
    /// zones, or of regions that has all its members that count.
    fn is_tolerated_loss(&self, lost: u32) -> bool {
        let counted: Vec<&FailureDomain> = (0..self.domains.len())
            .filter(|member| lost & (1 << member) != 0 && self.counts(*member))
            .map(|member| &self.domains[member])
            .collect();
        let distinct = |names: Vec<&String>| {
            let mut names = names;
            names.sort();
            names.dedup();
            names.len()
        };
        counted.len() <= self.tolerance.machines
            || distinct(counted.iter().map(|domain| &domain.zone).collect()) <= self.tolerance.zones
            || distinct(counted.iter().map(|domain| &domain.region).collect())
                <= self.tolerance.regions
    }
}

fn contains(subset: u32) -> impl Fn(usize) -> bool {
    move |member| subset & (1 << member) != 0
}

#[test]
fn each_read_quorum_meets_each_write_quorum_and_outlasts_each_loss() {
    arbtest::arbtest(|u| {
        let layout = Layout::draw(u)?;
        let system = layout.system();
        let writes: Vec<u32> = (layout.subsets())
            .filter(|subset| system.is_write_quorum(contains(*subset)))
            .collect();
        let reads: Vec<u32> = (layout.subsets())
            .filter(|subset| system.is_read_quorum(contains(*subset)))
            .collect();
        for write in &writes {
            assert!(reads.iter().all(|read| read & write != 0));
        }
        let all = layout.subsets().end - 1;
        for loss in layout
            .subsets()
            .filter(|loss| layout.is_tolerated_loss(*loss))
        {
            assert!(writes.iter().all(|write| write & !loss != 0));
            assert!(system.is_read_quorum(contains(all & !loss)));
        }
        Ok(())
    })
    .budget_ms(2000);
}

#[test]
fn any_two_mutual_quorums_meet_and_outlast_each_loss() {
    arbtest::arbtest(|u| {
        let layout = Layout::draw(u)?;
        let system = layout.system();
        let quorums: Vec<u32> = (layout.subsets())
            .filter(|subset| system.is_mutual_quorum(contains(*subset)))
            .collect();
        for one in &quorums {
            assert!(quorums.iter().all(|other| one & other != 0));
        }
        if system.has_write_quorum() {
            for loss in layout
                .subsets()
                .filter(|loss| layout.is_tolerated_loss(*loss))
            {
                assert!(quorums.iter().all(|quorum| quorum & !loss != 0));
            }
        }
        Ok(())
    })
    .budget_ms(2000);
}

#[test]
fn a_set_survives_two_losses_if_no_two_of_them_cover_it() {
    arbtest::arbtest(|u| {
        let layout = Layout::draw(u)?;
        let system = layout.system();
        let all = layout.subsets().end - 1;
        let losses: Vec<u32> = (layout.subsets())
            .filter(|loss| layout.is_tolerated_loss(*loss))
            .collect();
        let are_covered = |one: &u32| losses.iter().any(|other| one | other == all);
        assert_eq!(
            system.survives_any_two_losses(),
            !losses.iter().any(are_covered)
        );
        if system.survives_any_two_losses() {
            for loss in losses {
                assert!(system.is_mutual_quorum(contains(all & !loss)));
            }
        }
        Ok(())
    })
    .budget_ms(2000);
}

#[test]
fn a_further_member_never_raises_the_shortfall() {
    arbtest::arbtest(|u| {
        let mut layout = Layout::draw(u)?;
        let mut added = Layout::draw(u)?.domains;
        let before = layout.system().shortfall();
        layout.domains.append(&mut added);
        assert!(layout.system().shortfall() <= before);
        Ok(())
    })
    .budget_ms(1000);
}

#[test]
fn equal_machines_have_the_quorums_of_their_number() {
    for tolerance in 0..4 {
        for count in 1..10 {
            let system = QuorumSystem::by_count(tolerance, count);
            for present in 0..=count {
                let contains = |member| member < present;
                assert_eq!(system.is_write_quorum(contains), present > tolerance);
                assert_eq!(
                    system.is_read_quorum(contains),
                    count - present <= tolerance
                );
            }
            assert_eq!(system.survives_any_two_losses(), count > 2 * tolerance);
        }
    }
}

#[test]
fn two_members_of_one_region_are_no_write_quorum_if_it_may_be_lost() {
    let tolerance = FaultTolerance {
        machines: 1,
        zones: 0,
        regions: 1,
    };
    let domains = [domain("a1", "a"), domain("a2", "a"), domain("b1", "b")];
    let system = QuorumSystem::new(tolerance, &domains);
    assert!(!system.is_write_quorum(|member| member < 2));
    assert!(system.is_write_quorum(|member| member > 0));
    assert!(!system.survives_any_two_losses());
    // What the region leaves is readable, but commits nothing.
    assert!(system.is_read_quorum(|member| member == 2));
}

#[test]
fn members_that_do_not_count_complete_no_quorum_and_none_needs_them() {
    let uncounted = FailureDomain {
        counts_toward_quorum: false,
        ..domain("a", "r")
    };
    let domains = [
        domain("a", "r"),
        domain("b", "r"),
        domain("c", "r"),
        uncounted.clone(),
        uncounted.clone(),
    ];
    let system = QuorumSystem::new(FaultTolerance::of_machines(1), &domains);
    assert!(!system.is_write_quorum(|member| member == 0 || member > 2));
    assert!(system.is_write_quorum(|member| member < 2));
    assert!(system.is_read_quorum(|member| member < 2));
    assert!(system.is_majority(|member| member < 2));
    let all_uncounted = [&uncounted, &uncounted, &uncounted];
    let system = QuorumSystem::new(FaultTolerance::of_machines(0), all_uncounted);
    assert!(!system.has_write_quorum() && !system.is_majority(|_| true));
}
