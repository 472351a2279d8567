//! Commands and options of the command line, with their help.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::show::Output;

/// The environment variable with the daemons' addresses, separated by commas.
const DAEMON_VARIABLE: &str = "MARIGOLDGLADE_DAEMON";
/// The daemon's address if neither the option nor the variable gives one.
const DEFAULT_DAEMON: &str = "127.0.0.1:7400";

const EXIT_CODES: &str = "Exit codes:
  0 success, 2 bad input, 3 slow input, 4 not found, 5 expired, 6 refused for now,
  7 impossible, 8 store down, 9 conflict or duplicate, 10 may have run, 11 cancelled,
  12 bad peer, 70 internal fault";

/// Returns the whole command line.
pub(crate) fn command() -> Command {
    Command::new("marigoldglade")
        .about("Submits jobs and requests to marigoldglade and operates it")
        .version(clap::crate_version!())
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("IP:PORT")
                .help("A daemon's address; may be repeated, the next is tried if one is down")
                .global(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .help("The output format")
                .global(true)
                .default_value("table")
                .value_parser(["table", "json"]),
        )
        .subcommands(job_commands())
        .subcommand(config_command())
        .subcommand(workspace_command())
        .subcommand(vm_command())
        .subcommand(Command::new("fleet").about("Show usage, guarantees and free accelerators"))
        .subcommand(Command::new("events").about("Show recent events and their causes"))
        .subcommand(
            Command::new("completion")
                .about("Print a completion script for a shell")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

fn job_commands() -> Vec<Command> {
    let id = Arg::new("job").required(true).help("The job's id");
    vec![
        Command::new("submit")
            .about("Submit a job from a JSON or YAML file")
            .arg(file_arg())
            .arg(
                Arg::new("wait")
                    .long("wait")
                    .help("Wait until the job has ended")
                    .action(ArgAction::SetTrue),
            ),
        Command::new("cancel").about("Cancel a job").arg(id.clone()),
        Command::new("status")
            .about("Show a job")
            .arg(id.clone())
            .arg(
                Arg::new("wait")
                    .long("wait")
                    .help("Wait until the job has ended")
                    .action(ArgAction::SetTrue),
            ),
        Command::new("list").about("List jobs"),
        Command::new("explain")
            .about("Explain the state of a job")
            .arg(id),
        request_command(),
    ]
}

fn request_command() -> Command {
    let option = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).help(help).value_name("TEXT")
    };
    Command::new("request")
        .about("Send one request as a caller; the body comes from the arguments")
        .arg(Arg::new("service").required(true))
        .arg(Arg::new("body").default_value(""))
        .arg(option("caller", "The caller's name"))
        .arg(option("workspace", "The workspace of the request"))
        .arg(option("labels", "Labels, as key=value, key=value"))
        .arg(option(
            "key",
            "The idempotency key of a non-idempotent request",
        ))
        .arg(
            Arg::new("deadline-ms")
                .long("deadline-ms")
                .help("The time that the answer may take, in milliseconds")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("non-idempotent")
                .long("non-idempotent")
                .help("The request must run at most once")
                .requires("key")
                .requires("caller")
                .action(ArgAction::SetTrue),
        )
}

fn config_command() -> Command {
    let base = Arg::new("base")
        .long("base")
        .help("The version that the file is based on; by default the newest")
        .value_parser(value_parser!(u64));
    Command::new("config")
        .about("Show, check and change the configuration")
        .subcommand_required(true)
        .subcommand(Command::new("get").about("Print the current configuration"))
        .subcommand(
            Command::new("check")
                .about("Check a file without a daemon")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("diff")
                .about("Show how a file differs from the current configuration")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("apply")
                .about("Apply a configuration file")
                .arg(file_arg())
                .arg(base),
        )
        .subcommand(
            Command::new("history")
                .about("List earlier versions, or print one")
                .arg(Arg::new("version").value_parser(value_parser!(u64))),
        )
}

fn workspace_command() -> Command {
    Command::new("workspace")
        .about("List, set and drop workspaces")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List workspaces, guarantees and quotas"))
        .subcommand(
            Command::new("set")
                .about("Add a workspace from a file, or replace the one with its name")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("drop")
                .about("Remove a workspace")
                .arg(Arg::new("name").required(true)),
        )
}

fn vm_command() -> Command {
    let name = Arg::new("name").required(true).help("The VM's name");
    Command::new("vm")
        .about("List, label and drain VMs")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List VMs"))
        .subcommand(
            Command::new("label")
                .about("Set labels (key=value) or remove them (key-)")
                .arg(name.clone())
                .arg(Arg::new("labels").required(true).num_args(1..)),
        )
        .subcommand(
            Command::new("drain")
                .about("Stop placing new work on a VM")
                .arg(name)
                .arg(
                    Arg::new("undo")
                        .long("undo")
                        .help("Allow new work on the VM again")
                        .action(ArgAction::SetTrue),
                ),
        )
}

fn file_arg() -> Arg {
    Arg::new("file")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("A file, or - for standard input")
}

/// Returns the daemons' addresses from the option, the environment variable or the default.
pub(crate) fn daemons(matches: &ArgMatches) -> Vec<SocketAddr> {
    if let Some(given) = matches.get_many::<SocketAddr>("daemon") {
        return given.copied().collect();
    }
    let text = std::env::var(DAEMON_VARIABLE).unwrap_or_else(|_| DEFAULT_DAEMON.to_owned());
    text.split(',')
        .filter_map(|a| a.trim().parse().ok())
        .collect()
}

/// Returns the output format.
pub(crate) fn output(matches: &ArgMatches) -> Output {
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => Output::Json,
        _ => Output::Table,
    }
}

/// Prints a completion script.
pub(crate) fn print_completion(matches: &ArgMatches) {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut command = command();
        clap_complete::generate(
            *shell,
            &mut command,
            "marigoldglade",
            &mut std::io::stdout(),
        );
    }
}
