//! The command line against a real daemon: its output and exit codes.

#[path = "support/fleet.rs"]
mod fleet;

use std::process::{Command, Output};

use fleet::{CONFIG, Fleet, program_path, wait_for};

struct Cli<'a>(&'a Fleet);

impl Cli<'_> {
    fn run(&self, args: &[&str]) -> Output {
        let daemon = self.0.first().process.addr.to_string();
        Command::new(program_path("marigoldglade"))
            .args(["--daemon", &daemon])
            .args(args)
            .output()
            .expect("the command line runs")
    }

    fn succeed(&self, args: &[&str]) -> String {
        let output = self.run(args);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{args:?}: {error}");
        String::from_utf8(output.stdout).expect("text")
    }
}

fn file(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("mg-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

#[test]
fn submits_a_yaml_job_and_waits_for_its_end() {
    let fleet = Fleet::start(0, 2, CONFIG);
    let job = file(
        "job.yaml",
        "workspace: register\nkey: sweep-7\nshape: {tasks: 2, accels: 8}\n\
         idempotent: true\nlabels: {tier: sweep}\nbody: run_ms=20\n",
    );
    let shown = Cli(&fleet).succeed(&["submit", &job.display().to_string(), "--wait"]);
    assert!(shown.contains("done"), "{shown}");
    assert!(Cli(&fleet).succeed(&["list"]).contains("register/sweep-7"));
}

#[test]
fn exits_with_the_code_of_the_error_kind() {
    let fleet = Fleet::start(0, 0, CONFIG);
    let cli = Cli(&fleet);
    assert_eq!(
        cli.run(&["status", "kista/register/none"]).status.code(),
        Some(4)
    );
    let bad = file("bad.yaml", "workspace: register\nshap: 1\n");
    let output = cli.run(&["submit", &bad.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("shap"));
}

#[test]
fn two_operators_race_and_one_gets_the_conflict() {
    let fleet = Fleet::start(0, 0, CONFIG);
    let cli = Cli(&fleet);
    let shown: serde_json::Value =
        serde_json::from_str(&cli.succeed(&["--output", "json", "config", "get"])).expect("JSON");
    let base = shown["version"].to_string();
    let new = file("config.yaml", &CONFIG.replace("workers: 2", "workers: 1"));
    let apply = |_: u8| {
        cli.run(&[
            "config",
            "apply",
            "--base",
            &base,
            &new.display().to_string(),
        ])
    };
    let codes: Vec<_> = [1, 2].map(|i| apply(i).status.code()).into();
    assert_eq!(codes, [Some(0), Some(9)]);
}

#[test]
fn drains_a_vm_by_an_edit_of_the_configuration() {
    let fleet = Fleet::start(1, 0, CONFIG);
    let cli = Cli(&fleet);
    cli.succeed(&["vm", "drain", "runner-0"]);
    cli.succeed(&["vm", "label", "runner-0", "tier=gate"]);
    wait_for("the VM's labels and drain to be in force", || {
        let text = cli.succeed(&["config", "get"]);
        (text.contains("runner-0") && text.contains("tier: gate")).then_some(())
    });
    let listed = cli.succeed(&["vm", "list"]);
    assert!(
        listed.contains("tier=gate") && listed.contains("true"),
        "{listed}"
    );
}

#[test]
fn edits_workspaces_and_shows_what_changed() {
    let fleet = Fleet::start(0, 8, CONFIG);
    let cli = Cli(&fleet);
    let text = "name: audits\nguarantee: [{dc: kista, workers: 1}]\nquota: 16\n";
    let path = file("workspace.yaml", text);
    cli.succeed(&["workspace", "set", &path.display().to_string()]);
    wait_for("the workspace to be in force", || {
        let listed = cli.succeed(&["workspace", "list"]);
        listed.contains("audits").then_some(())
    });
    let history = cli.succeed(&["config", "history"]);
    assert!(history.contains("workspaces.audits: added"), "{history}");
    let first = file("first.yaml", &cli.succeed(&["config", "history", "1"]));
    let diff = cli.succeed(&["config", "diff", &first.display().to_string()]);
    assert!(
        diff.contains("audits") && diff.contains("removed"),
        "{diff}"
    );
    cli.succeed(&["workspace", "drop", "audits"]);
    assert_eq!(
        cli.run(&["workspace", "drop", "none"]).status.code(),
        Some(4)
    );
}

#[test]
fn shows_used_and_free_accelerators() {
    let fleet = Fleet::start(0, 3, CONFIG);
    let cli = Cli(&fleet);
    let job = file(
        "held.yaml",
        "workspace: register\nkey: held\nshape: {tasks: 1, accels: 4}\n\
         idempotent: true\nbody: run_ms=600000\n",
    );
    cli.succeed(&["submit", &job.display().to_string()]);
    let shown = wait_for("the job's placement", || {
        let text = cli.succeed(&["--output", "json", "fleet"]);
        let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        (value[0]["workspaces"][0]["used"] == 4).then(|| value[0].clone())
    });
    assert_eq!(shown["workspaces"][0]["missing"], 0);
    assert_eq!(shown["free"]["workers"], 3);
    assert_eq!(shown["free"]["accels"], 20);
    assert_eq!(shown["free"]["whole"], 2);
    assert!(cli.succeed(&["fleet"]).contains("register"));
    assert!(cli.run(&["events"]).status.success());
}

#[test]
fn tries_the_next_daemon_when_one_is_unreachable() {
    let fleet = Fleet::start(1, 0, CONFIG);
    fleet.wait_runners();
    let answer = Command::new(program_path("marigoldglade"))
        .args(["--daemon", "127.0.0.1:1", "--daemon"])
        .arg(fleet.first().process.addr.to_string())
        .args(["request", "helmet", "4711"])
        .output()
        .expect("the command line runs");
    assert_eq!(String::from_utf8_lossy(&answer.stdout).trim(), "4711");
}

#[test]
fn checks_settings_and_reports_the_line() {
    for (text, wanted) in [
        ("name: a\ndc: b\nlissten: 1\n", "lissten"),
        ("name: a\nlisten: nowhere\n", "settings.yaml:2:9: listen"),
    ] {
        let path = file("settings.yaml", text);
        let output = Command::new(program_path("marigoldgladed"))
            .args(["--check", "--settings"])
            .arg(&path)
            .output()
            .expect("the daemon runs");
        assert_eq!(output.status.code(), Some(2));
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(
            error.contains(wanted) && error.contains("settings.yaml"),
            "{error}"
        );
    }
}
