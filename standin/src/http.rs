//! HTTP server of the stand-ins: it passes each request to a closure on a thread that may block.
//!
//! It uses `hyper`, not `tiny_http`, because the thread pool of `tiny_http` may leave a new
//! connection waiting until another one closes (`tests/burst.rs`).

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
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

/// The number of chunks of a streamed answer that are buffered for the peer.
const STREAM_BUFFER: usize = 1;
/// The most requests that are handled at once.
const MAX_HANDLERS: usize = 1_024;
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The largest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// A running HTTP server; dropping it stops the listener.
pub struct Server {
    /// The address that it listens on.
    pub addr: SocketAddr,
    accept_task: JoinHandle<()>,
    /// How often all connections were closed.
    closures: watch::Sender<u64>,
}

impl Server {
    /// Closes all connections; requests that came on them are closed at once.
    pub fn close_connections(&self) {
        self.closures.send_modify(|n| *n += 1);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

type Body = Either<Full<Bytes>, Channel<Bytes>>;

/// A request with its whole body. If it is dropped unanswered, its connection closes.
pub struct Request {
    head: Parts,
    body: Bytes,
    responder: oneshot::Sender<Response<Body>>,
    closures: watch::Receiver<u64>,
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

    /// Returns whether the server has closed the request's connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closures.has_changed().unwrap_or(false)
    }

    /// Returns the body.
    #[must_use]
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Starts an answer with status 200 whose body is sent in chunks.
    #[must_use]
    pub fn stream(self) -> Stream {
        let (sender, channel) = Channel::new(STREAM_BUFFER);
        let _ = self.responder.send(Response::new(Either::Right(channel)));
        Stream(sender)
    }
}

/// The body of a streamed answer, which ends when this is dropped.
pub struct Stream(Sender<Bytes>);

impl Stream {
    /// Sends a chunk of the body; returns `false` if the peer has disconnected.
    #[must_use]
    pub fn send(&mut self, chunk: String) -> bool {
        RUNTIME
            .handle()
            .block_on(self.0.send_data(chunk.into()))
            .is_ok()
    }
}

pub(crate) static RUNTIME: LazyLock<Runtime> = LazyLock::new(|| {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .max_blocking_threads(MAX_HANDLERS)
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
    let _guard = RUNTIME.enter();
    let listener = TcpListener::from_std(listener)?;
    let (closures, watched) = watch::channel(0);
    let accept_task = RUNTIME.spawn(accept(listener, Arc::new(handle), watched));
    Ok(Server {
        addr,
        accept_task,
        closures,
    })
}

type Handler = Arc<dyn Fn(Request) + Send + Sync>;

async fn accept(listener: TcpListener, handle: Handler, watched: watch::Receiver<u64>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely the process has no file descriptors left; wait until some are closed.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handle = Arc::clone(&handle);
        let mut closures = watched.clone();
        closures.mark_unchanged();
        let watched = closures.clone();
        let service = service_fn(move |request| {
            handle_request(Arc::clone(&handle), request, watched.clone())
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            tokio::select! {
                _ = connection => {}
                Ok(()) = closures.changed() => {}
            }
        });
    }
}

/// Reads a request with its body and waits for the handler's answer. An error closes the
/// connection.
async fn handle_request(
    handle: Handler,
    request: hyper::Request<Incoming>,
    closures: watch::Receiver<u64>,
) -> Result<Response<Body>, Box<dyn std::error::Error + Send + Sync>> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await?;
    let (responder, response) = oneshot::channel();
    let request = Request {
        head,
        body: body.to_bytes(),
        responder,
        closures,
    };
    tokio::task::spawn_blocking(move || handle(request));
    Ok(response.await?)
}

/// Returns the current time.
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

/// Answers a request; does nothing if the peer has disconnected.
pub fn answer(request: Request, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    if let Ok(response) = response.body(Either::Left(Full::from(body))) {
        let _ = request.responder.send(response);
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

/// Runs a stand-in as a program with the options `--listen IP:PORT` and `--name NAME`.
///
/// It prints its address, then serves until it is killed.
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
