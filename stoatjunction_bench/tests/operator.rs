//! The operators' command line tool against a running fleet.

mod common;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use common::{Fleet, engine_request, order_request, small_layout, wait_until};
use stoatjunction_bench::fleet::{
    ADMIN_TOKEN, operator_public_keys, operator_signing_key, unique_loopback_ip,
};

/// Directory in which the operators run the command line tool.
struct OperatorCli {
    dir: PathBuf,
}

impl OperatorCli {
    /// Writes the settings and keys of both operators, and the bundle in force.
    fn new(fleet: &Fleet) -> OperatorCli {
        let dir =
            std::env::temp_dir().join(format!("stoatjunction-operator-{}", unique_loopback_ip()));
        std::fs::create_dir_all(&dir).expect("directory is created");
        let cli = OperatorCli { dir };
        let keys: String = operator_public_keys()
            .iter()
            .map(|(name, key)| format!("{name} = {}\n", hex::encode(key.as_bytes())))
            .collect();
        let hosts: String = fleet
            .hosts
            .iter()
            .map(|h| {
                let (name, gateway) = (&h.name, h.gateway_admin_addr());
                let dispatcher = h.dispatcher_admin_addr();
                format!("{name}/gateway = {gateway}\n{name}/dispatcher = {dispatcher}\n")
            })
            .collect();
        for name in ["ana", "berta"] {
            let key_file = cli.path(&format!("{name}.key"));
            cli.write(
                &format!("{name}.key"),
                &hex::encode(operator_signing_key(name).to_bytes()),
            );
            let text = format!(
                "[operator]\nname = {name}\nkey-file = {}\nadmin-token = {ADMIN_TOKEN}\n\n\
                 [platform]\nobject-api = {}\n\n[operators]\n{keys}\n[hosts]\n{hosts}",
                key_file.display(),
                fleet.environment.object_api.addr
            );
            cli.write(&format!("{name}.ini"), &text);
        }
        cli.write("bundle.ini", &fleet.bundle());
        cli
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.path(name), text).expect("file is written");
    }

    fn run(&self, operator: &str, args: &[&str]) -> Output {
        let mut program = std::env::current_exe().expect("path of the test executable is known");
        program.pop();
        program.pop();
        let config = self.path(&format!("{operator}.ini"));
        Command::new(program.join("stoatjunction"))
            .args(args)
            .args([Path::new("--config"), &config])
            .current_dir(&self.dir)
            .output()
            .expect("command runs")
    }

    /// Runs a command that must succeed and returns its output.
    fn run_ok(&self, operator: &str, args: &[&str]) -> String {
        let out = self.run(operator, args);
        let error = String::from_utf8_lossy(&out.stderr);
        assert!(out.status.success(), "{args:?}: {error}");
        String::from_utf8_lossy(&out.stdout).into_owned()
    }

    /// Runs a command that must fail and returns its error text.
    fn run_failing(&self, operator: &str, args: &[&str]) -> String {
        let out = self.run(operator, args);
        assert!(!out.status.success(), "{args:?} succeeded");
        String::from_utf8_lossy(&out.stderr).into_owned()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_operators_put_a_checked_bundle_in_force() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let cli = OperatorCli::new(&fleet);
    let text = format!("{}\n[organisation delta]\nshare = 2\n", fleet.bundle());
    cli.write("bundle.ini", &text);

    // Act
    let check = cli.run_ok("ana", &["bundle", "check", "bundle.ini"]);
    let diff = cli.run_ok("ana", &["bundle", "diff", "bundle.ini"]);
    let proposed = cli.run_ok(
        "ana",
        &["bundle", "propose", "bundle.ini", "--note", "delta joins"],
    );
    let own_approval = cli.run_failing("ana", &["bundle", "approve", "2"]);
    let early_accept = cli.run_failing("ana", &["bundle", "accept", "2"]);
    cli.run_ok("berta", &["bundle", "approve", "2"]);
    cli.run_ok("berta", &["bundle", "accept", "2"]);
    let late_accept = cli.run_failing("ana", &["bundle", "accept", "2"]);
    wait_until("the bundle is in force", || async {
        fleet.bundles_in_force().await.iter().all(|n| *n == 2)
    })
    .await;
    let status = cli.run_ok("ana", &["bundle", "status"]);

    // Assert
    assert!(check.contains("bundle.ini: valid, "), "{check}");
    assert!(diff.contains("+ [organisation delta] share = 2"), "{diff}");
    assert!(
        proposed.contains("bundle 2 proposed: proposed by ana"),
        "{proposed}"
    );
    assert!(own_approval.contains("same operator"), "{own_approval}");
    assert!(early_accept.contains("not approved"), "{early_accept}");
    assert!(
        late_accept.contains("berta accepted bundle 2"),
        "{late_accept}"
    );
    assert_eq!(status.matches("bundle 2").count(), 5, "{status}");
    assert!(!status.contains("LAGS"), "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_timeline_shows_one_request_and_names_unreachable_processes() {
    // Arrange
    let mut fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let cli = OperatorCli::new(&fleet);
    let mut request = engine_request("acme", "gold", "traced", 5).request;
    request.deadline_ms = Some(100);
    request.body = engine_request("acme", "gold", "traced", 500).request.body;
    let response = fleet.get(0, &request).await;
    let request_id = response.problem().expect("response is a refusal").request;

    // Act
    fleet.dispatchers[1].kill();
    let out = cli.run("ana", &["timeline", "--request", &request_id]);

    // Assert
    let lines = String::from_utf8_lossy(&out.stdout).into_owned();
    let errors = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        lines.contains("event=accepted") && lines.contains("event=refused"),
        "{lines}"
    );
    assert!(
        errors.contains("no response from dc1-1/dispatcher"),
        "{errors}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_is_listed_and_resolved() {
    // Arrange
    let mut fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let cli = OperatorCli::new(&fleet);
    let mut sample_request = order_request("lost-key", "resolve", 60_000);
    sample_request.request.deadline_ms = Some(500);
    let pending = fleet.spawn_request(0, &sample_request.request);
    wait_until("the order runs", || async {
        fleet.environment.start_count("resolve") == 1
    })
    .await;
    fleet.gateways[0].kill();
    let _ = pending.await;
    wait_until("the outcome counts as unknown", || async {
        !cli.run_ok("ana", &["claims", "unknown"]).is_empty()
    })
    .await;

    // Act
    let listed = cli.run_ok("ana", &["claims", "unknown"]);
    let object = listed
        .split_whitespace()
        .next()
        .expect("a claim is listed")
        .to_owned();
    cli.run_ok("ana", &["claims", "resolve", &object, "ran"]);
    let response = fleet.get(1, &sample_request.request).await;

    // Assert
    assert_eq!(response.code(), 4005, "{response:?}");
    assert_eq!(cli.run_ok("ana", &["claims", "unknown"]), "");
    assert_eq!(fleet.environment.start_count("resolve"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_shards_and_drains_are_shown() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let cli = OperatorCli::new(&fleet);

    // Act
    let hosts = cli.run_ok("ana", &["hosts"]);
    let drained = cli.run_ok("ana", &["drain", "dc1-a"]);
    let shards = cli.run_ok("ana", &["shards"]);
    let unknown = cli.run("ana", &["nonsense"]);

    // Assert
    assert!(hosts.contains("sees dc1-1"), "{hosts}");
    assert!(drained.contains("\"leaving\":true"), "{drained}");
    assert!(shards.contains("serving=leaving"), "{shards}");
    assert_eq!(unknown.status.code(), Some(2));
}
