//! Numbers for values, which are taken back when nothing holds them.

/// A value and how many hold its number.
struct Entry<T> {
    value: T,
    holders: usize,
}

/// Values by their numbers.
pub(super) struct NumberPool<T>(Vec<Entry<T>>);

impl<T: PartialEq + Copy> NumberPool<T> {
    /// Numbers for these values, in their order; each is held once.
    pub fn new(values: impl Iterator<Item = T>) -> NumberPool<T> {
        NumberPool(values.map(|value| Entry { value, holders: 1 }).collect())
    }

    /// A number of its own for a value: the smallest that is free.
    pub fn allocate(&mut self, value: T) -> usize {
        let entry = Entry { value, holders: 1 };
        match self.0.iter().position(|entry| entry.holders == 0) {
            Some(free) => {
                self.0[free] = entry;
                free
            }
            None => {
                self.0.push(entry);
                self.0.len() - 1
            }
        }
    }

    /// The number of an equal value that is held, or a new one.
    pub fn allocate_shared(&mut self, value: T) -> usize {
        let is_equal = |entry: &Entry<T>| entry.holders > 0 && entry.value == value;
        match self.0.iter().position(is_equal) {
            Some(number) => {
                self.acquire(number);
                number
            }
            None => self.allocate(value),
        }
    }

    /// One more holds a number.
    pub fn acquire(&mut self, number: usize) {
        self.0[number].holders += 1;
    }

    /// One less holds a number.
    pub fn release(&mut self, number: usize) {
        let holders = &mut self.0[number].holders;
        *holders = holders.saturating_sub(1);
    }

    /// Changes the value of a number.
    pub fn set(&mut self, number: usize, value: T) {
        self.0[number].value = value;
    }

    /// All values, by their numbers.
    pub fn values(&self) -> impl Iterator<Item = T> {
        self.0.iter().map(|entry| entry.value)
    }
}
