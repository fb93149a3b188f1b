//! Reference-counted numbers for values. A number is reused when nothing refers to it.

/// A value and the reference count of its number.
struct Entry<T> {
    value: T,
    references: usize,
}

/// Values, indexed by their numbers.
pub(super) struct NumberPool<T>(Vec<Entry<T>>);

impl<T: PartialEq + Copy> NumberPool<T> {
    /// Assigns numbers to these values in order, with one reference each.
    pub fn new(values: impl Iterator<Item = T>) -> NumberPool<T> {
        NumberPool(
            values
                .map(|value| Entry {
                    value,
                    references: 1,
                })
                .collect(),
        )
    }

    /// Allocates the smallest free number for a value.
    pub fn allocate(&mut self, value: T) -> usize {
        let entry = Entry {
            value,
            references: 1,
        };
        match self.0.iter().position(|entry| entry.references == 0) {
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

    /// Adds a reference to the number of an equal value in use, or allocates a new number.
    pub fn allocate_shared(&mut self, value: T) -> usize {
        let is_equal = |entry: &Entry<T>| entry.references > 0 && entry.value == value;
        match self.0.iter().position(is_equal) {
            Some(number) => {
                self.acquire(number);
                number
            }
            None => self.allocate(value),
        }
    }

    /// Adds a reference to a number.
    pub fn acquire(&mut self, number: usize) {
        self.0[number].references += 1;
    }

    /// Removes a reference to a number.
    pub fn release(&mut self, number: usize) {
        let references = &mut self.0[number].references;
        *references = references.saturating_sub(1);
    }

    /// Sets the value of a number.
    pub fn set(&mut self, number: usize, value: T) {
        self.0[number].value = value;
    }

    /// All values in the order of their numbers.
    pub fn values(&self) -> impl Iterator<Item = T> {
        self.0.iter().map(|entry| entry.value)
    }
}
