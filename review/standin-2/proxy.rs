//! A path between two daemons, which can be cut: what is sent meanwhile is held until the cut is over.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Starts a path to an address; it is cut while one of the two switches is set.
pub fn start(target: SocketAddr, cuts: [Arc<AtomicBool>; 2]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let cuts = cuts.clone();
            std::thread::spawn(move || {
                wait(&cuts);
                let Ok(server) = TcpStream::connect(target) else {
                    return;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else {
                    return;
                };
                let other = cuts.clone();
                std::thread::spawn(move || copy(from, to, &other));
                copy(server, client, &cuts);
            });
        }
    });
    addr
}

fn wait(cuts: &[Arc<AtomicBool>; 2]) {
    while cuts.iter().any(|c| c.load(Ordering::SeqCst)) {
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, cuts: &[Arc<AtomicBool>; 2]) {
    let mut bytes = [0; 16 << 10];
    while let Ok(count) = from.read(&mut bytes) {
        wait(cuts);
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
