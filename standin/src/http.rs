//! What all stand-ins share: a listener whose requests go to a closure, a thread each.

use std::io::Read as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use marigoldglade::time::UnixMs;
use tiny_http::{Header, Request, Response, Server};

/// The largest body that a stand-in reads, in bytes.
const BODY_LIMIT_BYTES: u64 = 8 << 20;

/// A stand-in that serves until it is dropped.
pub struct Served {
    /// Where it listens.
    pub addr: SocketAddr,
    server: Arc<Server>,
}

impl Drop for Served {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

/// Listens on `addr` and gives each request to `handle` on a thread of its own.
///
/// # Errors
///
/// When the address can't be bound.
pub fn serve(
    addr: SocketAddr,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> std::io::Result<Served> {
    let server = Arc::new(Server::http(addr).map_err(std::io::Error::other)?);
    let bound = server
        .server_addr()
        .to_ip()
        .ok_or_else(|| std::io::Error::other("the listener has no IP number"))?;
    let handle = Arc::new(handle);
    let accepting = Arc::clone(&server);
    std::thread::spawn(move || {
        // An unblocked receive ends the loop.
        while let Ok(request) = accepting.recv() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || handle(request));
        }
    });
    Ok(Served {
        addr: bound,
        server,
    })
}

/// Returns the time now.
#[must_use]
pub fn now() -> UnixMs {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMs(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Reads a request's body; `None` when it is cut short or larger than the bound.
pub fn read_body(request: &mut Request) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let declared = request.body_length();
    let mut reader = request.as_reader().take(BODY_LIMIT_BYTES);
    reader.read_to_end(&mut body).ok()?;
    (declared.is_none() || declared == Some(body.len())).then_some(body)
}

/// Returns the value of a header.
#[must_use]
pub fn header(request: &Request, name: &str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|h| h.value.to_string())
}

/// Answers a request; a peer that is gone already is ignored.
pub fn answer(request: Request, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
    let mut response = Response::from_data(body).with_status_code(status);
    for (name, value) in headers {
        if let Ok(header) = Header::from_bytes(*name, *value) {
            response.add_header(header);
        }
    }
    let _ = request.respond(response);
}

/// Answers with a value as JSON.
pub fn answer_json<T: serde::Serialize>(request: Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    answer(
        request,
        status,
        &[("content-type", "application/json")],
        body,
    );
}

/// Runs a stand-in as a program: `--listen IP:PORT` and `--name NAME`; prints where it listens,
/// then serves until it is killed.
///
/// # Errors
///
/// When the address can't be bound.
pub fn run(
    program: &'static str,
    about: &'static str,
    start: impl Fn(SocketAddr, &str) -> std::io::Result<Served>,
) -> std::io::Result<()> {
    let args = clap::Command::new(program)
        .about(about)
        .arg(
            clap::Arg::new("listen")
                .long("listen")
                .help("IP number and port; port 0 lets the kernel choose")
                .default_value("127.0.0.1:0")
                .value_parser(clap::value_parser!(SocketAddr)),
        )
        .arg(
            clap::Arg::new("name")
                .long("name")
                .help("The VM's name")
                .default_value(program),
        )
        .get_matches();
    let addr = args.get_one::<SocketAddr>("listen");
    let addr = addr.copied().unwrap_or(([127, 0, 0, 1], 0).into());
    let name = args.get_one::<String>("name");
    let served = start(addr, name.map_or(program, String::as_str))?;
    println!("{program} listens on {}", served.addr);
    loop {
        std::thread::park();
    }
}
