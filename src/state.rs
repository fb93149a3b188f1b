//! What a director remembers. Nothing is decided here: the files keep records and counts, and answer questions on
//! them and on the settings. What follows from the answers is decided in [`crate::policy`].

pub(crate) mod attempts;
pub(crate) mod demand;
pub(crate) mod fleet_load;
pub(crate) mod link_estimate;
pub(crate) mod records;
pub(crate) mod servers;
pub(crate) mod sessions;
pub(crate) mod settings_view;
