//! Failure domains, and quorums that outlast their loss.
//!
//! Members of a replicated set run on machines, which lie in zones, which lie in regions. A
//! *tolerated loss* is a set of members that fits into so many machines that count, or zones, or
//! regions as [`FaultTolerance`] says, together with all members that don't count:
//!
//! - a *write quorum* fits into no tolerated loss, so that one of its members outlasts any;
//! - a *read quorum* lacks no more than a tolerated loss, so that what is left after any is one.
//!
//! Each read quorum meets each write quorum. These are the survivor sets and cores of Junqueira and
//! Marzullo ("Synchronous consensus for dependent process failures", 2003), with quorums that
//! differ for reading and writing (Howard, Malkhi and Spiegelman, "Flexible Paxos", 2016).

use minicbor::{Decode, Encode};
use serde::Deserialize;

/// The number of simultaneous failures under which all guarantees still hold: of machines, or of
/// zones, or of regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Encode, Decode)]
pub struct FaultTolerance {
    /// Machines for which `counts_toward_quorum` is true.
    #[serde(default)]
    #[n(0)]
    pub machines: usize,
    /// Entire zones.
    #[serde(default)]
    #[n(1)]
    pub zones: usize,
    /// Entire regions.
    #[serde(default)]
    #[n(2)]
    pub regions: usize,
}

impl FaultTolerance {
    /// So many machines, whichever zones they are in.
    pub fn of_machines(machines: usize) -> FaultTolerance {
        FaultTolerance {
            machines,
            ..FaultTolerance::default()
        }
    }

    /// Whether only the loss of machines is tolerated, whichever zones they are in.
    pub fn is_of_machines(&self) -> bool {
        self.zones == 0 && self.regions == 0
    }

    /// Whether all losses that `other` tolerates are tolerated.
    pub fn includes(&self, other: &FaultTolerance) -> bool {
        self.machines >= other.machines
            && self.zones >= other.zones
            && self.regions >= other.regions
    }

    /// The size of the smallest set that can survive any two tolerated losses.
    pub fn min_members(&self) -> usize {
        2 * self.machines.max(self.zones).max(self.regions) + 1
    }
}

/// Where a member runs. Each member has a machine of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct FailureDomain {
    /// The zone of its machine.
    #[n(0)]
    pub zone: String,
    /// The region of that zone.
    #[n(1)]
    pub region: String,
    /// Whether the loss of its machine counts against [`FaultTolerance::machines`]. If not, it may
    /// be lost at any time.
    #[n(2)]
    pub counts_toward_quorum: bool,
}

/// The quorums of a set of members, which are named by their position.
#[derive(Clone, Debug)]
pub struct QuorumSystem {
    tolerance: FaultTolerance,
    members: Vec<Member>,
    zone_count: usize,
    region_count: usize,
}

/// A member, its zone and region numbered within the set.
#[derive(Clone, Copy, Debug)]
struct Member {
    counts: bool,
    zone: usize,
    region: usize,
}

/// How many machines that count, zones and regions some members take up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Extent {
    machines: usize,
    zones: usize,
    regions: usize,
}

impl Extent {
    /// Whether members of this extent fit into a tolerated loss.
    fn fits_into(&self, tolerance: &FaultTolerance) -> bool {
        self.machines <= tolerance.machines
            || self.zones <= tolerance.zones
            || self.regions <= tolerance.regions
    }

    /// How much is missing in each dimension until such members fit into no tolerated loss, summed.
    fn missing_for_write_quorum(&self, tolerance: &FaultTolerance) -> usize {
        (tolerance.machines + 1).saturating_sub(self.machines)
            + (tolerance.zones + 1).saturating_sub(self.zones)
            + (tolerance.regions + 1).saturating_sub(self.regions)
    }
}

impl QuorumSystem {
    /// The quorums of members in these domains.
    pub fn new<'a>(
        tolerance: FaultTolerance,
        domains: impl IntoIterator<Item = &'a FailureDomain>,
    ) -> QuorumSystem {
        let mut zones: Vec<(&str, &str)> = Vec::new();
        let mut regions: Vec<&str> = Vec::new();
        let mut members: Vec<Member> = Vec::new();
        for domain in domains {
            members.push(Member {
                counts: domain.counts_toward_quorum,
                // Zones are compared together with their region, so that each lies in one.
                zone: number_of(&mut zones, (&domain.region, &domain.zone)),
                region: number_of(&mut regions, &domain.region),
            });
        }
        QuorumSystem {
            tolerance,
            members,
            zone_count: zones.len(),
            region_count: regions.len(),
        }
    }

    /// The quorums of members of which nothing is known but their number: any `machines` of them
    /// may be lost.
    pub fn by_count(machines: usize, members: usize) -> QuorumSystem {
        let domain = FailureDomain {
            counts_toward_quorum: true,
            ..FailureDomain::default()
        };
        QuorumSystem::new(
            FaultTolerance::of_machines(machines),
            std::iter::repeat_n(&domain, members),
        )
    }

    /// Whether the members that satisfy `contains` outlast any tolerated loss: one of them is left.
    pub fn is_write_quorum(&self, contains: impl Fn(usize) -> bool) -> bool {
        !self.extent(contains).fits_into(&self.tolerance)
    }

    /// Whether the members that satisfy `contains` meet each write quorum: those missing fit into
    /// a tolerated loss.
    pub fn is_read_quorum(&self, contains: impl Fn(usize) -> bool) -> bool {
        self.extent(|member| !contains(member))
            .fits_into(&self.tolerance)
    }

    /// Whether the members that satisfy `contains` are more than half of those that count.
    pub fn is_majority(&self, contains: impl Fn(usize) -> bool) -> bool {
        let contained = self.extent(contains).machines;
        2 * contained > self.extent(|_| true).machines
    }

    /// Whether the members that satisfy `contains` form a quorum that meets each other one and
    /// outlasts any tolerated loss.
    ///
    /// It is a write quorum, and a majority or a read quorum. Two majorities meet; of any other two
    /// one is a read quorum, which meets the other, a write quorum. A set that fits into a tolerated
    /// loss as a whole has no such quorum: its majorities take their place, so that it can grow.
    pub fn is_mutual_quorum(&self, contains: impl Fn(usize) -> bool) -> bool {
        if !self.has_write_quorum() {
            return self.is_majority(contains);
        }
        self.is_write_quorum(&contains)
            && (self.is_majority(&contains) || self.is_read_quorum(&contains))
    }

    /// Whether all members together are a write quorum.
    pub fn has_write_quorum(&self) -> bool {
        self.is_write_quorum(|_| true)
    }

    /// Whether the members left after any tolerated loss are a write quorum, so that no two
    /// tolerated losses cover all members.
    pub fn survives_any_two_losses(&self) -> bool {
        self.shortfall() == 0
    }

    /// How far the set is from surviving any two losses: 0 if it does. It never rises as members
    /// are added.
    ///
    /// It sums, over the kinds of tolerated losses, what the members that are left lack of a write
    /// quorum.
    pub fn shortfall(&self) -> usize {
        let left = [
            self.left_after_machines(),
            self.left_after_zones(),
            self.left_after_regions(),
        ];
        left.iter()
            .map(|extent| extent.missing_for_write_quorum(&self.tolerance))
            .sum()
    }

    fn counted(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.counts)
    }

    fn extent(&self, contains: impl Fn(usize) -> bool) -> Extent {
        let mut zones = vec![false; self.zone_count];
        let mut regions = vec![false; self.region_count];
        let mut machines = 0;
        for (position, member) in self.members.iter().enumerate() {
            if member.counts && contains(position) {
                machines += 1;
                zones[member.zone] = true;
                regions[member.region] = true;
            }
        }
        Extent {
            machines,
            zones: zones.into_iter().filter(|is_taken| *is_taken).count(),
            regions: regions.into_iter().filter(|is_taken| *is_taken).count(),
        }
    }

    /// The least that any loss of the tolerated number of machines leaves in each dimension.
    fn left_after_machines(&self) -> Extent {
        let lost = self.tolerance.machines;
        let all = self.extent(|_| true);
        Extent {
            machines: all.machines.saturating_sub(lost),
            zones: all.zones - most_emptied(self.machines_by_zone(), lost),
            regions: all.regions - most_emptied(self.machines_by_region(), lost),
        }
    }

    /// The same for zones.
    fn left_after_zones(&self) -> Extent {
        let lost = self.tolerance.zones;
        let all = self.extent(|_| true);
        Extent {
            machines: all.machines - sum_of_largest(self.machines_by_zone(), lost),
            zones: all.zones.saturating_sub(lost),
            regions: all.regions - most_emptied(self.zones_by_region(), lost),
        }
    }

    /// The same for regions.
    fn left_after_regions(&self) -> Extent {
        let lost = self.tolerance.regions;
        let all = self.extent(|_| true);
        Extent {
            machines: all.machines - sum_of_largest(self.machines_by_region(), lost),
            zones: all.zones - sum_of_largest(self.zones_by_region(), lost),
            regions: all.regions.saturating_sub(lost),
        }
    }

    fn machines_by_zone(&self) -> Vec<usize> {
        let mut counts = vec![0; self.zone_count];
        self.counted().for_each(|member| counts[member.zone] += 1);
        counts
    }

    fn machines_by_region(&self) -> Vec<usize> {
        let mut counts = vec![0; self.region_count];
        self.counted().for_each(|member| counts[member.region] += 1);
        counts
    }

    fn zones_by_region(&self) -> Vec<usize> {
        let mut counts = vec![0; self.region_count];
        let mut is_seen = vec![false; self.zone_count];
        for member in self.counted() {
            if !std::mem::replace(&mut is_seen[member.zone], true) {
                counts[member.region] += 1;
            }
        }
        counts
    }
}

/// The number of a name in `names`, to which it is added if it is new.
fn number_of<T: PartialEq>(names: &mut Vec<T>, name: T) -> usize {
    let known = names.iter().position(|other| *other == name);
    known.unwrap_or_else(|| {
        names.push(name);
        names.len() - 1
    })
}

/// How many domains of these sizes can be emptied by taking `lost` members out of them.
fn most_emptied(mut sizes: Vec<usize>, mut lost: usize) -> usize {
    sizes.retain(|size| *size > 0);
    sizes.sort_unstable();
    let mut emptied = 0;
    for size in sizes {
        if size > lost {
            break;
        }
        lost -= size;
        emptied += 1;
    }
    emptied
}

/// The members in the `count` largest domains of these sizes.
fn sum_of_largest(mut sizes: Vec<usize>, count: usize) -> usize {
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes.into_iter().take(count).sum()
}
