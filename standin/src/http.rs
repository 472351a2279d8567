//! What all stand-ins share: a listener whose requests go to a closure, a thread each.
//!
//! `hyper` takes the place of `tiny_http` here, whose thread pool may leave a fresh connection
//! waiting until another one closes (`tests/burst.rs`).

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::{BodyExt as _, Either, Full, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response};
use hyper_util::rt::TokioIo;
use marigoldglade::time::UnixMs;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Pieces of a streamed answer that wait for the peer.
const STREAM_WAITING: usize = 1;
/// Requests that are handled at once.
const HANDLERS_LIMIT: usize = 1_024;
/// The pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The largest body that a stand-in reads, in bytes.
const BODY_LIMIT_BYTES: usize = 8 << 20;

/// A stand-in that serves until it is dropped.
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

type Body = Either<Full<Bytes>, Channel<Bytes>>;

/// A request with its whole body. Dropped without an answer, it closes its connection.
pub struct Request {
    head: Parts,
    body: Bytes,
    answer: oneshot::Sender<Response<Body>>,
}

impl Request {
    /// Returns the method.
    #[must_use]
    pub fn method(&self) -> &Method {
        &self.head.method
    }

    /// Returns the path and query.
    #[must_use]
    pub fn url(&self) -> &str {
        self.head.uri.path_and_query().map_or("/", |p| p.as_str())
    }

    /// Returns the body.
    #[must_use]
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Begins an answer with status 200 whose body is sent piece by piece.
    #[must_use]
    pub fn stream(self) -> Stream {
        let (sender, channel) = Channel::new(STREAM_WAITING);
        let _ = self.answer.send(Response::new(Either::Right(channel)));
        Stream(sender)
    }
}

/// The rest of an answer; it ends when this is dropped.
pub struct Stream(Sender<Bytes>);

impl Stream {
    /// Sends a piece of the body; `false` when the peer is gone.
    #[must_use]
    pub fn send(&mut self, piece: String) -> bool {
        RUNTIME
            .handle()
            .block_on(self.0.send_data(piece.into()))
            .is_ok()
    }
}

static RUNTIME: LazyLock<Runtime> = LazyLock::new(|| {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .max_blocking_threads(HANDLERS_LIMIT)
        .enable_all()
        .build()
        .expect("the process can start threads")
});

/// Listens on `addr` and gives each request to `handle` on a thread that may block.
///
/// # Errors
///
/// When the address can't be bound.
pub fn serve(
    addr: SocketAddr,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> std::io::Result<Server> {
    let listener = std::net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let _inside = RUNTIME.enter();
    let listener = TcpListener::from_std(listener)?;
    let accepting = RUNTIME.spawn(accept(listener, Arc::new(handle)));
    Ok(Server { addr, accepting })
}

type Handle = Arc<dyn Fn(Request) + Send + Sync>;

async fn accept(listener: TcpListener, handle: Handle) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The process is out of descriptors; some will come back.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handle = Arc::clone(&handle);
        let service = service_fn(move |request| take(Arc::clone(&handle), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

/// Reads a request whole and has it answered. An error closes the connection.
async fn take(
    handle: Handle,
    request: hyper::Request<Incoming>,
) -> Result<Response<Body>, Box<dyn std::error::Error + Send + Sync>> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, BODY_LIMIT_BYTES).collect().await?;
    let (answer, answered) = oneshot::channel();
    let request = Request {
        head,
        body: body.to_bytes(),
        answer,
    };
    tokio::task::spawn_blocking(move || handle(request));
    Ok(answered.await?)
}

/// Returns the time now.
#[must_use]
pub fn now() -> UnixMs {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMs(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the value of a header.
#[must_use]
pub fn header(request: &Request, name: &str) -> Option<String> {
    let value = request.head.headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Answers a request; a peer that is gone already is ignored.
pub fn answer(request: Request, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    if let Ok(response) = response.body(Either::Left(Full::from(body))) {
        let _ = request.answer.send(response);
    }
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
    start: impl Fn(SocketAddr, &str) -> std::io::Result<Server>,
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
