//! The state of a director: records, counts, and queries on them and on the settings. Decisions based on them
//! are made in [`crate::policy`].

pub(crate) mod attempts;
pub(crate) mod demand;
pub(crate) mod fleet_load;
pub(crate) mod link_estimate;
pub(crate) mod records;
pub(crate) mod servers;
pub(crate) mod sessions;
pub(crate) mod settings_view;
