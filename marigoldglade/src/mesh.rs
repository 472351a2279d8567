//! Frames between daemons.
//!
//! A [`Frame`] flows in, sealed CBOR bytes flow out, and back. A module of the system that talks
//! between daemons has one variant of [`Payload`], whose type that module defines.

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

/// The version of the frames; ends of different versions refuse each other.
pub const VERSION: u16 = 1;
/// The largest frame, in bytes: a value of the store and what goes around it.
pub const FRAME_LIMIT_BYTES: usize = (1 << 20) + (64 << 10);
/// The largest hello or proof, in bytes.
pub const HELLO_LIMIT_BYTES: usize = 1_024;

/// The first message of each end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The version that the end speaks; it stands first in every version.
    pub version: u16,
    /// The daemon's name.
    pub name: String,
    /// Its data centre.
    pub dc: String,
    /// Where it accepts mesh connections.
    pub addr: SocketAddr,
    /// Fresh random bytes.
    pub nonce: [u8; NONCE_BYTES],
}

/// What the accepting end answers to a client's [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The encoded hello of the accepting end.
    pub hello: Vec<u8>,
    /// Its proof over both hellos.
    pub proof: Proof,
}

/// What daemons tell each other: a variant a module.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Payload {
    /// Membership.
    Member(member::Message),
    /// Who owns which data centre.
    Owners(Vec<owner::Holder>),
    /// Versions of the configuration.
    Config(config_gossip::Message),
    /// Requests: shares and signs of targets.
    Request(requests::Gossip),
    /// A call for jobs of this data centre, which the peer owns.
    Job(String, job_call::Call),
    /// The answer to a call for jobs.
    JobReply(job_call::Reply),
    /// Jobs of steps.
    Batch(Box<messages::Message>),
    /// The answer to a call that failed.
    Refused(Error),
    /// The answer to a call that has nothing to tell.
    Done,
}

/// The role of a frame in an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameKind {
    /// No response is expected.
    #[serde(rename = "Tell")]
    Notification,
    /// A response with this number is expected before the deadline.
    #[serde(rename = "Ask")]
    Request(u64, UnixMs),
    /// The response to the request with this number.
    #[serde(rename = "Answer")]
    Response(u64),
}

/// One message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Whether the frame is a notification, a request or a response.
    #[serde(rename = "way")]
    pub kind: FrameKind,
    /// What the frame carries.
    pub payload: Payload,
}

/// Encodes a value as CBOR (RFC 8949).
///
/// # Errors
///
/// [`Kind::Internal`] when the value has no CBOR form, [`Kind::TooLarge`] above the frame's bound.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    if bytes.len() > FRAME_LIMIT_BYTES {
        return Err(Error::new(Kind::TooLarge, "a frame is above its bound"));
    }
    Ok(bytes)
}

/// Decodes a value from CBOR.
///
/// # Errors
///
/// [`Kind::BadPeer`] when the bytes aren't such a value, [`Kind::TooLarge`] above the bound.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    if bytes.len() > FRAME_LIMIT_BYTES {
        return Err(Error::new(Kind::TooLarge, "a frame is above its bound"));
    }
    ciborium::from_reader(bytes).map_err(|e| Error::new(Kind::BadPeer, e.to_string()))
}

/// Decodes a hello and checks its version.
///
/// # Errors
///
/// [`Kind::BadPeer`] when it is garbage or of another version, [`Kind::TooLarge`] above its bound.
pub fn decode_hello(bytes: &[u8]) -> Result<Hello> {
    if bytes.len() > HELLO_LIMIT_BYTES {
        return Err(Error::new(Kind::TooLarge, "a hello is above its bound"));
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

/// The client's end of a handshake.
pub struct ClientHandshake {
    key: Vec<u8>,
    hello: Vec<u8>,
}

impl ClientHandshake {
    /// Starts a handshake; [`ClientHandshake::hello`] goes out first.
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

    /// Returns the bytes of the first message.
    #[must_use]
    pub fn hello(&self) -> &[u8] {
        &self.hello
    }

    /// Takes the [`Welcome`]; gives the proof to send, the peer and the link.
    ///
    /// # Errors
    ///
    /// [`Kind::BadPeer`] or [`Kind::TooLarge`] when the peer isn't one of ours.
    pub fn finish(self, welcome: &[u8]) -> Result<(Proof, Hello, Session)> {
        if welcome.len() > 2 * HELLO_LIMIT_BYTES {
            return Err(Error::new(Kind::TooLarge, "a welcome is above its bound"));
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

/// The accepting end of a handshake, after the client's hello.
pub struct ServerHandshake {
    key: Vec<u8>,
    client: Vec<u8>,
    server: Vec<u8>,
    peer: Hello,
}

impl ServerHandshake {
    /// Takes the client's hello; gives the [`Welcome`] to send.
    ///
    /// # Errors
    ///
    /// [`Kind::BadPeer`] or [`Kind::TooLarge`] when the hello isn't one of ours.
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

    /// Takes the client's proof; gives the peer and the link.
    ///
    /// # Errors
    ///
    /// [`Kind::BadPeer`] when the proof doesn't fit.
    pub fn finish(self, proof: &[u8]) -> Result<(Hello, Session)> {
        let (client, server) = (&self.client, &self.server);
        frame_auth::check(&self.key, Side::Client, client, server, proof)?;
        let halves = frame_auth::session(&self.key, Side::Server, client, server);
        Ok((self.peer, Session::new(halves)))
    }
}

/// Both directions of a link, after its handshake.
pub struct Session {
    /// What this end sends.
    pub sender: Sender,
    /// What the other end sent.
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

/// Turns frames into bytes.
pub struct Sender {
    sealer: Sealer,
}

impl Sender {
    /// Returns the bytes of a frame to send; they must leave in the order of the calls.
    ///
    /// # Errors
    ///
    /// Those of [`encode`]; nothing is to be sent then.
    pub fn seal(&mut self, frame: &Frame) -> Result<Vec<u8>> {
        Ok(self.sealer.seal(&encode(frame)?))
    }
}

/// Turns bytes into frames.
pub struct Receiver {
    opener: Opener,
}

impl Receiver {
    /// Returns the frame in bytes that came.
    ///
    /// # Errors
    ///
    /// [`Kind::BadPeer`] or [`Kind::TooLarge`]; the link is then to be closed.
    pub fn open(&mut self, sealed: &[u8]) -> Result<Frame> {
        if sealed.len() > FRAME_LIMIT_BYTES + TAG_BYTES {
            return Err(Error::new(Kind::TooLarge, "a frame is above its bound"));
        }
        decode(self.opener.open(sealed)?)
    }
}
