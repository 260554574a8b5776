//! Tests of the command line with valid and invalid input.

mod common;

use std::{fs, path::PathBuf};

use ashroad::operator::message::{SubmitBody, WithdrawBody};
use common::{Cluster, NO_FLAGS, run};

const INVALID_INPUT: Option<i32> = Some(3);

fn directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("ashroad-{name}-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("directory");
    directory
}

struct Case {
    name: &'static str,
    content: Vec<u8>,
    expected: &'static str,
}

const SERVICE: &str = "services:\n  - { name: s, targets: targets, key: { path: 0 }, \
                       server_slots: 4, server_connections: 9";

fn template(parameters: &str, rest: &str) -> Vec<u8> {
    format!("template: t\nparameters: [{parameters}]\n{SERVICE}{rest} }}\n").into_bytes()
}

fn entry_settings(lease_max: &str, leases: &str) -> Vec<u8> {
    format!(
        "name: h\navailability_zone: z\nlisten: {{ callers: 127.0.0.1:1, readiness: \
         127.0.0.1:2, peers: 127.0.0.1:3, metrics: 127.0.0.1:4 }}\n\
         store: {{ address: 127.0.0.1:5, server_heartbeat: 870ms }}\n\
         bounds: {{ stop_grace: 6s, lease_max: {lease_max}, retry_window: 10s, retry_ratio: 0.2, \
         retry_allowance: 62 }}\nleases: {{ {leases} }}\n"
    )
    .into_bytes()
}

const TARGETS: &str = "{ name: targets, type: targets, max: 9 }";

#[test]
fn bad_files_are_refused_with_their_name_and_what_was_expected() {
    let cases = [
        Case {
            name: "empty",
            content: Vec::new(),
            expected: "empty",
        },
        Case {
            name: "not-text",
            content: b"template: t\nservices: \xff\n".to_vec(),
            expected: "not UTF-8",
        },
        Case {
            name: "huge",
            content: vec![b'#'; 100 * 1024 * 1024],
            expected: "at most 1048576",
        },
        Case {
            name: "unknown-field",
            content: template(TARGETS, ", colour: red"),
            expected: "colour",
        },
        Case {
            name: "wrong-unit",
            content: template(TARGETS, ", deadline_ms: 2s"),
            expected: "deadline_ms",
        },
        Case {
            name: "self-reference",
            content: template(
                "{ name: targets, type: targets, max: 9 }, \
                 { name: a, type: integer, max: 9 }",
                ", queue_requests: '${targets}'",
            ),
            expected: "of type integer",
        },
        Case {
            name: "no-slots",
            content: template(TARGETS, ", slots: 0"),
            expected: "1 to 1000000",
        },
        Case {
            name: "not-yaml",
            content: b"template: t\nservices: [\n".to_vec(),
            expected: "line",
        },
        Case {
            name: "leases",
            content: b"name: h\navailability_zone: z\n\
                       callers: { listen: 127.0.0.1:1 }\noperators: { listen: 127.0.0.1:2 }\n\
                       peers: { listen: 127.0.0.1:3, ca_file: a, certificate_file: b, \
                       private_key_file: c }\nplatform: { address: 127.0.0.1:4 }\n\
                       ownership: { lease_ttl_ms: 9000 }\n"
                .to_vec(),
            expected: "at most 2600",
        },
        Case {
            name: "entry-leases",
            content: entry_settings("10s", "lease_ms: 12000"),
            expected: "at most bounds.lease_max",
        },
        Case {
            name: "entry-duration",
            content: entry_settings("long", "lease_ms: 4000"),
            expected: "not a duration like 2s",
        },
    ];
    let directory = directory("bad-input");
    for case in cases {
        let path = directory.join(format!("{}.yaml", case.name));
        fs::write(&path, case.content).expect("file");
        let path = path.display().to_string();
        let output = run(&["check", &path]);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), INVALID_INPUT, "{}: {text}", case.name);
        assert!(text.contains(&path), "{}: {text}", case.name);
        assert!(text.contains(case.expected), "{}: {text}", case.name);
    }
    let _ = fs::remove_dir_all(directory);
}

#[test]
fn the_examples_are_valid() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/examples");
    let file = |name: &str| format!("{examples}/{name}");
    let output = run(&[
        "check",
        &file("mittelland/template.yaml"),
        &file("mittelland/workspace.yaml"),
        &file("mittelland/host.yaml"),
        &file("mittelland/entry.yaml"),
        &file("etna/template.yaml"),
        &file("etna/workspace.yaml"),
    ]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
}

#[tokio::test]
async fn a_change_is_made_once_and_only_on_the_expected_revision() {
    let cluster = Cluster::start(1, 1, NO_FLAGS);
    cluster.declare("").await;
    let client = cluster.operator(0);
    let body = |operation_id: &str, expect_revision: Option<u64>| SubmitBody {
        document: cluster.workspace(&[0]),
        operation_id: Some(operation_id.to_owned()),
        expect_revision,
        actor: None,
        dry_run: false,
    };
    let kind = ashroad::operator::client::DeclarationKind::Workspace;
    let first = client
        .submit(kind, &body("a", None))
        .await
        .expect("accepted");
    let again = client
        .submit(kind, &body("a", None))
        .await
        .expect("accepted");
    assert_eq!(first.revision, again.revision);
    let raced = client.submit(kind, &body("b", Some(1))).await;
    let message = raced.expect_err("refused").to_string();
    assert!(
        message.contains("409") && message.contains("workspace: w"),
        "{message}"
    );
    let current = Some(first.revision);
    let next = client
        .submit(kind, &body("c", current))
        .await
        .expect("accepted");
    assert!(next.revision > first.revision);
    let withdraw = WithdrawBody {
        name: "t".to_owned(),
        operation_id: None,
        expect_revision: None,
        actor: None,
    };
    let kind = ashroad::operator::client::DeclarationKind::Template;
    let in_use = client.withdraw(kind, &withdraw).await;
    let message = in_use.expect_err("refused").to_string();
    assert!(message.contains("still used by workspace w"), "{message}");
}

#[tokio::test]
async fn changes_need_the_token() {
    let cluster = Cluster::start(1, 1, NO_FLAGS);
    let api = cluster.hosts[0].operators.to_string();
    let path = cluster.directory.join("t.yaml");
    fs::write(&path, template(TARGETS, "")).expect("file");
    let path = path.display().to_string();
    let refused = run(&["template", "submit", "--api", &api, &path]);
    assert_eq!(refused.status.code(), INVALID_INPUT);
    let expected = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(expected.contains("token"), "{expected}");
    let status = run(&["--json", "status", "--api", &api]);
    assert!(status.status.success());
}

/// Guards against counts that leave out a host, an urgency or a step in the logs of several hosts.
#[test]
fn requests_of_contended_services_are_counted_over_all_logs() {
    let directory = directory("contention");
    let event = |service: &str, is_urgent: bool, steps: &str| {
        format!(
            "{{\"at_unix_ms\":1,\"event\":\"contention\",\"service\":\"{service}\",\
             \"is_urgent\":{is_urgent},\"steps\":{{{steps}}}}}"
        )
    };
    let first = [
        event(
            "orders",
            false,
            "\"refused_by_queue\":4,\"refused_by_move\":3",
        ),
        event("orders", true, "\"answered\":20"),
        "no event".to_owned(),
        "1.6 host-1 {\"at_unix_ms\":5,\"event\":\"dropped\",\"lines\":7}".to_owned(),
    ];
    let second = [
        event(
            "orders",
            false,
            "\"refused_by_queue\":2,\"refused_other\":1,\"new_step\":6",
        ),
        event("a", false, "\"retry\":5,\"told_to_retry_in_shortage\":8"),
    ];
    let mut arguments = vec!["contention".to_owned()];
    for (name, lines) in [("first", first.join("\n")), ("second", second.join("\n"))] {
        let path = directory.join(name);
        fs::write(&path, lines).expect("log");
        arguments.push(path.display().to_string());
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let output = run(&arguments);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    let cells = |line: &str| {
        line.split_whitespace()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let rows: Vec<Vec<String>> = text.lines().skip(1).map(cells).collect();
    let expected = [
        "a no 0 0 0 0 0 5 0 0 8 0",
        "orders no 0 6 3 0 1 0 0 0 0 6",
        "orders yes 20 0 0 0 0 0 0 0 0 0",
        "7 log lines were dropped by the hosts",
    ];
    assert_eq!(rows, expected.map(cells), "{text}");
    assert!(
        text.starts_with("service  urgent  answered  refused by queue  refused by move"),
        "{text}"
    );
    let output = run(&[&["--json"], &arguments[..]].concat());
    let found: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(found["steps"][1], "refused_by_queue");
    assert_eq!(found["totals"][1]["requests"][1], 6);
    assert_eq!(found["dropped_lines"], 7);
    let _ = fs::remove_dir_all(directory);
}
