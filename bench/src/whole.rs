//! Processor time, memory and traffic of idle daemons, measured on real processes.

use std::fs;
use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::Duration;

use clap::{Arg, ArgMatches, value_parser};

use crate::meter::Line;

/// The measured numbers of daemons; all of them run on one machine.
const SIZES: [usize; 3] = [3, 7, 14];
/// The time before the measurement and the length of the measurement, in seconds.
const SPANS_S: [u64; 2] = [15, 30];
/// The number of clock ticks in a second; `/proc` counts processor time in ticks.
const CLOCK_TICKS: f64 = 100.0;
/// The bytes of a page, the unit in which `/proc` counts memory.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the subcommand.
pub(crate) fn command() -> clap::Command {
    let bins = Arg::new("bins")
        .long("bins")
        .help("The folder with the daemon and the stand-ins")
        .default_value("target/release")
        .value_parser(value_parser!(PathBuf));
    let workers = Arg::new("workers")
        .long("workers")
        .help("Idle workers on the VM list")
        .default_value("0")
        .value_parser(value_parser!(usize));
    clap::Command::new("whole")
        .about("Processor time, memory and traffic of whole daemons at rest")
        .arg(bins)
        .arg(workers)
}

/// A child process that is killed on drop.
pub(crate) struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A daemon process and the address of its metrics.
pub(crate) struct Daemon {
    process: Process,
    pub(crate) admin: SocketAddr,
}

/// The memory of a daemon, and its other usage since its start.
#[derive(Clone, Copy, Default)]
pub(crate) struct Sample {
    pub(crate) cpu_s: f64,
    /// The resident memory, in bytes.
    pub(crate) memory: f64,
    /// The number of sent mesh frames.
    frames: f64,
    /// The bytes of the sent mesh frames.
    bytes: f64,
    /// The number of store calls.
    calls: f64,
}

/// Prints the table.
pub(crate) fn run(matches: &ArgMatches) {
    let bins = matches.get_one::<PathBuf>("bins").cloned();
    let bins = bins.unwrap_or_default();
    let workers = matches.get_one::<usize>("workers").copied().unwrap_or(0);
    println!("daemons  cpu_%  memory_MB  mesh_frames/s  mesh_bytes/s  store_calls/s (each)");
    let mut points: [Vec<(f64, f64)>; 5] = Default::default();
    for size in SIZES {
        let row = measure(&bins, size, workers);
        let [cpu, memory, frames, bytes, calls] = row;
        println!("{size:>7} {cpu:>6.3} {memory:>10.1} {frames:>14.2} {bytes:>13.0} {calls:>14.3}");
        for (points, value) in points.iter_mut().zip(row) {
            points.push((size as f64, value));
        }
    }
    println!("slopes a daemon more:");
    for (name, points) in ["cpu_%", "memory_MB", "frames", "bytes", "calls"]
        .iter()
        .zip(&points)
    {
        let line = Line::fit(points);
        let at = [35.0, 140.0].map(|n| line.at(n));
        println!(
            "{name:<10} {:>9.3} + {:>8.4} x   at 35: {:.2}   at 140: {:.2}",
            line.base, line.slope, at[0], at[1]
        );
    }
}

/// Returns the usage of each of `size` daemons in the order of the table's columns.
fn measure(bins: &Path, size: usize, workers: usize) -> [f64; 5] {
    let (_store, store) = start_standin(bins, "standin-kv");
    let (_vms, vms) = start_standin(bins, "standin-vms");
    put_workers(vms, workers);
    let ports = free_ports(3 * size);
    let daemons: Vec<Daemon> = (0..size)
        .map(|i| start_daemon(bins, i, &ports, [store, vms]))
        .collect();
    sleep(Duration::from_secs(SPANS_S[0]));
    let before: Vec<Sample> = daemons.iter().map(sample).collect();
    sleep(Duration::from_secs(SPANS_S[1]));
    let after: Vec<Sample> = daemons.iter().map(sample).collect();
    let mean = |f: &dyn Fn(&Sample) -> f64| {
        let sum: f64 = after.iter().zip(&before).map(|(a, b)| f(a) - f(b)).sum();
        sum / size as f64 / SPANS_S[1] as f64
    };
    let memory = after.iter().map(|s| s.memory).fold(0.0, f64::max);
    [
        100.0 * mean(&|s| s.cpu_s),
        memory / 1e6,
        mean(&|s| s.frames),
        mean(&|s| s.bytes),
        mean(&|s| s.calls),
    ]
}

/// Starts a stand-in and returns the address that it prints.
pub(crate) fn start_standin(bins: &Path, name: &str) -> (Process, SocketAddr) {
    let mut child = Command::new(bins.join(name))
        .stdout(Stdio::piped())
        .spawn()
        .unwrap_or_else(|e| panic!("{name}: {e}"));
    let mut line = String::new();
    if let Some(out) = child.stdout.take() {
        let _ = BufReader::new(out).read_line(&mut line);
    }
    let addr = line.split(' ').find_map(|w| w.trim().parse().ok());
    let addr = addr.unwrap_or_else(|| panic!("{name} printed no address"));
    (Process(child), addr)
}

/// Replaces the VM list by idle workers.
fn put_workers(vms: SocketAddr, count: usize) {
    let list: Vec<serde_json::Value> = (0..count)
        .map(|i| {
            serde_json::json!({
                "name": format!("worker-{i}"), "addr": "127.0.0.1:1", "role": "worker",
                "dc": format!("dc{}", i % 7), "rack": format!("rack-{}", i / 8), "accels": 8,
            })
        })
        .collect();
    put_vms(vms, &list);
}

/// Replaces the VM list.
pub(crate) fn put_vms(vms: SocketAddr, list: &[serde_json::Value]) {
    let put = ureq::put(format!("http://{vms}/v1/vms")).send_json(list);
    assert!(put.is_ok(), "the VM list is replaced");
}

/// Returns addresses with free ports. All are bound at the same time, so that no port is chosen
/// twice.
pub(crate) fn free_ports(count: usize) -> Vec<SocketAddr> {
    let bound: Vec<_> = (0..count)
        .filter_map(|_| std::net::TcpListener::bind("127.0.0.1:0").ok())
        .collect();
    bound.iter().filter_map(|l| l.local_addr().ok()).collect()
}

/// Starts daemon `i` with settings in a temporary file.
pub(crate) fn start_daemon(
    bins: &Path,
    i: usize,
    ports: &[SocketAddr],
    [store, vms]: [SocketAddr; 2],
) -> Daemon {
    let [listen, mesh, admin] = [ports[3 * i], ports[3 * i + 1], ports[3 * i + 2]];
    let text = format!(
        "name: entry-{i}\ndc: dc{}\nlisten: {listen}\nmesh: {mesh}\nadmin: {admin}\n\
         store: [{store}]\nvm_list: {vms}\npeers: [{}]\nmesh_key: only for this benchmark\n\
         log: {{level: warn}}\n",
        i % 7,
        ports[1]
    );
    let file = std::env::temp_dir().join(format!("marigoldglade-bench-{}-{i}", std::process::id()));
    fs::write(&file, text).unwrap_or_else(|e| panic!("settings: {e}"));
    let child = Command::new(bins.join("marigoldgladed"))
        .arg("--settings")
        .arg(&file)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap_or_else(|e| panic!("marigoldgladed: {e}"));
    Daemon {
        process: Process(child),
        admin,
    }
}

/// Reads the usage of a daemon from `/proc` and its metrics.
pub(crate) fn sample(daemon: &Daemon) -> Sample {
    let id = daemon.process.0.id();
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    // Fields after the command name: 11 and 12 are the user and system time, 21 the resident pages.
    let field = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let metrics = ureq::get(format!("http://{}/metrics", daemon.admin))
        .call()
        .ok()
        .and_then(|mut a| a.body_mut().read_to_string().ok())
        .unwrap_or_default();
    let sum = |start: &str| -> f64 {
        let lines = metrics.lines().filter(|l| l.starts_with(start));
        lines
            .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    };
    Sample {
        cpu_s: (field(11) + field(12)) / CLOCK_TICKS,
        memory: field(21) * PAGE_BYTES,
        frames: sum("marigoldglade_mesh_total{what=\"sent\"}"),
        bytes: sum("marigoldglade_mesh_total{what=\"sent_bytes\"}"),
        calls: sum("marigoldglade_store_calls_total"),
    }
}
