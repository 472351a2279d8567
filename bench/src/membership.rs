//! Cost of membership for a daemon by fleet size, compared with heartbeats between all daemons.

use clap::{ArgMatches, Command};
use marigoldglade::frame_auth::TAG_BYTES;
use marigoldglade::member::{DETECT_MS, Event, Members, PROBE_PERIOD_MS};
use marigoldglade::mesh::{self, Frame, FrameKind, Payload};
use marigoldglade::owner::Holder;
use marigoldglade::time::UnixMs;

use crate::fleet::{Fleet, Links};
use crate::meter;

/// The measured numbers of daemons: today's, the planned one and two larger ones.
const SIZES: [usize; 4] = [7, 35, 140, 280];
/// The number of data centres.
const CENTRES: usize = 7;
/// The simulated time that is measured, in milliseconds.
const SPAN_MS: u64 = 240_000;
/// The simulated time before the measurement, in which the members agree, in milliseconds.
const SETTLE_MS: u64 = 10 * DETECT_MS;
/// The bytes of a masked WebSocket header for a payload of 126 bytes to 64 KB.
const HEADER_BYTES: usize = 8;
/// The number of copies of the membership state over which its memory is averaged.
const COPIES: usize = 64;

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("membership").about("Cost of membership as the fleet grows")
}

/// Prints the table.
pub(crate) fn run(_: &ArgMatches) {
    println!("way        daemons  msgs/s  bytes/s  links  state_bytes  cpu_us/s");
    for size in SIZES {
        measure_probes(size);
    }
    for size in SIZES {
        compute_heartbeats(size);
    }
}

/// Measures a daemon's cost of the probes in a simulated fleet.
fn measure_probes(size: usize) {
    let mut fleet = Fleet::new(size, CENTRES, 1);
    fleet.run(SETTLE_MS, Links::RELIABLE);
    fleet.assert_agreed();
    fleet.forget_peers();
    let sum = |f: &dyn Fn(usize) -> usize| (0..size).map(f).sum::<usize>() as f64;
    let (sent, bytes) = (sum(&|i| fleet.sent_by(i)), sum(&|i| fleet.bytes_by(i)));
    let start = meter::cpu_ns();
    fleet.run(SPAN_MS, Links::RELIABLE);
    let cpu_us = (meter::cpu_ns() - start) as f64 / 1_000.0;
    let sum = |f: &dyn Fn(usize) -> usize| (0..size).map(f).sum::<usize>() as f64;
    let sent = sum(&|i| fleet.sent_by(i)) - sent;
    let bytes = sum(&|i| fleet.bytes_by(i)) - bytes + sent * (TAG_BYTES + HEADER_BYTES) as f64;
    let links = (0..size).map(|i| fleet.peers_of(i)).max().unwrap_or(0);
    let daemon_s = size as f64 * SPAN_MS as f64 / 1_000.0;
    let state = meter::state_bytes(COPIES, || make_members(size));
    print_row(
        "probes",
        size,
        [sent / daemon_s, bytes / daemon_s],
        links,
        [state, cpu_us / daemon_s],
    );
}

/// Returns the membership state of a daemon that knows `size` members.
fn make_members(size: usize) -> Members {
    let addr = |i: usize| {
        let port = u16::try_from(1_000 + i).unwrap_or(u16::MAX);
        std::net::SocketAddr::from(([10, 0, 0, 1], port))
    };
    let now = UnixMs(1_000_000);
    let mut members = Members::new("entry-0", "dc0", addr(0), now, 1);
    for i in 1..size {
        let name = format!("entry-{i}");
        let other = Members::new(&name, &format!("dc{}", i % CENTRES), addr(i), now, 1);
        let message = marigoldglade::member::Message::Ack {
            seq: 0,
            digest: 0,
            updates: vec![other.me().clone()],
        };
        members.step(now, Event::Message(addr(i), message), &mut Vec::new());
    }
    members
}

/// Computes a daemon's cost if each daemon sends a heartbeat to every other one once per probe
/// period.
fn compute_heartbeats(size: usize) {
    let me = Holder {
        dc: "dc0".to_owned(),
        name: "entry-0".to_owned(),
        addr: std::net::SocketAddr::from(([10, 0, 0, 1], 1_000)),
        epoch: 0,
    };
    let frame = Frame {
        kind: FrameKind::Notification,
        payload: Payload::Owners(vec![me]),
    };
    let bytes = mesh::encode(&frame).map_or(0, |b| b.len()) + TAG_BYTES + HEADER_BYTES;
    let cost = meter::cost_us(|| {
        let bytes = mesh::encode(&frame).unwrap_or_default();
        mesh::decode::<Frame>(&bytes)
    });
    let sent = (size - 1) as f64 * 1_000.0 / PROBE_PERIOD_MS as f64;
    let cpu = sent * cost;
    print_row(
        "heartbeats",
        size,
        [sent, sent * bytes as f64],
        size - 1,
        [0.0, cpu],
    );
}

fn print_row(way: &str, size: usize, rates: [f64; 2], links: usize, costs: [f64; 2]) {
    println!(
        "{way:<10} {size:>7} {:>7.2} {:>8.0} {links:>6} {:>12.0} {:>9.1}",
        rates[0], rates[1], costs[0], costs[1]
    );
}
