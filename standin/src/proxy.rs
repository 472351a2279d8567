//! TCP proxy on loopback whose paths a test can delay, silence, cut or reset.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http::RUNTIME;

/// The size of the buffer of each direction of a connection.
const CHUNK_BYTES: usize = 16 << 10;
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// They pass.
    #[default]
    Open,
    /// They pass this much later.
    Delayed(Duration),
    /// They wait until the flow is open again, also when their sender has closed its connection since.
    /// If the sender has reset its connection, they are lost.
    Held,
    /// They are lost, and so are all later bytes of the same connections.
    Cut,
}

#[derive(Clone, Copy)]
struct State {
    upstream: SocketAddr,
    requests: Flow,
    responses: Flow,
    refuses: bool,
    /// Whether new connections are served.
    accepts: bool,
    /// How often all connections were reset.
    resets: u64,
}

/// A proxy that serves until it is dropped, which resets its connections.
///
/// It accepts connections during a silence, too: their bytes reach the upstream afterwards, on a
/// connection that is opened only then.
pub struct Proxy {
    /// The address that it listens on.
    pub addr: SocketAddr,
    state: watch::Sender<State>,
    accept_task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accept_task.abort();
        self.reset();
    }
}

impl Proxy {
    /// Starts a proxy on a free port.
    ///
    /// # Errors
    ///
    /// When no address can be bound.
    pub fn start(upstream: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind((upstream.ip(), 0))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let _guard = RUNTIME.enter();
        let listener = TcpListener::from_std(listener)?;
        let (state, watched) = watch::channel(State {
            upstream,
            requests: Flow::Open,
            responses: Flow::Open,
            refuses: false,
            accepts: true,
            resets: 0,
        });
        let accept_task = RUNTIME.spawn(accept(listener, watched));
        Ok(Self {
            addr,
            state,
            accept_task,
        })
    }

    /// Sets what happens to bytes from the clients to the upstream.
    pub fn set_requests(&self, flow: Flow) {
        self.state.send_modify(|s| s.requests = flow);
    }

    /// Sets what happens to bytes from the upstream to the clients.
    pub fn set_responses(&self, flow: Flow) {
        self.state.send_modify(|s| s.responses = flow);
    }

    /// Sets what happens to the bytes of both directions.
    pub fn set_both(&self, flow: Flow) {
        self.state.send_modify(|s| {
            s.requests = flow;
            s.responses = flow;
        });
    }

    /// Sets whether new connections are refused: they are reset as soon as they are accepted.
    pub fn set_refuses(&self, refuses: bool) {
        self.state.send_modify(|s| s.refuses = refuses);
    }

    /// Sets whether new connections are served; until they are, nothing passes on them.
    pub fn set_accepts(&self, accepts: bool) {
        self.state.send_modify(|s| s.accepts = accepts);
    }

    /// Sets the address to which new connections are forwarded.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.state.send_modify(|s| s.upstream = upstream);
    }

    /// Resets all connections, on both sides.
    pub fn reset(&self) {
        self.state.send_modify(|s| s.resets += 1);
    }
}

type Watched = watch::Receiver<State>;

async fn accept(listener: TcpListener, mut state: Watched) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = client.set_nodelay(true);
        let Ok(now) = state.wait_for(|s| s.accepts).await.map(|s| *s) else {
            return;
        };
        if now.refuses {
            let _ = client.set_zero_linger();
            continue;
        }
        tokio::spawn(serve(client, state.clone(), now.resets));
    }
}

/// Forwards a connection until it ends or all are reset.
async fn serve(mut client: TcpStream, mut state: Watched, resets: u64) {
    let mut upstream = None;
    let done = tokio::select! {
        done = forward(&mut client, &mut upstream, state.clone()) => done.is_ok(),
        _ = state.wait_for(|s| s.resets != resets) => false,
    };
    if !done {
        for stream in [Some(client), upstream].into_iter().flatten() {
            let _ = stream.set_zero_linger();
        }
    }
}

/// Forwards a connection; returns an error once the client's side is to be reset.
async fn forward(
    client: &mut TcpStream,
    upstream: &mut Option<TcpStream>,
    mut state: Watched,
) -> io::Result<()> {
    let done = connect_and_pump(client, upstream, &mut state).await;
    if done.is_err() {
        if let Some(stream) = upstream.take() {
            let _ = stream.set_zero_linger();
        }
        // A reset waits like the bytes before it.
        wait_passable(&mut state, |s| s.responses).await?;
    }
    done
}

async fn connect_and_pump(
    client: &mut TcpStream,
    upstream: &mut Option<TcpStream>,
    state: &mut Watched,
) -> io::Result<()> {
    if wait_passable(state, |s| s.requests).await? {
        check_reset(client)?;
    }
    let addr = state.borrow().upstream;
    let upstream = upstream.insert(TcpStream::connect(addr).await?);
    let _ = upstream.set_nodelay(true);
    let (from_client, to_client) = client.split();
    let (from_upstream, to_upstream) = upstream.split();
    tokio::try_join!(
        pump(from_client, to_upstream, state.clone(), |s| s.requests),
        pump(from_upstream, to_client, state.clone(), |s| s.responses),
    )?;
    Ok(())
}

/// Returns an error if the peer has reset the connection. The kernel would still hand over the bytes
/// that came before the reset.
fn check_reset(stream: &TcpStream) -> io::Result<()> {
    stream.take_error()?.map_or(Ok(()), Err)
}

/// Waits until bytes may pass in a direction, forever if it is cut; returns whether it had to wait.
async fn wait_passable(state: &mut Watched, flow: fn(&State) -> Flow) -> io::Result<bool> {
    let now = flow(&state.borrow());
    if !matches!(now, Flow::Held | Flow::Cut) {
        return Ok(false);
    }
    if now == Flow::Held {
        let changed = state.wait_for(|s| flow(s) != Flow::Held).await;
        let now = changed.map(|s| flow(&s)).map_err(io::Error::other)?;
        if now != Flow::Cut {
            return Ok(true);
        }
    }
    std::future::pending().await
}

/// Forwards one direction until its sender closes it.
async fn pump(
    from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut state: Watched,
    flow: fn(&State) -> Flow,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        from.readable().await?;
        if wait_passable(&mut state, flow).await? {
            check_reset(from.as_ref())?;
        }
        let size = match from.try_read(&mut buffer) {
            Ok(size) => size,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
            Err(e) => return Err(e),
        };
        let now = flow(&state.borrow());
        if let Flow::Delayed(delay) = now {
            tokio::time::sleep(delay).await;
            if wait_passable(&mut state, flow).await? {
                check_reset(from.as_ref())?;
            }
        }
        if size == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..size]).await?;
    }
}
