//! Size of the usage sketches that daemons send each other, by the number of callers and daemons.

use marigoldglade::mesh::{self, Frame, FrameKind, Payload};
use marigoldglade::requests::Gossip;
use marigoldglade::share::{CallerKey, SKETCH_CALLERS, SKETCH_INTERVAL_MS, Sketch};

use crate::meter::{Line, cost_us, print_line};

/// The numbers of callers in a sketch that are measured.
const SIZES: [usize; 4] = [0, 8, 16, SKETCH_CALLERS];
/// The numbers of daemons: today's, the planned one and a larger one.
const DAEMONS: [f64; 3] = [7.0, 35.0, 140.0];
/// The bytes around a frame: the tag, the WebSocket header, and the IP and TCP headers of the frame
/// and of its acknowledgement.
const OVERHEAD_BYTES: f64 = 16.0 + 8.0 + 2.0 * 52.0;

fn frame(callers: usize) -> Frame {
    let caller = |i: usize| (CallerKey::new("register", &i.to_string()), 1_000_000);
    let callers = (0..callers).map(caller).collect();
    Frame {
        kind: FrameKind::Notification,
        payload: Payload::Request(Gossip::Share(Sketch {
            callers,
            full: false,
        })),
    }
}

pub(super) fn run() {
    println!("\nheavy callers told to every daemon, x = callers in the word");
    let points = |f: &dyn Fn(usize) -> f64| SIZES.map(|n| (n as f64, f(n)));
    let bytes = points(&|n| mesh::encode(&frame(n)).map_or(0.0, |b| b.len() as f64));
    print_line("frame", "bytes", &bytes, SKETCH_CALLERS as f64);
    let cost = points(&|n| {
        let frame = frame(n);
        cost_us(|| mesh::encode(&frame).and_then(|b| mesh::decode::<Frame>(&b)))
    });
    print_line("encode and decode", "cpu us", &cost, SKETCH_CALLERS as f64);
    let each = Line::fit(&bytes).at(SKETCH_CALLERS as f64) + OVERHEAD_BYTES;
    for daemons in DAEMONS {
        let rate = (daemons - 1.0) * 1_000.0 / SKETCH_INTERVAL_MS as f64;
        println!(
            "{daemons} daemons: {rate:.0} frames/s, {:.0} bytes/s sent",
            rate * each
        );
    }
}
