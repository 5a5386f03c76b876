//! A command whose output has no reader ends like one that has a reader.

use std::process::{Command, Stdio};

use yare::parameterized;

/// Runs the command with outputs whose reader is gone, and returns its exit code, `None` after a signal.
fn exit_code_without_readers(args: &[&str]) -> Option<i32> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoatjunction"));
    let (out_reader, out) = std::io::pipe().expect("pipe is opened");
    let (err_reader, err) = std::io::pipe().expect("pipe is opened");
    drop((out_reader, err_reader));
    command
        .args(args)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(err);
    command.status().expect("the command runs").code()
}

#[parameterized(
    help = { &["--help"], 0 },
    version = { &["--version"], 0 },
    explanation = { &["explain", "357b72517cc47170", "tests/logs/day.txt"], 0 },
    wrong_usage = { &["explain"], 2 },
    failure = { &["explain", "357b72517cc47170", "no-such-file"], 1 },
)]
fn a_command_without_readers_does_not_panic(args: &[&str], expected: i32) {
    assert_eq!(exit_code_without_readers(args), Some(expected));
}
