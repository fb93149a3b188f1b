//! The settings of one director: a JSON object with the same format in the simulator's protocol and in the platform's
//! configuration file.
//!
//! [`DirectorConfig::from_json`] converts it to the decision module's [`shalewall::Settings`], the [`Names`] that
//! messages use where the module uses indices, and the [`DriverLimits`] that only the module's driver needs.
//! [`apply_load_value`] reads one value of a load report, [`time_delta_from_millis`] converts a time of a message, and
//! [`title_id`] distinguishes titles of different classes.
//!
//! The crate depends only on the object's keys and the module's interface. It opens no files or sockets, reads no clock
//! and makes no decisions.

#![deny(missing_docs)]

mod config;
mod driver_limits;
mod error;
mod load_report;
mod module_settings;
mod names;
mod settings_object;
mod title;
mod units;

pub use config::DirectorConfig;
pub use driver_limits::DriverLimits;
pub use error::{SettingError, SettingProblem};
pub use load_report::apply_load_value;
pub use names::Names;
pub use title::title_id;
pub use units::{MAX_TIME_MICROS, time_delta_from_millis};
