//! Title ids of the decision module.

use shalewall::TitleId;

/// An odd number with evenly distributed bits (2^64 divided by the golden ratio), so that its multiples by small class
/// indices are far apart.
const CLASS_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the title id of an item in a class: the same item in two classes is two titles.
pub fn title_id(item: u64, class_index: usize) -> TitleId {
    let class_offset = (class_index as u64).wrapping_mul(CLASS_STRIDE);
    TitleId(item.wrapping_add(class_offset))
}
