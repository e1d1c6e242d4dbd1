//! The command line and what `check` finds.

use bpaf::Args;
use mintlb_common::settings::NodeSettings;
use mintlb_control::cli::{Verb, parser, validate};

const EDGE: &str = r#"
node_name = "edge-hba-1"
role = "controller"
machine_class = "edge"
serves = ["control"]
ip_address = "10.1.0.35"
zone = "hba"
region = "tas"
internal_ports = [7660,7675]
seed_nodes = ["10.1.0.35:8146"]
heartbeat_ms = 1200
[listen_addresses]
control_plane = "10.1.0.35:8146"
[limits]
cpu_share = 0.41
memory_mb = 260
max_open_files = 4100
[fault_tolerance]
machines = 1
[bounds]
"#;

fn of(settings: &str) -> Vec<String> {
    validate(&NodeSettings::parse(settings).unwrap())
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn the_verbs_are_parsed() {
    for (name, verb) in [
        ("controller", Verb::Controller),
        ("store", Verb::Store),
        ("check", Verb::Check),
    ] {
        let arguments = [name];
        assert_eq!(
            parser().run_inner(Args::from(&arguments[..])).ok(),
            Some(verb)
        );
    }
    assert!(
        parser()
            .run_inner(Args::from(["dispatch"].as_slice()))
            .is_err()
    );
    assert!(
        parser()
            .run_inner(Args::from([].as_slice() as &[&str]))
            .is_err()
    );
    let version = parser()
        .run_inner(Args::from(["--version"].as_slice()))
        .unwrap_err()
        .unwrap_stdout();
    assert!(version.contains(env!("CARGO_PKG_VERSION")), "{version}");
}

#[test]
fn settings_of_a_controller_without_a_disk_are_suitable() {
    assert!(of(EDGE).is_empty());
}

#[test]
fn each_unsuitable_field_is_named() {
    let no_address = EDGE.replace("control_plane = \"10.1.0.35:8146\"", "");
    assert!(of(&no_address)[0].starts_with("listen_addresses.control_plane"));
    let no_disk = EDGE.replace("serves = [\"control\"]", "serves = [\"storage\"]");
    assert!(of(&no_disk)[0].starts_with("data_directory"));
    let no_folder = EDGE.replace(
        "heartbeat_ms",
        "data_directory = \"/nowhere/at/all\"\nheartbeat_ms",
    );
    assert!(of(&no_folder)[0].starts_with("data_directory"));
    let no_seeds = EDGE.replace("[\"10.1.0.35:8146\"]", "[]");
    assert!(of(&no_seeds)[0].starts_with("seed_nodes"));
}

/// The settings with three zones in these regions, of which so many may be lost.
fn with_zones(regions: [&str; 3], zones_lost: usize, regions_lost: usize) -> String {
    let zones = ["hba", "lst", "dvp"].iter().zip(regions);
    let zones: String = zones
        .map(|(zone, region)| format!("{zone} = \"{region}\"\n"))
        .collect();
    EDGE.replace(
        "machines = 1\n",
        &format!("machines = 1\nzones = {zones_lost}\nregions = {regions_lost}\n[zones]\n{zones}"),
    )
}

#[test]
fn a_tolerance_that_the_zones_and_regions_can_not_bear_is_named() {
    assert!(of(&with_zones(["tas", "tas", "tas"], 1, 0)).is_empty());
    assert!(of(&with_zones(["tas", "vic", "nsw"], 1, 1)).is_empty());
    let one_region = of(&with_zones(["tas", "tas", "tas"], 0, 1));
    assert_eq!(
        one_region,
        ["fault_tolerance.regions: to bear the loss of 1, 3 regions are needed; zones lists 1"]
    );
    let two_regions = of(&with_zones(["tas", "vic", "vic"], 0, 1));
    assert!(two_regions[0].starts_with("fault_tolerance.regions"));
    let few_zones = of(&with_zones(["tas", "tas", "tas"], 2, 0));
    assert_eq!(
        few_zones,
        ["fault_tolerance.zones: to bear the loss of 2, 5 zones are needed; zones lists 3"]
    );
    // Without a list of zones the process knows of its own one alone.
    let unlisted = EDGE.replace("machines = 1", "machines = 1\nzones = 1");
    assert!(of(&unlisted)[0].starts_with("fault_tolerance.zones"));
}
