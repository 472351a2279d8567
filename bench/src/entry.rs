//! Cost of a request and of an open connection in a real daemon.

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

use clap::{Arg, ArgMatches, value_parser};
use marigoldglade::settings::Limits;

use crate::meter::print_line;
use crate::whole::{Daemon, free_ports, put_vms, sample, start_daemon, start_standin};

/// The numbers of requests that are measured.
const COUNTS: [u32; 3] = [1_000, 2_000, 4_000];
/// The numbers of open connections that are measured.
const CONNECTIONS: [usize; 4] = [0, 500, 1_000, 2_000];

/// Returns the subcommand.
pub(crate) fn command() -> clap::Command {
    let bins = Arg::new("bins")
        .long("bins")
        .help("The folder with the daemon and the stand-ins")
        .default_value("target/release")
        .value_parser(value_parser!(PathBuf));
    clap::Command::new("entry")
        .about("Processor time of a request and memory of a connection in a whole daemon")
        .arg(bins)
}

/// Prints the table.
pub(crate) fn run(matches: &ArgMatches) {
    let bins = matches.get_one::<PathBuf>("bins").cloned();
    let bins = bins.unwrap_or_default();
    let (_store, store) = start_standin(&bins, "standin-kv");
    let (_vms, vms) = start_standin(&bins, "standin-vms");
    let (_runner, runner) = start_standin(&bins, "standin-runner");
    put_vms(
        vms,
        &[serde_json::json!({
            "name": "runner-0", "addr": runner, "role": "runner", "dc": "dc0", "slots": 8,
        })],
    );
    let ports = free_ports(3);
    let daemon = start_daemon(&bins, 0, &ports, [store, vms]);
    configure(&daemon, ports[0]);
    let memory: Vec<(f64, f64)> = CONNECTIONS
        .iter()
        .map(|n| (*n as f64, memory_with(&daemon, ports[0], *n)))
        .collect();
    let limit = f64::from(Limits::default().connections);
    print_line("memory, x = open connections", "bytes", &memory, limit);
    let cpu: Vec<(f64, f64)> = COUNTS
        .iter()
        .map(|n| (f64::from(*n), cpu_ms(&daemon, ports[0], *n)))
        .collect();
    print_line("processor time, x = requests", "cpu ms", &cpu, 1_000.0);
}

/// Applies a configuration and waits until the daemon answers a request.
fn configure(daemon: &Daemon, listen: SocketAddr) {
    let text = "centres:\n- {name: dc0}\nservices:\n- {name: helmet}\n";
    for _ in 0..100 {
        let put = ureq::put(format!("http://{listen}/v1/config")).send(text);
        let ready = ureq::get(format!("http://{}/readyz", daemon.admin)).call();
        if put.is_ok() || ready.is_ok() {
            break;
        }
        sleep(Duration::from_millis(100));
    }
    for _ in 0..100 {
        if send_request(&ureq::Agent::new_with_defaults(), listen) {
            return;
        }
        sleep(Duration::from_millis(100));
    }
    panic!("the daemon answers no request");
}

/// Sends a request; returns whether it was answered.
fn send_request(agent: &ureq::Agent, listen: SocketAddr) -> bool {
    let url = format!("http://{listen}/v1/request/helmet");
    let sent = agent.post(url).header("mg-caller", "foreman");
    let sent = sent.header("mg-idempotent", "true").send("is it fit?");
    sent.is_ok_and(|mut a| a.body_mut().read_to_vec().is_ok())
}

/// Returns the daemon's memory with `count` open connections, in bytes.
fn memory_with(daemon: &Daemon, listen: SocketAddr, count: usize) -> f64 {
    let open: Vec<_> = (0..count)
        .filter_map(|_| TcpStream::connect(listen).ok())
        .collect();
    assert_eq!(open.len(), count, "all connect");
    sleep(Duration::from_millis(500));
    sample(daemon).memory
}

/// Returns the processor time that the daemon takes for `count` requests, in milliseconds.
fn cpu_ms(daemon: &Daemon, listen: SocketAddr, count: u32) -> f64 {
    let agent = ureq::Agent::new_with_defaults();
    let before = sample(daemon).cpu_s;
    let done = (0..count).filter(|_| send_request(&agent, listen)).count();
    assert_eq!(done, count as usize, "all are answered");
    (sample(daemon).cpu_s - before) * 1_000.0
}
