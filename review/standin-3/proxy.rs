//! A TCP proxy whose path can be cut: nothing passes then, and no new connection is made.
//!
//! What was under way passes when the path is back, unless its sender has closed the connection meanwhile.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Proxy {
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

const STEP: Duration = Duration::from_millis(2);

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let first = TcpListener::bind((crate::world::own_ip(), 0)).expect("a free port");
        let addr = first.local_addr().expect("an address");
        let cut = Arc::new(AtomicBool::new(false));
        let is_cut = Arc::clone(&cut);
        thread::spawn(move || {
            let mut listener = Some(first);
            loop {
                if is_cut.load(Ordering::SeqCst) {
                    // A connection attempt fails at once where it would hang on a real path.
                    listener = None;
                } else if listener.is_none() {
                    listener = TcpListener::bind(addr).ok();
                }
                if let Some(l) = &listener {
                    let _ = l.set_nonblocking(true);
                    if let Ok((stream, _)) = l.accept() {
                        let is_cut = Arc::clone(&is_cut);
                        thread::spawn(move || join(stream, target, &is_cut));
                        continue;
                    }
                }
                thread::sleep(STEP);
            }
        });
        Self { addr, cut }
    }

    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn join(near: TcpStream, target: SocketAddr, cut: &Arc<AtomicBool>) {
    let _ = near.set_nonblocking(false);
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(near_in), Ok(far_in)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    let (there, back) = (Arc::clone(cut), Arc::clone(cut));
    let copier = thread::spawn(move || copy(near_in, far, &there));
    copy(far_in, near, &back);
    let _ = copier.join();
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let _ = to.set_nodelay(true);
    let mut bytes = [0; 16 << 10];
    loop {
        let n = match from.read(&mut bytes) {
            Ok(n) => n,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(_) => 0,
        };
        let mut held = false;
        while cut.load(Ordering::SeqCst) {
            held = true;
            thread::sleep(STEP);
        }
        if n == 0 || held && is_gone(&from) || to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Returns whether the peer has closed or reset the connection.
fn is_gone(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(n) => n == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}
