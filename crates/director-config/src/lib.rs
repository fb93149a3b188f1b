//! The settings of one director: a JSON object, the same on the simulator's wire and in the platform's configuration
//! file.
//!
//! [`DirectorConfig::from_json`] turns it into the decision module's [`shalewall::Settings`], the [`Names`] that
//! messages use for what the module knows by index, and the [`DriverLimits`] that only the module's driver needs.
//! [`apply_load_value`] reads one value of a load report, [`time_delta_from_millis`] a time of a message, and
//! [`title_id`] tells the titles of two classes apart.
//!
//! The crate knows the object's keys and the module's interface. It opens no file or socket, reads no clock and takes
//! no decision.

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
