//! Message authentication of connections and tickets with shared keys.

use crate::{
    frame::{Hello, Role},
    id::{Incarnation, Job},
};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt::{self, Write};

/// Length of a message authentication code, in bytes.
pub const MAC_BYTES: usize = 32;

/// Length of the truncated authentication code in a ticket, in bytes.
const TICKET_MAC_BYTES: usize = 16;

/// Keys shared by the processes of one environment. The first key signs and all
/// verify, so that the key can be replaced without downtime.
#[derive(Clone)]
pub struct Keyring(Vec<Vec<u8>>);

impl fmt::Debug for Keyring {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Keyring({} keys)", self.0.len())
    }
}

impl Keyring {
    /// Creates a keyring that signs with `current` and also verifies with
    /// `previous`.
    pub fn new(current: &str, previous: Option<&str>) -> Self {
        let mut keys = vec![current.as_bytes().to_vec()];
        keys.extend(previous.map(|key| key.as_bytes().to_vec()));
        Self(keys)
    }

    fn mac(key: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
        // HMAC takes keys of any length, so this cannot fail.
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length");
        for part in parts {
            mac.update(part);
        }
        mac
    }

    fn sign(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        Self::mac(&self.0[0], parts).finalize().into_bytes().into()
    }

    fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        !tag.is_empty()
            && self
                .0
                .iter()
                .any(|key| Self::mac(key, parts).verify_truncated_left(tag).is_ok())
    }

    /// Returns the proof for a connection: the authentication code over the
    /// sender's role and incarnation and the receiver's nonce.
    pub fn sign_link(&self, role: Role, own: Incarnation, nonce: u64) -> [u8; MAC_BYTES] {
        self.sign(&link_parts(role, own, nonce).each_ref().map(Vec::as_slice))
    }

    /// Verifies a peer's proof against its hello and the nonce sent to it.
    pub fn verify_link(&self, peer: &Hello, nonce: u64, mac: &[u8; MAC_BYTES]) -> bool {
        let parts = link_parts(peer.role, peer.incarnation, nonce);
        self.verify(&parts.each_ref().map(Vec::as_slice), mac)
    }

    /// Returns the text of the ticket for `job`.
    pub fn sign_ticket(&self, job: Job) -> String {
        let claims = job.to_string();
        let mac = self.sign(&[b"ticket", claims.as_bytes()]);
        let mut text = claims;
        text.push('.');
        for byte in &mac[..TICKET_MAC_BYTES] {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    /// Returns the job of a ticket, or `None` if none of these keys has signed
    /// the text.
    pub fn verify_ticket(&self, text: &str) -> Option<Job> {
        let (claims, tag) = text.split_once('.')?;
        let tag = decode_hex(tag)?;
        if tag.len() != TICKET_MAC_BYTES || !self.verify(&[b"ticket", claims.as_bytes()], &tag) {
            return None;
        }
        claims.parse().ok()
    }
}

fn link_parts(role: Role, own: Incarnation, nonce: u64) -> [Vec<u8>; 4] {
    let role: &[u8] = match role {
        Role::Entry => b"entry",
        Role::Side => b"side",
    };
    [
        b"link".to_vec(),
        role.to_vec(),
        own.0.to_be_bytes().to_vec(),
        nonce.to_be_bytes().to_vec(),
    ]
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    // `from_str_radix` also accepts a sign and capital letters, with which one
    // ticket would have several texts.
    let digit = |byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if !text.bytes().all(digit) || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok())
        .collect()
}

/// Compares two secrets in a time that does not depend on their contents, only
/// on their lengths.
pub fn constant_time_eq(given: &str, expected: &str) -> bool {
    use subtle::ConstantTimeEq;
    given.as_bytes().ct_eq(expected.as_bytes()).into()
}
