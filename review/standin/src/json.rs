//! A minimal reader for one flat JSON object: strings, numbers, and nested values kept as text.

use std::collections::BTreeMap;

/// Reads the members of an object. Strings are unescaped; everything else keeps its text.
pub fn members(line: &str) -> Option<BTreeMap<String, String>> {
    let mut input = Input {
        bytes: line.trim().as_bytes(),
        at: 0,
    };
    let mut found = BTreeMap::new();
    input.expect(b'{')?;
    loop {
        input.space();
        if input.peek()? == b'}' {
            return Some(found);
        }
        let name = input.string()?;
        input.space();
        input.expect(b':')?;
        input.space();
        let value = if input.peek()? == b'"' {
            input.string()?
        } else {
            input.raw()?
        };
        found.insert(name, value);
        input.space();
        if input.peek()? == b',' {
            input.at += 1;
        }
    }
}

/// Writes a string literal.
pub fn literal(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\r' => out.push_str("\\r"),
            '\n' => out.push_str("\\n"),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Input<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Input<'_> {
    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn space(&mut self) {
        while self.peek().is_some_and(|b| b.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn string(&mut self) -> Option<String> {
        self.expect(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = self.peek()?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = self.peek()?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            let code = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            self.at += 4;
                            out.extend(code.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }

    /// A number, a literal, or a nested value.
    fn raw(&mut self) -> Option<String> {
        let start = self.at;
        let mut depth = 0;
        loop {
            match self.peek()? {
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth > 0 => depth -= 1,
                b',' | b'}' if depth == 0 => break,
                _ => {}
            }
            self.at += 1;
        }
        Some(
            String::from_utf8_lossy(&self.bytes[start..self.at])
                .trim()
                .to_string(),
        )
    }
}
