//! Identifiers that are written as 16 hexadecimal digits in messages.

use std::fmt;

const DIGITS: usize = 16;
const BITS_PER_DIGIT: usize = 4;

/// Identifier of a session, a title or a viewer. It keeps the case of its digits, since it is forwarded unchanged.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HexId([u8; DIGITS]);

impl HexId {
    /// Parses an identifier; returns `None` unless the text is 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<HexId> {
        let digits: [u8; DIGITS] = text.as_bytes().try_into().ok()?;
        let is_valid = digits.iter().all(u8::is_ascii_hexdigit);
        is_valid.then_some(HexId(digits))
    }

    /// Formats a number as 16 lower-case digits.
    pub fn from_value(value: u64) -> HexId {
        let digit = |index: usize| {
            let shift = BITS_PER_DIGIT * (DIGITS - 1 - index);
            b"0123456789abcdef"[(value >> shift) as usize & 0xf]
        };
        HexId(std::array::from_fn(digit))
    }

    /// The number that the digits represent.
    pub fn value(self) -> u64 {
        let digit = |byte: &u8| u64::from((*byte as char).to_digit(16).unwrap_or(0));
        self.0
            .iter()
            .fold(0, |value, byte| value << BITS_PER_DIGIT | digit(byte))
    }

    /// The digits, in the case in which they were received.
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
