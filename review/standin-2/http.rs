//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Request {
    /// When its connection was opened.
    pub opened_at: Instant,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let same = |h: &&(String, String)| h.0.eq_ignore_ascii_case(name);
        self.headers.iter().find(same).map(|h| h.1.as_str())
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pair = query.split('&').filter_map(|p| p.split_once('='));
        let value = pair.into_iter().find(|(k, _)| *k == name)?.1;
        Some(unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = text
            .get(i + 1..i + 3)
            .and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let length = headers
        .iter()
        .find(|h| h.0.eq_ignore_ascii_case("content-length"))
        .and_then(|h| h.1.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, body))
}

/// A server on a free loopback port.
pub struct Server {
    pub addr: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Closes all connections, as the end of a process does.
    pub fn close_connections(&self) {
        for stream in self.open.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests on a free loopback port. A request without an answer closes its connection.
pub fn serve<F>(handle: F) -> Server
where
    F: Fn(&Request) -> Option<(u16, String)> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let opened = Arc::clone(&open);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            opened.lock().expect("no panic").extend(stream.try_clone());
            std::thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    Server { addr, open }
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Option<(u16, String)>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let opened_at = Instant::now();
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_head(&mut reader) {
        let mut words = first.split(' ');
        let target = words.nth(1).unwrap_or("");
        let request = Request {
            opened_at,
            target: target.to_owned(),
            headers,
            body,
        };
        let Some((status, body)) = handle(&request) else {
            break;
        };
        let answer = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

/// Makes a call; `None` without a complete answer in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\n{headers}content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let (first, _, body) = read_head(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
