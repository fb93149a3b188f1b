//! Random viewers: their arrivals, class, title, watch time, and the rungs that their players support.

use rand::{Rng, RngExt};
use std::time::Duration;

/// Longest time until the next arrival is drawn again, so that a change of the rate takes effect.
const MAX_ARRIVAL_INTERVAL_S: f64 = 60.0;
/// Lower bound of the arrival rate, viewers per second.
const MIN_ARRIVALS_PER_S: f64 = 0.001;
/// Number of rungs at the top of the ladder that a limited player does not support.
const UNSUPPORTED_TOP_RUNGS: usize = 2;
/// Delivered fraction of the rate below which a shortage reduces the worth of a session.
const SHORTAGE_THRESHOLD: f64 = 0.98;

/// Request class, with the parameters of its viewers.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name in the settings.
    pub name: String,
    /// Fraction of all viewers that request this class.
    pub fraction: f64,
    /// Time that a viewer waits for a response.
    pub request_timeout: Duration,
    /// Latency above which a response earns less.
    pub latency_objective: Duration,
    /// Worth of one second of playback at a rung of utility 1.
    pub priority_weight: f64,
    /// Highest rung.
    pub highest_rung: usize,
    /// Shortest watch time.
    pub shortest: Duration,
    /// Longest watch time.
    pub longest: Duration,
    /// Whether its titles are live, so that media cannot be fetched ahead of real time.
    pub live: bool,
}

/// What the additional viewers of a surge request.
#[derive(Clone, Debug, PartialEq)]
pub enum Interest {
    /// One title, by its name.
    Title(String),
    /// A class, by its index.
    Class(usize),
}

/// Distributions from which the viewers of a day are drawn.
#[derive(Clone, Debug)]
pub struct ViewerPopulation {
    /// Usual arrival rate, viewers per second.
    pub arrivals_per_s: f64,
    /// Tenants, each with the factor of the usual rate at which its viewers arrive. Empty if viewers have no tenant.
    pub tenants: Vec<(String, f64)>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Titles, most popular first.
    pub titles: Vec<String>,
    /// Exponent of the Zipf distribution of the titles' popularity.
    pub skew: f64,
    /// Duration hints are the true watch time multiplied by this factor; 0 disables hints.
    pub hint_factor: f64,
    /// Fraction of viewers whose players do not support the two highest rungs.
    pub limited_fraction: f64,
    /// Fraction of viewers that retry after a rejection or an interrupted session.
    pub retry_fraction: f64,
    /// Backoff before a retry.
    pub retry_pause: Duration,
    /// Fraction of viewers whose players support session migration.
    pub migratable_fraction: f64,
    /// Length of the buffer of such a player for a live title.
    pub live_buffer: Duration,
    /// Length of the buffer of such a player for a recorded title.
    pub recorded_buffer: Duration,
    /// Utility of each rung.
    pub utility: Vec<f64>,
    /// Fraction of the worth that is lost for each fraction of the rate that is missing.
    pub stall_penalty: f64,
    /// Cost of a change of rung, in seconds of playback at the class's priority weight.
    pub rung_change_cost_s: f64,
}

/// A viewer that was drawn from a [`ViewerPopulation`].
#[derive(Clone, Debug)]
pub struct DrawnViewer {
    /// Key of the viewer, the same for its retries.
    pub key: String,
    /// Index of its class.
    pub class: usize,
    /// Name of the requested title.
    pub title: String,
    /// Highest rung that its player supports.
    pub highest_rung: usize,
    /// Time for which it wants to watch.
    pub watch_time: Duration,
}

/// Draws an index with a probability proportional to its weight.
fn draw_index(weights: impl Iterator<Item = f64> + Clone, rng: &mut impl Rng) -> usize {
    let mut remaining = rng.random::<f64>() * weights.clone().sum::<f64>();
    weights
        .into_iter()
        .position(|weight| {
            remaining -= weight;
            remaining <= 0.0
        })
        .unwrap_or(0)
}

impl ViewerPopulation {
    /// Draws the time to the next arrival at a multiple of the usual rate, at most one minute.
    pub fn time_to_next_arrival(&self, rate_factor: f64, rng: &mut impl Rng) -> Duration {
        let rate = (self.arrivals_per_s * rate_factor).max(MIN_ARRIVALS_PER_S);
        let seconds = -(1.0 - rng.random::<f64>()).ln() / rate;
        Duration::from_secs_f64(seconds.min(MAX_ARRIVAL_INTERVAL_S))
    }

    /// Draws one viewer. `surge` is the interest of additional viewers, and their fraction of all arrivals.
    pub fn draw_viewer(&self, surge: Option<(&Interest, f64)>, rng: &mut impl Rng) -> DrawnViewer {
        let interest = surge
            .filter(|(_, fraction)| rng.random::<f64>() < *fraction)
            .map(|(interest, _)| interest);
        let usual_class = draw_index(self.classes.iter().map(|class| class.fraction), rng);
        let popularity = (0..self.titles.len()).map(|rank| (rank as f64 + 1.0).powf(-self.skew));
        let usual_title = draw_index(popularity, rng);
        let class = match interest {
            Some(Interest::Class(class)) => *class,
            _ => usual_class,
        };
        let title = match interest {
            Some(Interest::Title(title)) => title,
            _ => &self.titles[usual_title],
        };
        let is_limited = rng.random::<f64>() < self.limited_fraction;
        let class_parameters = &self.classes[class];
        let spread = (class_parameters.longest - class_parameters.shortest).mul_f64(rng.random());
        let key = format!("viewer-{:016x}", rng.random::<u64>());
        let unsupported_rungs = if is_limited { UNSUPPORTED_TOP_RUNGS } else { 0 };
        DrawnViewer {
            key,
            class,
            title: title.clone(),
            highest_rung: class_parameters
                .highest_rung
                .saturating_sub(unsupported_rungs),
            watch_time: class_parameters.shortest + spread,
        }
    }

    /// Maximum worth that a viewer can earn in the duration `within`, in seconds at utility 1.
    pub fn worth_offered(&self, viewer: &DrawnViewer, within: Duration) -> f64 {
        let utility = self.utility.get(viewer.highest_rung).copied();
        let seconds = viewer.watch_time.min(within).as_secs_f64();
        seconds * self.classes[viewer.class].priority_weight * utility.unwrap_or(1.0)
    }

    /// Fraction of a session's worth that remains when this fraction of its rate is delivered.
    pub fn worth_kept(&self, delivered: f64) -> f64 {
        (1.0 - self.stall_penalty * (SHORTAGE_THRESHOLD - delivered).max(0.0)).max(0.0)
    }
}
