//! The protocol of links between daemons: a handshake, then authenticated frames.
//!
//! [`Sender`] encodes a [`Frame`] as CBOR and seals it; [`Receiver`] does the reverse. Each module
//! that exchanges messages between daemons has a variant of [`Payload`] and defines its type.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::batch::messages;
use crate::config_gossip;
use crate::error::{Error, Kind, Result};
use crate::frame_auth::{self, NONCE_BYTES, Opener, Proof, Sealer, Side, TAG_BYTES};
use crate::job_call;
use crate::member;
use crate::owner;
use crate::requests;
use crate::time::UnixMs;

/// The version of the protocol; daemons of different versions refuse each other.
pub const VERSION: u16 = 1;
/// The most bytes of an encoded frame: 1 MiB for a value of the store, and 64 KiB for what surrounds
/// it.
pub const FRAME_LIMIT_BYTES: usize = (1 << 20) + (64 << 10);
/// The most bytes of an encoded [`Hello`]; a [`Welcome`] may have twice as many.
pub const HELLO_LIMIT_BYTES: usize = 1_024;

/// The first message that each side of a link sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol version of the sender. It is the first field in all versions, so that daemons of
    /// other versions can read it.
    pub version: u16,
    /// The sender's name.
    pub name: String,
    /// The sender's data centre.
    pub dc: String,
    /// The address at which the sender accepts mesh connections.
    pub addr: SocketAddr,
    /// Random bytes that are new in each handshake, so that old proofs can't be replayed.
    pub nonce: [u8; NONCE_BYTES],
}

/// The server's response to a client's [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The server's own hello, encoded.
    pub hello: Vec<u8>,
    /// The server's proof over both hellos.
    pub proof: Proof,
}

/// The content of a frame, with one variant for each module that uses links.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Payload {
    /// A message of the membership.
    Member(member::Message),
    /// The known owners of data centres.
    Owners(Vec<owner::Holder>),
    /// A message about versions of the configuration.
    Config(config_gossip::Message),
    /// Gossip of the request path: shares and the health of targets.
    Request(requests::Gossip),
    /// A call about jobs of the named data centre, sent to its owner.
    Job(String, job_call::Call),
    /// The response to [`Payload::Job`].
    JobReply(job_call::Reply),
    /// A message about batch jobs.
    Batch(Box<messages::Message>),
    /// The response to a request that failed.
    Refused(Error),
    /// The response to a request that succeeded without a result.
    Done,
}

/// Whether a frame is a notification, a request or a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameKind {
    /// No response is expected.
    #[serde(rename = "Tell")]
    Notification,
    /// A response with this number is expected before this deadline.
    #[serde(rename = "Ask")]
    Request(u64, UnixMs),
    /// The response to the request with this number.
    #[serde(rename = "Answer")]
    Response(u64),
}

/// One message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Whether a response is expected, or which request this one is for.
    #[serde(rename = "way")]
    pub kind: FrameKind,
    /// The content.
    pub payload: Payload,
}

/// Encodes a value as CBOR (RFC 8949).
///
/// # Errors
///
/// [`Kind::Internal`] when the value can't be encoded, [`Kind::TooLarge`] when the result is larger
/// than [`FRAME_LIMIT_BYTES`].
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    if bytes.len() > FRAME_LIMIT_BYTES {
        return Err(Error::new(
            Kind::TooLarge,
            "the frame exceeds the size limit",
        ));
    }
    Ok(bytes)
}

/// Decodes a value from CBOR.
///
/// # Errors
///
/// [`Kind::BadPeer`] when the bytes don't encode a value of this type, [`Kind::TooLarge`] when there
/// are more than [`FRAME_LIMIT_BYTES`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    if bytes.len() > FRAME_LIMIT_BYTES {
        return Err(Error::new(
            Kind::TooLarge,
            "the frame exceeds the size limit",
        ));
    }
    ciborium::from_reader(bytes).map_err(|e| Error::new(Kind::BadPeer, e.to_string()))
}

/// Decodes a hello and checks its version.
///
/// # Errors
///
/// [`Kind::BadPeer`] when the hello can't be decoded or has another version, [`Kind::TooLarge`] when
/// it is larger than [`HELLO_LIMIT_BYTES`].
pub fn decode_hello(bytes: &[u8]) -> Result<Hello> {
    if bytes.len() > HELLO_LIMIT_BYTES {
        return Err(Error::new(
            Kind::TooLarge,
            "the hello exceeds the size limit",
        ));
    }
    let hello: Hello = decode(bytes)?;
    if hello.version != VERSION {
        return Err(Error::new(
            Kind::BadPeer,
            format!("the peer speaks version {}, not {VERSION}", hello.version),
        ));
    }
    Ok(hello)
}

/// A handshake as the client, the side that opened the connection.
pub struct ClientHandshake {
    key: Vec<u8>,
    hello: Vec<u8>,
}

impl ClientHandshake {
    /// Starts a handshake; the bytes of [`ClientHandshake::hello`] are to be sent first.
    ///
    /// # Errors
    ///
    /// Those of [`encode`].
    pub fn new(key: &[u8], hello: &Hello) -> Result<Self> {
        Ok(Self {
            key: key.to_vec(),
            hello: encode(hello)?,
        })
    }

    /// Returns the encoded hello.
    #[must_use]
    pub fn hello(&self) -> &[u8] {
        &self.hello
    }

    /// Checks the server's encoded [`Welcome`]. Returns the proof to send, the server's hello and the
    /// session.
    ///
    /// # Errors
    ///
    /// [`Kind::BadPeer`] or [`Kind::TooLarge`] when the welcome is malformed, of another version or
    /// made without the mesh key.
    pub fn finish(self, welcome: &[u8]) -> Result<(Proof, Hello, Session)> {
        if welcome.len() > 2 * HELLO_LIMIT_BYTES {
            return Err(Error::new(
                Kind::TooLarge,
                "the welcome exceeds the size limit",
            ));
        }
        let welcome: Welcome = decode(welcome)?;
        let peer = decode_hello(&welcome.hello)?;
        let (ours, theirs) = (&self.hello, &welcome.hello);
        frame_auth::check(&self.key, Side::Server, ours, theirs, &welcome.proof)?;
        let proof = frame_auth::proof(&self.key, Side::Client, ours, theirs);
        let halves = frame_auth::session(&self.key, Side::Client, ours, theirs);
        Ok((proof, peer, Session::new(halves)))
    }
}

/// A handshake as the server, the side that accepted the connection, after the client's hello.
pub struct ServerHandshake {
    key: Vec<u8>,
    client: Vec<u8>,
    server: Vec<u8>,
    peer: Hello,
}

impl ServerHandshake {
    /// Decodes the client's hello. Returns the handshake and the encoded [`Welcome`] to send.
    ///
    /// # Errors
    ///
    /// Those of [`decode_hello`] and [`encode`].
    pub fn new(key: &[u8], hello: &Hello, client: &[u8]) -> Result<(Self, Vec<u8>)> {
        let peer = decode_hello(client)?;
        let server = encode(hello)?;
        let welcome = encode(&Welcome {
            proof: frame_auth::proof(key, Side::Server, client, &server),
            hello: server.clone(),
        })?;
        let accept = Self {
            key: key.to_vec(),
            client: client.to_vec(),
            server,
            peer,
        };
        Ok((accept, welcome))
    }

    /// Checks the client's proof. Returns the client's hello and the session.
    ///
    /// # Errors
    ///
    /// [`Kind::BadPeer`] when the client doesn't know the mesh key or saw other hellos.
    pub fn finish(self, proof: &[u8]) -> Result<(Hello, Session)> {
        let (client, server) = (&self.client, &self.server);
        frame_auth::check(&self.key, Side::Client, client, server, proof)?;
        let halves = frame_auth::session(&self.key, Side::Server, client, server);
        Ok((self.peer, Session::new(halves)))
    }
}

/// Both directions of an authenticated link.
pub struct Session {
    /// Seals the frames that this side sends.
    pub sender: Sender,
    /// Opens the frames that the other side sent.
    pub receiver: Receiver,
}

impl Session {
    fn new((sealer, opener): (Sealer, Opener)) -> Self {
        Self {
            sender: Sender { sealer },
            receiver: Receiver { opener },
        }
    }
}

/// Encodes and seals the frames that one side sends.
pub struct Sender {
    sealer: Sealer,
}

impl Sender {
    /// Returns the bytes of a frame to send. Frames must be sent in the order in which they were
    /// sealed.
    ///
    /// # Errors
    ///
    /// Those of [`encode`]; the session remains usable.
    pub fn seal(&mut self, frame: &Frame) -> Result<Vec<u8>> {
        Ok(self.sealer.seal(&encode(frame)?))
    }
}

/// Opens and decodes the frames that the other side sent.
pub struct Receiver {
    opener: Opener,
}

impl Receiver {
    /// Returns the frame in the bytes that were received.
    ///
    /// # Errors
    ///
    /// [`Kind::BadPeer`] when the bytes aren't the peer's next frame, [`Kind::TooLarge`] when there are
    /// too many. The link must then be closed.
    pub fn open(&mut self, sealed: &[u8]) -> Result<Frame> {
        if sealed.len() > FRAME_LIMIT_BYTES + TAG_BYTES {
            return Err(Error::new(
                Kind::TooLarge,
                "the frame exceeds the size limit",
            ));
        }
        decode(self.opener.open(sealed)?)
    }
}
