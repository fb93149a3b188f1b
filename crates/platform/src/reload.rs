//! Reloads the configuration file on SIGHUP: applies the address of the endpoint list service, and new events.
//!
//! Name, listener, limits and settings are only read at the start; a file that differs in them is logged.

use crate::config_file::ConfigFile;
use crate::endpoint_watch::ServiceAddress;
use crate::error::ConfigFileError;
use crate::event_loop::EventLoop;
use async_io::Timer;
use shalewall_clock::now;
use shalewall_platform_proto::config::Config;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Number of attempts to read a file, which may be in the middle of being written.
const MAX_READ_ATTEMPTS: u32 = 10;
/// Delay between these attempts.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The state that a reload needs.
#[derive(Clone)]
pub(crate) struct Reloader {
    pub config_file: ConfigFile,
    /// The configuration from the start, without its events.
    pub initial_config: Rc<Config>,
    pub event_loop: Rc<EventLoop>,
    pub service_address: Rc<ServiceAddress>,
}

/// Why a file is not applied.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// A file for another director may name the service and nodes of another fleet.
    #[error("the configuration is another director's: its name is {found}, this director is {own}")]
    OtherDirector { own: String, found: String },
}

impl Reloader {
    /// Reads and applies the file, with retries for a second if it can't be read. A file that can't be applied changes
    /// nothing.
    pub async fn reload(self) {
        for attempt in 0..MAX_READ_ATTEMPTS {
            match self.read() {
                Ok(config) => return self.apply(&config),
                Err(error @ ReloadError::OtherDirector { .. }) => {
                    warn!(%error, "configuration rejected");
                    return;
                }
                Err(error) if attempt == 0 => warn!(%error, "configuration unreadable"),
                Err(_) => {}
            }
            Timer::after(READ_RETRY_DELAY).await;
        }
    }

    fn read(&self) -> Result<Config, ReloadError> {
        let config = self.config_file.read()?;
        if config.name != self.initial_config.name {
            return Err(ReloadError::OtherDirector {
                own: self.initial_config.name.clone(),
                found: config.name,
            });
        }
        Ok(config)
    }

    fn apply(&self, config: &Config) {
        for field in self.initial_config.changed_startup_fields(config) {
            warn!(field, "configuration change ignored until restart");
        }
        self.event_loop
            .with_protocol(|protocol| protocol.apply_known_events(config, now()));
        self.service_address.set(config.endpoint_service);
    }
}
