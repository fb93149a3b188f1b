//! Ids of 16 hexadecimal digits, kept as they came.

use std::fmt;

/// An id of a session, a title or a viewer, with the case of its digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hex16([u8; 16]);

impl Hex16 {
    /// None where it is not 16 hexadecimal digits.
    pub fn read(text: &str) -> Option<Hex16> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        digits
            .iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(Hex16(digits))
    }

    pub fn of(value: u64) -> Hex16 {
        let digit = |i: usize| b"0123456789abcdef"[(value >> (60 - 4 * i)) as usize & 15];
        Hex16(std::array::from_fn(digit))
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

impl fmt::Display for Hex16 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for Hex16 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
