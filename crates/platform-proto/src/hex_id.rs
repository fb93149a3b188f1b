//! Ids of 16 hexadecimal digits, kept as they came.

use std::fmt;

/// An id of a session, a title or a viewer, with the case of its digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HexId([u8; 16]);

impl HexId {
    /// None where it is not 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<HexId> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        digits
            .iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(HexId(digits))
    }

    pub fn from_value(value: u64) -> HexId {
        let digit = |i: usize| b"0123456789abcdef"[(value >> (60 - 4 * i)) as usize & 15];
        HexId(std::array::from_fn(digit))
    }

    pub fn value(self) -> u64 {
        self.0.iter().fold(0, |n, d| {
            n << 4 | u64::from((*d as char).to_digit(16).unwrap_or(0))
        })
    }

    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Display for HexId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for HexId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
