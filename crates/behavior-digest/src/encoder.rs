//! A canonical binary encoding that is hashed as it is written.
//!
//! Integers are eight bytes in little-endian order, floats are their bits, and variable-length data is preceded by its
//! length, so that two different sequences of values never encode to the same bytes.

/// The result of one part: the number of cases and outputs and the hash of all outputs.
pub struct PartDigest {
    pub cases: u64,
    pub outputs: u64,
    pub digest: blake3::Hash,
}

/// Hashes values in the order in which they are written.
pub struct Encoder {
    hasher: blake3::Hasher,
    cases: u64,
    outputs: u64,
}

impl Encoder {
    pub fn new() -> Encoder {
        Encoder {
            hasher: blake3::Hasher::new(),
            cases: 0,
            outputs: 0,
        }
    }

    /// Begins a case: one run of a subject from its initial state under one seed.
    pub fn begin_case(&mut self, settings: usize, seed: u64) {
        self.cases += 1;
        self.u64(settings as u64);
        self.u64(seed);
    }

    /// Begins one output of the subject. The tag identifies the kind of output.
    pub fn begin_output(&mut self, tag: u8) {
        self.outputs += 1;
        self.tag(tag);
    }

    /// The number of an enumeration's variant.
    pub fn tag(&mut self, tag: u8) {
        self.hasher.update(&[tag]);
    }

    pub fn bool(&mut self, value: bool) {
        self.tag(u8::from(value));
    }

    pub fn u64(&mut self, value: u64) {
        self.hasher.update(&value.to_le_bytes());
    }

    pub fn usize(&mut self, value: usize) {
        self.u64(value as u64);
    }

    pub fn i64(&mut self, value: i64) {
        self.hasher.update(&value.to_le_bytes());
    }

    pub fn f64(&mut self, value: f64) {
        self.u64(value.to_bits());
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        self.usize(bytes.len());
        self.hasher.update(bytes);
    }

    pub fn text(&mut self, text: &str) {
        self.bytes(text.as_bytes());
    }

    /// An optional value, written by `write` if present.
    pub fn option<T>(&mut self, value: Option<T>, write: impl FnOnce(&mut Encoder, T)) {
        self.bool(value.is_some());
        if let Some(value) = value {
            write(self, value);
        }
    }

    /// Adds the result of a whole part.
    pub fn part(&mut self, part: &PartDigest) {
        self.cases += part.cases;
        self.outputs += part.outputs;
        self.bytes(part.digest.as_bytes());
    }

    pub fn finish(self) -> PartDigest {
        PartDigest {
            cases: self.cases,
            outputs: self.outputs,
            digest: self.hasher.finalize(),
        }
    }
}
