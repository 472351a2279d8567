//! Cost of ownership: an owner's store calls and decisions, and the encoding of a mesh frame.

use std::net::SocketAddr;

use marigoldglade::frame_auth::{Side, session};
use marigoldglade::mesh::{self, Frame, FrameKind, Payload};
use marigoldglade::owner::Candidate;
use marigoldglade::roles::{Action, Event, Roles};
use marigoldglade::store::{Body, Call, Outcome, Pair, Reply, TxnResult};
use marigoldglade::time::UnixMs;

use crate::meter::{cost_us, print_line, state_bytes};

/// The numbers of owned data centres that are measured.
const CENTRES: [usize; 3] = [1, 3, 7];
/// The payload sizes that are measured, in bytes.
const PAYLOADS: [usize; 4] = [64, 512, 4_096, 65_536];
/// The simulated time, in milliseconds.
const SPAN_MS: u64 = 600_000;
/// The time between ticks, in milliseconds.
const TICK_MS: u64 = 100;

fn addr() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000))
}

/// Returns a successful reply to a call.
fn reply(call: &Call) -> Reply {
    let body = match call {
        Call::Txn(txn) => {
            let pair = txn.then.iter().find_map(|op| match op {
                marigoldglade::store::Op::Put(key, value, lease) => Some(Pair {
                    key: key.clone(),
                    value: value.clone(),
                    created: 9,
                    changed: 9,
                    lease: *lease,
                }),
                _ => None,
            });
            Body::Txn(TxnResult {
                held: true,
                outcomes: vec![Outcome::Pairs(pair.into_iter().collect())],
            })
        }
        _ => Body::Lease {
            lease: 7,
            ttl_s: 10,
        },
    };
    Reply { revision: 9, body }
}

/// Simulates an owner of some data centres on a store that always answers; returns the number of
/// its calls.
fn count_calls(centres: usize) -> f64 {
    let mut roles = Roles::new("entry-0", addr());
    let mut now = UnixMs(1_796_376_553_794);
    let names = (0..centres).map(|i| format!("dc{i}")).collect();
    let mut out = Vec::new();
    let me = Candidate {
        name: "entry-0".to_owned(),
        dc: "dc0".to_owned(),
    };
    roles.step(now, Event::Centres(names), &mut out);
    roles.step(now, Event::Members(vec![me]), &mut out);
    roles.step(now, Event::Listed(Vec::new(), 1), &mut out);
    let end = now.after(SPAN_MS);
    let mut count = 0;
    while now < end {
        roles.step(now, Event::Tick, &mut out);
        while let Some(action) = out.pop() {
            if let Action::Call(key, id, call, _) = action {
                count += 1;
                roles.step(now, Event::Reply(key, id, Ok(reply(&call))), &mut out);
            }
        }
        now = now.after(TICK_MS);
    }
    f64::from(count)
}

pub(super) fn run() {
    println!("\nownership, x = data centres that one daemon owns");
    let seconds = SPAN_MS as f64 / 1_000.0;
    let rate = CENTRES.map(|n| (n as f64, count_calls(n) / seconds));
    print_line("store calls a second", "calls/s", &rate, 1.0);
    let cpu = CENTRES.map(|n| (n as f64, cost_us(|| count_calls(n)) / seconds));
    print_line("decisions, a second of them", "cpu us", &cpu, 1.0);
    println!("\nmesh frame, x = bytes of its payload");
    let cost = PAYLOADS.map(|n| (n as f64, cost_us(|| round_trip(n))));
    print_line("encode, seal, open, decode", "cpu us", &cost, 1_024.0);
    let state = state_bytes(1_000, || session(b"key", Side::Client, b"a", b"b"));
    println!("state of a link's authentication: {state:.0} bytes");
}

/// Encodes, seals, opens and decodes a frame; returns whether it is unchanged.
fn round_trip(size: usize) -> bool {
    let detail = "x".repeat(size);
    let error = marigoldglade::error::Error::new(marigoldglade::error::Kind::Shed, detail);
    let frame = Frame {
        kind: FrameKind::Notification,
        payload: Payload::Refused(error),
    };
    let (mut sealer, _) = session(b"key", Side::Client, b"a", b"b");
    let (_, mut opener) = session(b"key", Side::Server, b"a", b"b");
    let sealed = sealer.seal(&mesh::encode(&frame).unwrap_or_default());
    opener
        .open(&sealed)
        .and_then(mesh::decode::<Frame>)
        .is_ok_and(|f| f == frame)
}
