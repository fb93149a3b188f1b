//! Pseudo-random numbers of a fixed seed (SplitMix64), the same on every machine and independent of any library.

/// A stream of pseudo-random numbers.
pub struct Random {
    state: u64,
}

impl Random {
    pub fn new(seed: u64) -> Random {
        Random { state: seed }
    }

    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from 0 to `limit` - 1.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// An index into a collection of that length.
    pub fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }

    /// A number from `least` to `most`, inclusive.
    pub fn between(&mut self, least: i64, most: i64) -> i64 {
        least + self.below((most - least + 1) as u64) as i64
    }

    /// True with a probability of `chance` percent.
    pub fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }

    /// A multiple of 0.01 from 0 to 1.2.
    pub fn utilization(&mut self) -> f64 {
        self.below(121) as f64 / 100.0
    }

    pub fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.index(choices.len())]
    }
}
