//! Titles as the module knows them.

use shalewall::TitleId;

/// An odd number whose bits are spread evenly (2^64 over the golden ratio), so that multiples of it by small class
/// indices lie far apart.
const CLASS_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// The title of an item under a class, by the class's index: one item under two classes is two titles.
pub fn title_id(item: u64, class_index: usize) -> TitleId {
    let class_offset = (class_index as u64).wrapping_mul(CLASS_STRIDE);
    TitleId(item.wrapping_add(class_offset))
}
