//! Authenticated mesh connections, each split into a half that sends frames and one that receives
//! them.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt as _, StreamExt as _};
use marigoldglade::frame_auth::{NONCE_BYTES, TAG_BYTES};
use marigoldglade::mesh::{
    self, ClientHandshake, FRAME_LIMIT_BYTES, Frame, Hello, Receiver, Sender, ServerHandshake,
};
use marigoldglade::prelude::*;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

/// The time that connecting and the handshake may take, in milliseconds.
const HANDSHAKE_MS: u64 = 2_000;
/// The size of a connection's read buffer and of its write buffer, in bytes.
const BUFFER_BYTES: usize = 4 << 10;

type Stream = WebSocketStream<TcpStream>;

/// The sending half of a link.
pub(crate) struct FrameWriter {
    sink: SplitSink<Stream, Message>,
    sender: Sender,
}

/// The receiving half of a link.
pub(crate) struct FrameReader {
    stream: SplitStream<Stream>,
    receiver: Receiver,
}

/// An authenticated link to a peer.
pub(crate) struct Link {
    pub(crate) peer: Hello,
    pub(crate) writer: FrameWriter,
    pub(crate) reader: FrameReader,
}

impl FrameWriter {
    /// Sends a frame, and returns its size in bytes.
    ///
    /// # Errors
    ///
    /// [`Kind::TooLarge`] when the frame is too large and wasn't sent, [`Kind::Unknown`] when the link
    /// broke.
    pub(crate) async fn send(&mut self, frame: &Frame) -> Result<usize> {
        let bytes = self.sender.seal(frame)?;
        let size = bytes.len();
        self.sink
            .send(Message::binary(bytes))
            .await
            .map_err(link_error)?;
        Ok(size)
    }
}

impl FrameReader {
    /// Waits for the next frame, and returns it with its size in bytes.
    ///
    /// # Errors
    ///
    /// [`Kind::Unknown`] when the link broke, [`Kind::BadPeer`] when the peer sent anything but its next
    /// frame.
    pub(crate) async fn receive(&mut self) -> Result<(Frame, usize)> {
        let bytes = next(&mut self.stream).await?;
        Ok((self.receiver.open(&bytes)?, bytes.len()))
    }
}

/// Connects to a peer and authenticates both sides.
///
/// # Errors
///
/// [`Kind::NoTarget`] when the peer can't be reached, [`Kind::BadPeer`] when it has another key or
/// version.
pub(crate) async fn dial(addr: SocketAddr, key: &[u8], hello: &Hello) -> Result<Link> {
    with_timeout(async {
        let tcp = TcpStream::connect(addr).await.map_err(unreachable_peer)?;
        let _ = tcp.set_nodelay(true);
        // What the peer hasn't received when the link is closed has been given up; without a reset, the kernel
        // would go on delivering it.
        let _ = tcp.set_zero_linger();
        let url = format!("ws://{addr}/");
        let (mut stream, _) = client_async_with_config(url, tcp, Some(config()))
            .await
            .map_err(unreachable_peer)?;
        let dial = ClientHandshake::new(key, &with_new_nonce(hello))?;
        send(&mut stream, dial.hello().to_vec()).await?;
        let welcome = next(&mut stream).await?;
        let (proof, peer, halves) = dial.finish(&welcome)?;
        send(&mut stream, proof.to_vec()).await?;
        Ok(link(stream, peer, halves))
    })
    .await
}

/// Authenticates both sides of a connection that was accepted from a peer.
///
/// # Errors
///
/// [`Kind::BadPeer`] or [`Kind::TooLarge`] when the peer has another key or version, or breaks the
/// protocol.
pub(crate) async fn accept(tcp: TcpStream, key: &[u8], hello: &Hello) -> Result<Link> {
    with_timeout(async {
        let _ = tcp.set_nodelay(true);
        let mut stream = accept_async_with_config(tcp, Some(config()))
            .await
            .map_err(|e| Error::new(Kind::BadPeer, e.to_string()))?;
        let client = next(&mut stream).await?;
        let (accept, welcome) = ServerHandshake::new(key, &with_new_nonce(hello), &client)?;
        send(&mut stream, welcome).await?;
        let proof = next(&mut stream).await?;
        let (peer, halves) = accept.finish(&proof)?;
        Ok(link(stream, peer, halves))
    })
    .await
}

fn link(stream: Stream, peer: Hello, halves: mesh::Session) -> Link {
    let (sink, stream) = stream.split();
    let (sender, receiver) = (halves.sender, halves.receiver);
    Link {
        peer,
        writer: FrameWriter { sink, sender },
        reader: FrameReader { stream, receiver },
    }
}

fn with_new_nonce(hello: &Hello) -> Hello {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    Hello {
        nonce,
        ..hello.clone()
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(FRAME_LIMIT_BYTES + TAG_BYTES))
        .max_frame_size(Some(FRAME_LIMIT_BYTES + TAG_BYTES))
}

async fn with_timeout(handshake: impl Future<Output = Result<Link>>) -> Result<Link> {
    tokio::time::timeout(Duration::from_millis(HANDSHAKE_MS), handshake)
        .await
        .unwrap_or_else(|_| Err(Error::new(Kind::NoTarget, "the handshake timed out")))
}

async fn send(stream: &mut Stream, bytes: Vec<u8>) -> Result<()> {
    stream
        .send(Message::binary(bytes))
        .await
        .map_err(link_error)
}

async fn next<S>(stream: &mut S) -> Result<bytes::Bytes>
where
    S: futures_util::Stream<Item = tokio_tungstenite::tungstenite::Result<Message>> + Unpin,
{
    loop {
        match stream.next().await {
            Some(Ok(Message::Binary(bytes))) => return Ok(bytes),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(_)) => return Err(Error::new(Kind::BadPeer, "expected a binary message")),
            Some(Err(e)) => return Err(link_error(e)),
            None => return Err(Error::new(Kind::Unknown, "the link was closed")),
        }
    }
}

fn unreachable_peer(e: impl std::fmt::Display) -> Error {
    Error::new(Kind::NoTarget, e.to_string())
}

fn link_error(e: tokio_tungstenite::tungstenite::Error) -> Error {
    use tokio_tungstenite::tungstenite::Error as Ws;
    use tokio_tungstenite::tungstenite::error::ProtocolError;
    let kind = match &e {
        // The peer's process has ended.
        Ws::Protocol(ProtocolError::ResetWithoutClosingHandshake) => Kind::Unknown,
        Ws::Capacity(_) | Ws::Protocol(_) | Ws::Utf8(_) | Ws::Http(_) => Kind::BadPeer,
        _ => Kind::Unknown,
    };
    Error::new(kind, e.to_string())
}
