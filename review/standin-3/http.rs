//! A small HTTP/1.1 server and client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(k, _)| k.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v)
    }

    pub fn arg(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(k, _)| k == name);
        found.map_or("", |(_, v)| v)
    }
}

fn unescape(text: &str) -> String {
    let b = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < b.len() {
        if b[i] == b'%' && i + 2 < b.len() {
            if let Ok(n) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(n);
                i += 3;
                continue;
            }
        }
        out.push(b[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head and the body of a message; returns its first line, headers and body.
fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, Vec<(String, String)>, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    let mut length = 0;
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
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((
        first.trim_end().to_owned(),
        headers,
        String::from_utf8(body).ok()?,
    ))
}

/// Serves until the process ends. The handler returns the status and the body, or `None` to close the connection.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request) -> Option<(u16, String)> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some((first, headers, body)) = read_message(&mut reader) {
                    let mut parts = first.split(' ');
                    let method = parts.next().unwrap_or("").to_owned();
                    let target = parts.next().unwrap_or("").to_owned();
                    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
                    let query = query.split('&').filter_map(|p| p.split_once('='));
                    let request = Request {
                        method,
                        path: path.to_owned(),
                        query: query.map(|(k, v)| (unescape(k), unescape(v))).collect(),
                        headers,
                        body,
                    };
                    let Some((status, body)) = handler(&request) else {
                        return;
                    };
                    let answer = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if writer.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Makes a call on a new connection.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (k, v) in headers {
        text.push_str(&format!("{k}: {v}\r\n"));
    }
    if !headers.iter().any(|(k, _)| *k == "Host") {
        text.push_str("Host: standin\r\n");
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    Some((first.split(' ').nth(1)?.parse().ok()?, body))
}
