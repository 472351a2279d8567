//! The proxy delivers, keeps and loses bytes as TCP does over a path that is silent, cut or reset.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use standin::proxy::{Flow, Proxy};

/// How long a test waits for bytes that must come.
const ARRIVAL: Duration = Duration::from_secs(20);
/// How long a test waits for bytes that must not come.
const SILENCE: Duration = Duration::from_millis(300);

/// An upstream that reports each line and the end of each connection, and sends every line back.
struct Echo {
    addr: SocketAddr,
    lines: Receiver<String>,
}

impl Echo {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("bound");
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let sender = sender.clone();
                std::thread::spawn(move || {
                    let mut stream = stream;
                    let (mut line, mut byte) = (Vec::new(), [0]);
                    let end = loop {
                        match stream.read(&mut byte) {
                            Ok(0) => break "end",
                            Ok(_) => {}
                            Err(_) => break "reset",
                        }
                        line.push(byte[0]);
                        if byte[0] == b'\n' {
                            let text = String::from_utf8_lossy(&line).trim().to_owned();
                            let _ = sender.send(text);
                            let _ = stream.write_all(&line);
                            line.clear();
                        }
                    };
                    let _ = sender.send(end.to_owned());
                });
            }
        });
        Self { addr, lines }
    }

    fn next(&self) -> String {
        self.lines.recv_timeout(ARRIVAL).expect("it arrives")
    }

    fn is_silent(&self) -> bool {
        self.lines.recv_timeout(SILENCE).is_err()
    }
}

fn start() -> (Echo, Proxy) {
    let echo = Echo::start();
    let proxy = Proxy::start(echo.addr).expect("a port is free");
    (echo, proxy)
}

fn open(proxy: &Proxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.addr).expect("it accepts");
    stream.set_read_timeout(Some(ARRIVAL)).expect("it is set");
    stream
}

fn send(stream: &mut TcpStream, line: &str) {
    stream
        .write_all(format!("{line}\n").as_bytes())
        .expect("it is sent");
}

fn receive(stream: &mut TcpStream) -> std::io::Result<String> {
    let (mut line, mut byte) = (String::new(), [0]);
    while stream.read(&mut byte)? == 1 && byte[0] != b'\n' {
        line.push(char::from(byte[0]));
    }
    Ok(line)
}

fn receives_nothing(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(SILENCE)).expect("it is set");
    let outcome = receive(stream);
    stream.set_read_timeout(Some(ARRIVAL)).expect("it is set");
    outcome.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

fn close_with_reset(stream: TcpStream) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()
        .expect("a runtime");
    let _guard = runtime.enter();
    stream.set_nonblocking(true).expect("it is set");
    let stream = tokio::net::TcpStream::from_std(stream).expect("a stream");
    stream.set_zero_linger().expect("it is set");
}

#[test]
fn bytes_and_orderly_ends_pass() {
    let (echo, proxy) = start();
    let mut stream = open(&proxy);
    send(&mut stream, "a");
    assert_eq!(echo.next(), "a");
    assert_eq!(receive(&mut stream).expect("open"), "a");
    drop(stream);
    assert_eq!(echo.next(), "end");
}

#[test]
fn delayed_bytes_come_late() {
    let (echo, proxy) = start();
    proxy.set_requests(Flow::Delayed(SILENCE));
    let (mut stream, begin) = (open(&proxy), Instant::now());
    send(&mut stream, "a");
    assert_eq!(echo.next(), "a");
    assert!(begin.elapsed() >= SILENCE);
}

#[test]
fn held_requests_arrive_after_their_sender_has_closed() {
    let (echo, proxy) = start();
    let mut old = open(&proxy);
    send(&mut old, "before");
    assert_eq!(echo.next(), "before");
    assert_eq!(receive(&mut old).expect("open"), "before");
    proxy.set_both(Flow::Held);
    let mut new = open(&proxy);
    send(&mut old, "old");
    send(&mut new, "new");
    drop((old, new));
    assert!(echo.is_silent());
    proxy.set_both(Flow::Open);
    let mut seen: Vec<String> = (0..4).map(|_| echo.next()).collect();
    seen.sort();
    assert_eq!(seen, ["end", "end", "new", "old"]);
}

#[test]
fn held_requests_are_lost_after_a_reset_of_their_sender() {
    let (echo, proxy) = start();
    let mut old = open(&proxy);
    send(&mut old, "before");
    assert_eq!(echo.next(), "before");
    assert_eq!(receive(&mut old).expect("open"), "before");
    proxy.set_both(Flow::Held);
    let mut new = open(&proxy);
    send(&mut old, "old");
    send(&mut new, "new");
    close_with_reset(old);
    close_with_reset(new);
    assert!(echo.is_silent());
    proxy.set_both(Flow::Open);
    assert_eq!(echo.next(), "reset");
    assert!(echo.is_silent());
}

#[test]
fn held_responses_come_after_the_silence() {
    let (echo, proxy) = start();
    proxy.set_responses(Flow::Held);
    let mut stream = open(&proxy);
    send(&mut stream, "a");
    assert_eq!(echo.next(), "a");
    assert!(receives_nothing(&mut stream));
    proxy.set_responses(Flow::Open);
    assert_eq!(receive(&mut stream).expect("open"), "a");
}

#[test]
fn a_cut_lasts_for_its_connections_only() {
    let (echo, proxy) = start();
    let mut old = open(&proxy);
    send(&mut old, "before");
    assert_eq!(echo.next(), "before");
    proxy.set_requests(Flow::Cut);
    send(&mut old, "lost");
    assert!(echo.is_silent());
    proxy.set_requests(Flow::Open);
    send(&mut old, "lost too");
    assert!(echo.is_silent());
    let mut new = open(&proxy);
    send(&mut new, "new");
    assert_eq!(echo.next(), "new");
}

#[test]
fn a_reset_reaches_both_ends() {
    let (echo, proxy) = start();
    let mut stream = open(&proxy);
    send(&mut stream, "a");
    assert_eq!(echo.next(), "a");
    assert_eq!(receive(&mut stream).expect("open"), "a");
    proxy.reset();
    assert_eq!(echo.next(), "reset");
    let outcome = receive(&mut stream);
    assert!(outcome.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
}

#[test]
fn refused_connections_are_reset() {
    let (echo, proxy) = start();
    proxy.set_refuses(true);
    let outcome = TcpStream::connect(proxy.addr).and_then(|mut s| receive(&mut s));
    assert!(outcome.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    proxy.set_refuses(false);
    let mut stream = open(&proxy);
    send(&mut stream, "a");
    assert_eq!(echo.next(), "a");
}

#[test]
fn connections_wait_until_they_are_served_while_older_ones_pass() {
    let (echo, proxy) = start();
    let mut old = open(&proxy);
    send(&mut old, "before");
    assert_eq!(echo.next(), "before");
    proxy.set_accepts(false);
    let mut new = open(&proxy);
    send(&mut new, "new");
    assert!(echo.is_silent());
    send(&mut old, "old");
    assert_eq!(echo.next(), "old");
    proxy.set_accepts(true);
    assert_eq!(echo.next(), "new");
}
