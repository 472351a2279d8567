//! The marigoldglade daemon; every entry VM runs the same program.
//!
//! With `platform` in its settings it runs as [`batch`], and otherwise as [`app`]. `--demo` also
//! runs a small stand-in platform in the same process.

mod admin;
mod app;
mod batch;
mod centre;
mod clock;
mod configs;
mod demo;
mod events;
mod front;
mod jobs;
mod link;
mod logs;
mod mesh;
mod operators;
mod pipeline;
mod pool;
mod requests;
mod roles;
mod send;
mod spans;
mod stop;
mod store_client;
mod targets;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use marigoldglade::prelude::*;
use marigoldglade::settings::Settings;

fn command() -> Command {
    Command::new("marigoldgladed")
        .about("Schedules multi-accelerator jobs and routes short requests")
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("The daemon's settings, in YAML")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("demo"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and exit")
                .action(ArgAction::SetTrue)
                .requires("settings"),
        )
        .arg(
            Arg::new("demo")
                .long("demo")
                .help("Run with a stand-in platform in this process and show the main jobs")
                .action(ArgAction::SetTrue)
                .conflicts_with("settings"),
        )
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("marigoldgladed: {e}");
            ExitCode::from(e.kind.properties().exit_code)
        }
    }
}

fn run() -> Result<()> {
    let args = command().get_matches();
    if args.get_flag("demo") {
        return demo::run();
    }
    let Some(path) = args.get_one::<PathBuf>("settings") else {
        return Err(Error::new(Kind::BadInput, "--settings is missing"));
    };
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::new(Kind::BadInput, format!("{file}: {e}")))?;
    let settings = Settings::parse(&file, &text)?;
    if args.get_flag("check") {
        println!("{file}: the settings are good");
        return Ok(());
    }
    logs::start(&settings.log)?;
    if settings.platform.is_some() {
        return batch::run(settings, file);
    }
    spans::start(&settings.name, settings.log.spans);
    app::run(settings, |s| {
        println!("listen {} mesh {} admin {}", s.listen, s.mesh, s.admin);
    })?;
    spans::flush();
    Ok(())
}
