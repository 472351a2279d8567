//! Behaviour of the command line without a daemon.

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

fn run(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_marigoldglade"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command line starts");
    let mut stdin = child.stdin.take().expect("its input is piped");
    // A command that doesn't read its input may have closed it already.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("it ends")
}

#[test]
fn checks_a_configuration_from_standard_input() {
    let good = run(&["config", "check", "-"], "centres: [{name: kista}]\n");
    assert!(good.status.success());
    let bad = run(&["config", "check", "-"], "centres:\n  - nam: kista\n");
    assert_eq!(bad.status.code(), Some(2));
    let error = String::from_utf8_lossy(&bad.stderr);
    assert!(error.contains("nam") && error.contains("-:2:"), "{error}");
}

#[test]
fn prints_completions_for_each_shell() {
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&["completion", shell], "");
        assert!(output.status.success(), "{shell}");
        assert!(String::from_utf8_lossy(&output.stdout).contains("marigoldglade"));
    }
}

#[test]
fn a_call_to_an_unreachable_daemon_is_refused() {
    let output = run(&["--daemon", "127.0.0.1:1", "list"], "");
    assert_eq!(output.status.code(), Some(6));
}

#[test]
fn an_unknown_command_is_bad_input() {
    assert_eq!(run(&["frobnicate"], "").status.code(), Some(2));
}
