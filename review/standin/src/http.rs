//! A small HTTP/1.1 client: one request a connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A response.
pub struct Response {
    pub status: u16,
    /// The value of `Retry-After`, in seconds.
    pub retry_after_s: Option<u64>,
    pub body: Vec<u8>,
}

/// Sends a request and reads its whole response; `None` when none comes within `limit`.
pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    parse(&answer)
}

fn parse(answer: &[u8]) -> Option<Response> {
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&answer[..end]).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let value = |name: &str| {
        head.lines().find_map(|l| {
            let (key, value) = l.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    };
    let body = &answer[end + 4..];
    if let Some(length) = value("content-length") {
        let length: usize = length.parse().ok()?;
        if body.len() < length {
            return None;
        }
    }
    Some(Response {
        status,
        retry_after_s: value("retry-after").and_then(|v| v.parse().ok()),
        body: body.to_vec(),
    })
}
