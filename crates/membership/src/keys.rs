//! The fleet's key, and the ids of directors in datagrams.

/// The first eight bytes as a big-endian number.
pub(crate) fn leading_number(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .take(size_of::<u64>())
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Id of a director: the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(u64);

impl PeerId {
    /// The id of the director with this name.
    pub fn of_name(name: &str) -> PeerId {
        PeerId(leading_number(blake3::hash(name.as_bytes()).as_bytes()))
    }

    pub(crate) fn from_u64(id: u64) -> PeerId {
        PeerId(id)
    }

    pub(crate) fn as_u64(self) -> u64 {
        self.0
    }
}

/// The secret that the directors of one fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Derives the key from the configured key and the fleet's name, so that two fleets configured with the same key
    /// by mistake still reject each other's datagrams.
    pub fn new(key: &[u8; 32], fleet: &str) -> FleetKey {
        FleetKey(*blake3::keyed_hash(key, fleet.as_bytes()).as_bytes())
    }

    pub(crate) fn hash(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }
}
