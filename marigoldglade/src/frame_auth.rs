//! Authentication of mesh links and of their frames with a shared key.
//!
//! Each side proves that it knows the key by an HMAC-SHA256 (RFC 2104) over both hellos, whose
//! nonces prevent the replay of an old proof. [`session`] then returns a [`Sealer`] and an
//! [`Opener`]. Each sealed frame carries a tag over its direction, its sequence number and its
//! bytes, so that a frame is refused if it was changed, replayed or reordered, or if one before it
//! was dropped. Nothing is encrypted.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::error::{Error, Kind, Result};

/// The bytes of a nonce.
pub const NONCE_BYTES: usize = 16;
/// The bytes of a handshake proof.
pub const PROOF_BYTES: usize = 32;
/// The bytes of the tag before each frame.
pub const TAG_BYTES: usize = 16;

/// A proof that a side knows the shared key.
pub type Proof = [u8; PROOF_BYTES];

/// One of the two sides of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Client,
    /// The side that accepted the connection.
    Server,
}

impl Side {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Client => b"client",
            Self::Server => b"server",
        }
    }

    const fn other(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }
}

/// Returns the proof of `side` over the encoded hellos of client and server.
#[must_use]
pub fn proof(key: &[u8], side: Side, client: &[u8], server: &[u8]) -> Proof {
    transcript(key, side.label(), client, server)
        .finalize()
        .into_bytes()
        .into()
}

/// Checks the proof of `side`, which is the other side, over the encoded hellos.
///
/// # Errors
///
/// [`Kind::BadPeer`] when the other side doesn't know the key or saw other hellos.
pub fn check(key: &[u8], side: Side, client: &[u8], server: &[u8], proof: &[u8]) -> Result<()> {
    transcript(key, side.label(), client, server)
        .verify_slice(proof)
        .map_err(|_| bad_peer("the peer's proof doesn't match the mesh key"))
}

/// Returns a MAC over `label` and both hellos, each preceded by its length so that no two different
/// inputs give the same bytes.
fn transcript(key: &[u8], label: &[u8], client: &[u8], server: &[u8]) -> Hmac<Sha256> {
    let mut mac = keyed(key);
    for part in [label, client, server] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

#[expect(clippy::expect_used, reason = "HMAC takes a key of any length")]
fn keyed(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("any key length")
}

/// Seals the frames that this side of a link sends.
pub struct Sealer(Stream);

impl Sealer {
    /// Returns the frame with its tag in front.
    pub fn seal(&mut self, frame: &[u8]) -> Vec<u8> {
        let tag = self.0.tag(frame).finalize().into_bytes();
        self.0.sequence += 1;
        let mut sealed = Vec::with_capacity(TAG_BYTES + frame.len());
        sealed.extend_from_slice(&tag[..TAG_BYTES]);
        sealed.extend_from_slice(frame);
        sealed
    }
}

/// Opens the frames that the other side of a link sent.
pub struct Opener(Stream);

impl Opener {
    /// Checks the tag and returns the frame after it.
    ///
    /// # Errors
    ///
    /// [`Kind::BadPeer`] when the tag isn't that of the other side's next frame.
    pub fn open<'a>(&mut self, sealed: &'a [u8]) -> Result<&'a [u8]> {
        let Some((tag, frame)) = sealed.split_at_checked(TAG_BYTES) else {
            return Err(bad_peer("the frame is shorter than a tag"));
        };
        self.0
            .tag(frame)
            .verify_truncated_left(tag)
            .map_err(|_| bad_peer("the frame's tag doesn't match the next frame expected"))?;
        self.0.sequence += 1;
        Ok(frame)
    }
}

/// Returns what `side` needs to send and receive frames. Both proofs must have been checked.
#[must_use]
pub fn session(key: &[u8], side: Side, client: &[u8], server: &[u8]) -> (Sealer, Opener) {
    let secret = transcript(key, b"session", client, server)
        .finalize()
        .into_bytes();
    let stream = |side| Stream {
        mac: keyed(&secret),
        side,
        sequence: 0,
    };
    (Sealer(stream(side)), Opener(stream(side.other())))
}

/// The state of one direction of a link.
struct Stream {
    mac: Hmac<Sha256>,
    side: Side,
    /// The sequence number of the next frame.
    sequence: u64,
}

impl Stream {
    fn tag(&self, frame: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(self.side.label());
        mac.update(&self.sequence.to_be_bytes());
        mac.update(frame);
        mac
    }
}

fn bad_peer(detail: &str) -> Error {
    Error::new(Kind::BadPeer, detail)
}
