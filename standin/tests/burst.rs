//! Connections that come at once are served at once, also while others stay open.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::Barrier;
use std::time::Duration;

/// Connections of one burst.
const BURST: usize = 12;
/// Bursts, each on fresh connections.
const ROUNDS: usize = 20;
/// How long a client waits before it takes the server to hang.
const HANG: Duration = Duration::from_secs(20);

#[test]
fn no_connection_waits_for_another_to_close() {
    let served = standin::vms::start(([127, 0, 0, 1], 0).into(), Default::default());
    let addr = served.as_ref().expect("it starts").addr;
    for round in 0..ROUNDS {
        let (begin, end) = (Barrier::new(BURST), Barrier::new(BURST));
        std::thread::scope(|scope| {
            for _ in 0..BURST {
                scope.spawn(|| {
                    begin.wait();
                    let mut stream = TcpStream::connect(addr).expect("it accepts");
                    stream.set_read_timeout(Some(HANG)).expect("a timeout");
                    stream
                        .write_all(b"GET /v1/vms HTTP/1.1\r\nhost: a\r\n\r\n")
                        .expect("it reads");
                    let mut part = [0; 64];
                    let told = stream.read(&mut part);
                    // Every connection stays open until all were served.
                    end.wait();
                    assert!(told.is_ok_and(|n| n > 0), "round {round}: no answer");
                });
            }
        });
    }
}
