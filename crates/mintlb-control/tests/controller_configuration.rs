//! The operator's calls on the configuration, at a cluster of controllers.

mod builders;
mod controllers;

use axum::http::{Method, StatusCode};
use builders::configuration_text;
use controllers::{Cluster, TEST_TIMEOUT};
use mintlb_common::record::CONFIGURATION;

#[test]
fn three_controllers_bootstrap_one_register_and_hold_the_configuration() {
    let cluster = Cluster::of_size(3);
    assert_eq!(cluster.read_configuration(1).0, StatusCode::NOT_FOUND);
    assert_eq!(
        cluster.configure(1, 0, &configuration_text(4)),
        StatusCode::OK
    );
    assert_eq!(
        cluster.read_configuration(2),
        (StatusCode::OK, configuration_text(4))
    );
    cluster.wait_for_record(0, |record| {
        record.key == CONFIGURATION && record.version == 4
    });
    assert_eq!(
        cluster.configure(2, 0, &configuration_text(4)),
        StatusCode::OK,
        "repeated to another controller"
    );
    assert_eq!(
        cluster.configure(0, 0, &configuration_text(9)),
        StatusCode::PRECONDITION_FAILED
    );
    assert_eq!(
        cluster.configure(0, 4, &configuration_text(4).replace("/a/", "/b/")),
        StatusCode::BAD_REQUEST
    );
    assert_eq!(
        cluster.configure(0, 4, &configuration_text(9)),
        StatusCode::OK
    );
    let truncated = &configuration_text(12)[..40];
    assert_eq!(cluster.configure(0, 9, truncated), StatusCode::BAD_REQUEST);
    let (status, text) = cluster.call(
        0,
        Method::PUT,
        "/v1/configuration",
        None,
        &configuration_text(12),
    );
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert!(text.contains("If-Match"), "{text}");
    assert_eq!(
        cluster.read_configuration(1),
        (StatusCode::OK, configuration_text(9))
    );
}

/// The text of a configuration in this version with these tenants, as an operator may write it:
/// line feeds, an escape, a field that the controllers don't know.
fn configuration_with_tenants(version: u64, tenant_list: &str) -> String {
    let text = configuration_text(version);
    let without_end = text.strip_suffix('}').unwrap();
    format!("{without_end},\n  \"tenant_list\" : {tenant_list} }}\n")
}

const TENANT_LIST: &str = r#"[
    {"name":"huka270","api_keys":["ftimaj3nr26tta828m82","thhkmgjqnirth5mgjy5r"],"priority":1,"rate_per_s":119,"burst_limit":119},
    {"burst_limit":0, "api_keys":["q7wzzp04xk1vd9bohn3\u0063"], "name":"dexo514", "surplus":[1.50]}
]"#;

#[test]
fn the_tenants_are_read_back_byte_for_byte() {
    let mut cluster = Cluster::of_size(3);
    let first = configuration_with_tenants(4, TENANT_LIST);
    assert_eq!(cluster.configure(1, 0, &first), StatusCode::OK);
    for index in 0..3 {
        assert_eq!(
            cluster.read_configuration(index),
            (StatusCode::OK, first.clone())
        );
    }
    // A key is taken away, and a tenant loses all that it has.
    let fewer_keys = TENANT_LIST
        .replace(r#","thhkmgjqnirth5mgjy5r""#, "")
        .replace(r#"["q7wzzp04xk1vd9bohn3\u0063"]"#, "[]");
    let second = configuration_with_tenants(9, &fewer_keys);
    assert_eq!(cluster.configure(2, 4, &second), StatusCode::OK);
    (0..3).for_each(|index| cluster.kill(index));
    (0..3).for_each(|index| cluster.restart(index));
    for index in 0..3 {
        assert_eq!(
            cluster.read_configuration(index),
            (StatusCode::OK, second.clone()),
            "after the restart of all"
        );
    }
}

#[test]
fn a_configuration_in_which_two_tenants_share_a_key_is_invalid() {
    let cluster = Cluster::of_size(3);
    let valid = configuration_with_tenants(4, TENANT_LIST);
    assert_eq!(cluster.configure(0, 0, &valid), StatusCode::OK);
    let shared = TENANT_LIST.replace(r"q7wzzp04xk1vd9bohn3\u0063", "ftimaj3nr26tta828m82");
    let (status, text) = cluster.call(
        1,
        Method::PUT,
        "/v1/configuration",
        Some(4),
        &configuration_with_tenants(5, &shared),
    );
    assert_eq!(status, StatusCode::BAD_REQUEST, "{text}");
    assert!(text.contains("tenant_list[1].api_keys"), "{text}");
    assert!(!text.contains("ftimaj3nr26tta828m82"), "{text}");
    assert_eq!(cluster.read_configuration(2), (StatusCode::OK, valid));
}

#[test]
fn one_of_three_controllers_accepts_no_change() {
    let mut cluster = Cluster::of_size(3);
    assert_eq!(
        cluster.configure(2, 0, &configuration_text(4)),
        StatusCode::OK
    );
    cluster.kill(0);
    cluster.kill(1);
    let (status, _) = cluster.call(
        2,
        Method::PUT,
        "/v1/configuration",
        Some(4),
        &configuration_text(5),
    );
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        cluster.read_configuration_once(2).0,
        StatusCode::SERVICE_UNAVAILABLE
    );
}

#[test]
fn of_two_concurrent_changes_to_one_version_one_is_applied_unless_they_are_equal() {
    let cluster = Cluster::of_size(3);
    let other = |version| configuration_text(version).replace("/a/", "/b/");
    for iteration in 0..8 {
        let (base, version) = (iteration * 3, iteration * 3 + 3);
        let texts = match iteration % 2 {
            0 => [configuration_text(version), other(version)],
            _ => [configuration_text(version), configuration_text(version)],
        };
        let statuses = std::thread::scope(|scope| {
            let changes = texts.each_ref().map(|text| {
                let index = if *text == texts[0] { 0 } else { 1 };
                let cluster = &cluster;
                scope.spawn(move || cluster.configure(index + (iteration as usize % 2), base, text))
            });
            changes.map(|change| change.join().unwrap())
        });
        let confirmed: Vec<&String> = statuses
            .iter()
            .zip(&texts)
            .filter(|(status, _)| **status == StatusCode::OK)
            .map(|of| of.1)
            .collect();
        assert!(
            statuses
                .iter()
                .all(|status| matches!(status.as_u16(), 200 | 412)),
            "{statuses:?}"
        );
        let expected = if texts[0] == texts[1] { 2 } else { 1 };
        assert_eq!(
            confirmed.len(),
            expected,
            "iteration {iteration}: {statuses:?}"
        );
        (0..3).for_each(|index| {
            assert_eq!(
                cluster.read_configuration(index),
                (StatusCode::OK, confirmed[0].clone())
            )
        });
        // Sent again, each gets the answer that it had.
        let again = texts
            .each_ref()
            .map(|text| cluster.configure(2, base, text));
        assert_eq!(again, statuses);
    }
}

#[test]
fn an_old_configuration_based_on_the_newest_version_is_invalid() {
    let cluster = Cluster::of_size(3);
    assert_eq!(
        cluster.configure(0, 0, &configuration_text(4)),
        StatusCode::OK
    );
    assert_eq!(
        cluster.configure(1, 4, &configuration_text(7)),
        StatusCode::OK
    );
    assert_eq!(
        cluster.configure(2, 7, &configuration_text(4)),
        StatusCode::BAD_REQUEST,
        "back to an old one"
    );
    assert_eq!(
        cluster.configure(2, 7, &configuration_text(7)),
        StatusCode::BAD_REQUEST,
        "the same number again"
    );
    assert_eq!(
        cluster.configure(2, 0, &configuration_text(4)),
        StatusCode::OK,
        "the change that was applied, repeated"
    );
    assert_eq!(
        cluster.read_configuration(0),
        (StatusCode::OK, configuration_text(7))
    );
}

#[test]
fn a_restarted_controller_never_serves_its_stale_value() {
    let mut cluster = Cluster::of_size(3);
    assert_eq!(
        cluster.configure(0, 0, &configuration_text(4)),
        StatusCode::OK
    );
    cluster.wait_for_record(2, |record| {
        record.key == CONFIGURATION && record.version == 4
    });
    cluster.kill(2);
    for version in 5..25 {
        assert_eq!(
            cluster.configure(
                version as usize % 2,
                version - 1,
                &configuration_text(version)
            ),
            StatusCode::OK
        );
    }
    cluster.restart(2);
    // Whatever it answers before it has read the register anew, it is not the old one.
    let give_up = std::time::Instant::now() + TEST_TIMEOUT;
    let answer = loop {
        let answer = cluster.read_configuration_once(2);
        if answer.0 != StatusCode::SERVICE_UNAVAILABLE || std::time::Instant::now() > give_up {
            break answer;
        }
    };
    assert_eq!(answer, (StatusCode::OK, configuration_text(24)));
    let seen = |index: usize| {
        cluster
            .at(index)
            .gossip
            .get(CONFIGURATION)
            .map(|record| record.version)
    };
    cluster.wait_for_record(2, |record| {
        record.key == CONFIGURATION && record.version == 24
    });
    assert_eq!([0, 1, 2].map(seen), [Some(24); 3]);
    assert_eq!(
        cluster.configure(2, 4, &configuration_text(5)),
        StatusCode::OK,
        "a superseded change, repeated"
    );
    let another = configuration_text(5).replace("/a/", "/b/");
    assert_eq!(
        cluster.configure(2, 4, &another),
        StatusCode::PRECONDITION_FAILED,
        "another one of that number"
    );
    assert_eq!(
        cluster.read_configuration(0),
        (StatusCode::OK, configuration_text(24))
    );
}

#[test]
fn a_hundred_changes_keep_files_and_values_small() {
    let cluster = Cluster::of_size(3);
    let routes = |version: u64| {
        let route = |number: u64| {
            format!(
                r#"{{"name":"r{number}","host_name":"h{number}.example","path_prefix":"/a/","route_type":"idempotent","timeout_ms":{version},"target_service":"s"}}"#
            )
        };
        let routes: Vec<String> = (0..40).map(route).collect();
        let list = routes.join(",");
        format!(
            r#"{{"config_version":{version},"route_list":[{list}],"service_list":[{{"name":"s"}}]}}"#
        )
    };
    let mut sizes = Vec::new();
    for version in 1..=100 {
        assert_eq!(
            cluster.configure(version as usize % 3, version - 1, &routes(version)),
            StatusCode::OK
        );
        if [10, 50, 100].contains(&version) {
            let value = minicbor::to_vec(cluster.at(0).register.chosen().unwrap())
                .unwrap()
                .len();
            sizes.push((
                version,
                routes(version).len(),
                value,
                cluster.register_file_bytes(0),
            ));
        }
    }
    println!("changes, bytes of the text, of the value, of the file: {sizes:?}");
    let (_, text, value, file) = sizes[2];
    assert!(value < text + 100 * 18 + 1000, "{sizes:?}");
    // All the values that were written have 580 kB; redb's file breathes between 110 and 143.
    assert!(file <= 256 << 10, "the file grows: {sizes:?}");
    for version in [1, 77, 99, 100] {
        let again = cluster.configure(version as usize % 2, version - 1, &routes(version));
        assert_eq!(again, StatusCode::OK, "version {version}, sent again");
    }
}
