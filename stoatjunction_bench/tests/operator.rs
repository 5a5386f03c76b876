//! The operators' command line against a running fleet.

mod common;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use common::{Fleet, engine_request, order_request, small_layout, wait_until};
use stoatjunction_bench::fleet::{ADMIN_TOKEN, fresh_ip, operator, operator_keys};

struct Desk {
    dir: PathBuf,
}

impl Desk {
    /// Settings and keys of both operators, and the bundle in force.
    fn new(fleet: &Fleet) -> Desk {
        let dir = std::env::temp_dir().join(format!("stoatjunction-desk-{}", fresh_ip()));
        std::fs::create_dir_all(&dir).expect("directory");
        let desk = Desk { dir };
        let keys: String = operator_keys()
            .iter()
            .map(|(name, key)| format!("{name} = {}\n", hex::encode(key.as_bytes())))
            .collect();
        let hosts: String = fleet
            .hosts
            .iter()
            .map(|h| {
                let (name, gateway) = (&h.name, h.gateway_admin());
                let dispatcher = h.dispatcher_admin();
                format!("{name}/gateway = {gateway}\n{name}/dispatcher = {dispatcher}\n")
            })
            .collect();
        for name in ["ana", "berta"] {
            let key_file = desk.path(&format!("{name}.key"));
            desk.write(
                &format!("{name}.key"),
                &hex::encode(operator(name).to_bytes()),
            );
            let text = format!(
                "[operator]\nname = {name}\nkey-file = {}\nadmin-token = {ADMIN_TOKEN}\n\n\
                 [platform]\nobject-api = {}\n\n[operators]\n{keys}\n[hosts]\n{hosts}",
                key_file.display(),
                fleet.world.objects.addr
            );
            desk.write(&format!("{name}.ini"), &text);
        }
        desk.write("bundle.ini", &fleet.bundle());
        desk
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.path(name), text).expect("file is written");
    }

    fn run(&self, who: &str, args: &[&str]) -> Output {
        let mut program = std::env::current_exe().expect("own path");
        program.pop();
        program.pop();
        let config = self.path(&format!("{who}.ini"));
        Command::new(program.join("stoatjunction"))
            .args(args)
            .args([Path::new("--config"), &config])
            .current_dir(&self.dir)
            .output()
            .expect("command runs")
    }

    /// Output of a command that must succeed.
    fn ok(&self, who: &str, args: &[&str]) -> String {
        let out = self.run(who, args);
        let error = String::from_utf8_lossy(&out.stderr);
        assert!(out.status.success(), "{args:?}: {error}");
        String::from_utf8_lossy(&out.stdout).into_owned()
    }

    /// Error text of a command that must fail.
    fn fails(&self, who: &str, args: &[&str]) -> String {
        let out = self.run(who, args);
        assert!(!out.status.success(), "{args:?} succeeded");
        String::from_utf8_lossy(&out.stderr).into_owned()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_goes_from_check_to_force_by_two_operators() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let desk = Desk::new(&fleet);
    let text = format!("{}\n[organisation delta]\nshare = 2\n", fleet.bundle());
    desk.write("bundle.ini", &text);

    // Act
    let checked = desk.ok("ana", &["bundle", "check", "bundle.ini"]);
    let differs = desk.ok("ana", &["bundle", "diff", "bundle.ini"]);
    let proposed = desk.ok(
        "ana",
        &["bundle", "propose", "bundle.ini", "--note", "delta joins"],
    );
    let own = desk.fails("ana", &["bundle", "approve", "2"]);
    let early = desk.fails("ana", &["bundle", "accept", "2"]);
    desk.ok("berta", &["bundle", "approve", "2"]);
    desk.ok("berta", &["bundle", "accept", "2"]);
    let late = desk.fails("ana", &["bundle", "accept", "2"]);
    wait_until("it is in force", || async {
        fleet.bundles_in_force().await.iter().all(|n| *n == 2)
    })
    .await;
    let status = desk.ok("ana", &["bundle", "status"]);

    // Assert
    assert!(checked.contains("bundle.ini: valid, "), "{checked}");
    assert!(
        differs.contains("+ [organisation delta] share = 2"),
        "{differs}"
    );
    assert!(
        proposed.contains("bundle 2 proposed: proposed by ana"),
        "{proposed}"
    );
    assert!(own.contains("same operator"), "{own}");
    assert!(early.contains("not approved"), "{early}");
    assert!(late.contains("berta accepted bundle 2"), "{late}");
    assert_eq!(status.matches("bundle 2").count(), 5, "{status}");
    assert!(!status.contains("LAGS"), "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_time_line_tells_one_request_and_which_processes_are_silent() {
    // Arrange
    let mut fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let desk = Desk::new(&fleet);
    let mut ask = engine_request("acme", "gold", "traced", 5).ask;
    ask.deadline_ms = Some(100);
    ask.body = engine_request("acme", "gold", "traced", 500).ask.body;
    let got = fleet.get(0, &ask).await;
    let request = got.problem().expect("a refusal").request;

    // Act
    fleet.dispatchers[1].kill();
    let out = desk.run("ana", &["timeline", "--request", &request]);

    // Assert
    let lines = String::from_utf8_lossy(&out.stdout).into_owned();
    let silent = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        lines.contains("event=accepted") && lines.contains("event=refused"),
        "{lines}"
    );
    assert!(
        silent.contains("no response from dc1-1/dispatcher"),
        "{silent}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_is_listed_and_resolved() {
    // Arrange
    let mut fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let desk = Desk::new(&fleet);
    let mut sample = order_request("lost-key", "resolve", 60_000);
    sample.ask.deadline_ms = Some(500);
    let asked = fleet.spawn_request(0, &sample.ask);
    wait_until("the order runs", || async {
        fleet.world.starts_of("resolve") == 1
    })
    .await;
    fleet.gateways[0].kill();
    let _ = asked.await;
    wait_until("it counts as unknown", || async {
        !desk.ok("ana", &["claims", "unknown"]).is_empty()
    })
    .await;

    // Act
    let listed = desk.ok("ana", &["claims", "unknown"]);
    let object = listed
        .split_whitespace()
        .next()
        .expect("an object")
        .to_owned();
    desk.ok("ana", &["claims", "resolve", &object, "ran"]);
    let got = fleet.get(1, &sample.ask).await;

    // Assert
    assert_eq!(got.code(), 4005, "{got:?}");
    assert_eq!(desk.ok("ana", &["claims", "unknown"]), "");
    assert_eq!(fleet.world.starts_of("resolve"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_shards_and_drains_are_shown() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let desk = Desk::new(&fleet);

    // Act
    let hosts = desk.ok("ana", &["hosts"]);
    let drained = desk.ok("ana", &["drain", "dc1-a"]);
    let shards = desk.ok("ana", &["shards"]);
    let unknown = desk.run("ana", &["nonsense"]);

    // Assert
    assert!(hosts.contains("sees dc1-1"), "{hosts}");
    assert!(drained.contains("\"leaving\":true"), "{drained}");
    assert!(shards.contains("serving=leaving"), "{shards}");
    assert_eq!(unknown.status.code(), Some(2));
}
