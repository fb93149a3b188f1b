//! The layout of a datagram and its keyed hash.
//!
//! All numbers are big-endian:
//!
//! | bytes | |
//! | --- | --- |
//! | 1 | version, 1 |
//! | 8 | sender: hash of its name |
//! | 8 | the sender's incarnation |
//! | 8 | the sender's sequence number of this datagram, from 1 |
//! | 8 | the last token that the receiver issued to the sender; 0: none yet |
//! | 8 | the token that the sender issues to the receiver |
//! | | content; empty in a challenge |
//! | 16 | keyed hash of all preceding bytes |

use crate::keys::{FleetKey, PeerId, leading_number};

const VERSION: u8 = 1;
/// Length of the version and the five numbers.
const HEADER_BYTES: usize = 1 + 5 * NUMBER_BYTES;
const NUMBER_BYTES: usize = 8;
const HASH_BYTES: usize = 16;
/// Maximum size of a datagram, small enough not to be fragmented on common links.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Maximum size of the content.
pub const MAX_CONTENT_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - HASH_BYTES;

/// Why bytes are not a valid datagram of this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Too short, too long, or of another version.
    #[error("datagram has an invalid length or an unknown version")]
    Malformed,
    /// Not sealed with the fleet's key.
    #[error("datagram is not sealed with this fleet's key")]
    NotOfThisFleet,
}

/// The header of a datagram, without the version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Header {
    pub sender: PeerId,
    pub incarnation: u64,
    pub sequence: u64,
    pub receiver_token: u64,
    pub sender_token: u64,
}

/// Encodes a datagram with this header and content and seals it with the fleet's key.
pub(crate) fn encode(key: &FleetKey, header: &Header, content: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(HEADER_BYTES + content.len() + HASH_BYTES);
    datagram.push(VERSION);
    let numbers = [
        header.sender.as_u64(),
        header.incarnation,
        header.sequence,
        header.receiver_token,
        header.sender_token,
    ];
    for number in numbers {
        datagram.extend_from_slice(&number.to_be_bytes());
    }
    datagram.extend_from_slice(content);
    let hash = key.hash(&datagram);
    datagram.extend_from_slice(&hash.as_bytes()[..HASH_BYTES]);
    datagram
}

/// Verifies a datagram's seal and returns its header and content.
pub(crate) fn decode<'a>(
    key: &FleetKey,
    datagram: &'a [u8],
) -> Result<(Header, &'a [u8]), DecodeError> {
    let has_valid_length =
        (HEADER_BYTES + HASH_BYTES..=MAX_DATAGRAM_BYTES).contains(&datagram.len());
    if !has_valid_length || datagram[0] != VERSION {
        return Err(DecodeError::Malformed);
    }
    let (sealed, hash) = datagram.split_at(datagram.len() - HASH_BYTES);
    if !matches_hash(&key.hash(sealed), hash) {
        return Err(DecodeError::NotOfThisFleet);
    }
    let (header, content) = sealed.split_at(HEADER_BYTES);
    let number = |index: usize| leading_number(&header[1 + NUMBER_BYTES * index..]);
    let header = Header {
        sender: PeerId::from_u64(number(0)),
        incarnation: number(1),
        sequence: number(2),
        receiver_token: number(3),
        sender_token: number(4),
    };
    Ok((header, content))
}

/// Compares the leading bytes of a hash in constant time, by the comparison of [`blake3::Hash`].
fn matches_hash(expected: &blake3::Hash, leading: &[u8]) -> bool {
    let mut found = *expected.as_bytes();
    found[..HASH_BYTES].copy_from_slice(leading);
    *expected == blake3::Hash::from(found)
}
