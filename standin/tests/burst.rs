//! Simultaneous connections are all served while others stay open.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::Barrier;
use std::time::Duration;

/// The connections that are opened at the same time.
const BURST: usize = 12;
/// The number of bursts, each on new connections.
const ROUNDS: usize = 20;
/// How long a client waits for an answer before the test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

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
                    stream
                        .set_read_timeout(Some(READ_TIMEOUT))
                        .expect("a timeout");
                    stream
                        .write_all(b"GET /v1/vms HTTP/1.1\r\nhost: a\r\n\r\n")
                        .expect("it reads");
                    let mut buffer = [0; 64];
                    let received = stream.read(&mut buffer);
                    // Every connection stays open until all are served.
                    end.wait();
                    assert!(received.is_ok_and(|n| n > 0), "round {round}: no answer");
                });
            }
        });
    }
}
