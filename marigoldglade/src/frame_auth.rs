//! Who is at the other end of a mesh link, and whether a frame is theirs.
//!
//! Hellos and a shared key flow in, a [`Sealer`] and an [`Opener`] of frames flow out. Each end
//! proves that it knows the key by an HMAC-SHA256 (RFC 2104) over both hellos, whose nonces keep
//! an old proof from being of use. Each frame then carries a tag over its direction, its place in
//! the stream and its bytes, so that a frame that was changed, replayed, dropped or moved is
//! refused. Nothing is encrypted.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::error::{Error, Kind, Result};

/// The bytes of a nonce.
pub const NONCE_BYTES: usize = 16;
/// The bytes of a handshake proof.
pub const PROOF_BYTES: usize = 32;
/// The bytes of the tag before each frame.
pub const TAG_BYTES: usize = 16;

/// A proof that an end knows the shared key.
pub type Proof = [u8; PROOF_BYTES];

/// The end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that opened the connection.
    Client,
    /// The end that accepted it.
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

/// Returns the proof of `end` over the two hellos as they went over the wire.
#[must_use]
pub fn proof(key: &[u8], end: Side, client: &[u8], server: &[u8]) -> Proof {
    transcript(key, end.label(), client, server)
        .finalize()
        .into_bytes()
        .into()
}

/// Checks the proof of the other end.
///
/// # Errors
///
/// [`Kind::BadPeer`] when the other end doesn't know the key or saw other hellos.
pub fn check(key: &[u8], end: Side, client: &[u8], server: &[u8], proof: &[u8]) -> Result<()> {
    transcript(key, end.label(), client, server)
        .verify_slice(proof)
        .map_err(|_| bad_peer("the peer doesn't prove that it knows the mesh key"))
}

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

/// Seals the frames that one end of a link sends.
pub struct Sealer(Stream);

impl Sealer {
    /// Returns the frame with its tag before it.
    pub fn seal(&mut self, frame: &[u8]) -> Vec<u8> {
        let tag = self.0.tag(frame).finalize().into_bytes();
        self.0.place += 1;
        let mut sealed = Vec::with_capacity(TAG_BYTES + frame.len());
        sealed.extend_from_slice(&tag[..TAG_BYTES]);
        sealed.extend_from_slice(frame);
        sealed
    }
}

/// Opens the frames that the other end of a link sent.
pub struct Opener(Stream);

impl Opener {
    /// Returns the frame behind the tag.
    ///
    /// # Errors
    ///
    /// [`Kind::BadPeer`] when the tag isn't that of the next frame of the other end.
    pub fn open<'a>(&mut self, sealed: &'a [u8]) -> Result<&'a [u8]> {
        let Some((tag, frame)) = sealed.split_at_checked(TAG_BYTES) else {
            return Err(bad_peer("a frame is shorter than its tag"));
        };
        self.0
            .tag(frame)
            .verify_truncated_left(tag)
            .map_err(|_| bad_peer("a frame's tag doesn't fit"))?;
        self.0.place += 1;
        Ok(frame)
    }
}

/// Returns both halves of the link of `end`, after both proofs were checked.
#[must_use]
pub fn session(key: &[u8], end: Side, client: &[u8], server: &[u8]) -> (Sealer, Opener) {
    let secret = transcript(key, b"session", client, server)
        .finalize()
        .into_bytes();
    let stream = |end| Stream {
        mac: keyed(&secret),
        end,
        place: 0,
    };
    (Sealer(stream(end)), Opener(stream(end.other())))
}

/// The frames of one direction.
struct Stream {
    mac: Hmac<Sha256>,
    end: Side,
    place: u64,
}

impl Stream {
    fn tag(&self, frame: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(self.end.label());
        mac.update(&self.place.to_be_bytes());
        mac.update(frame);
        mac
    }
}

fn bad_peer(detail: &str) -> Error {
    Error::new(Kind::BadPeer, detail)
}
