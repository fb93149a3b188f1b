//! Who arrives: class, title, length of the session, and what the viewer's player can show.

use rand::{Rng, RngExt};
use std::time::Duration;

/// Arrivals are drawn anew after this time at the latest, so that a change of their rate is not missed.
const LONGEST_GAP_S: f64 = 60.0;
/// Slowest rate of arrivals that is drawn, a second.
const SLOWEST_RATE: f64 = 0.001;
/// Rungs at the top of the ladder that a limited player cannot use.
const RUNGS_OUT_OF_REACH: usize = 2;
/// Shortages cost worth below this fraction of the rate.
const SHORTAGE_BELOW: f64 = 0.98;

/// A class of request as viewers know it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name in the settings.
    pub name: String,
    /// Fraction of all viewers.
    pub fraction: f64,
    /// A viewer that has no answer after this gives up.
    pub request_timeout: Duration,
    /// Answers after this earn less.
    pub latency_objective: Duration,
    /// Worth of a second at a rung of utility 1.
    pub priority_weight: f64,
    /// Highest rung.
    pub highest_rung: usize,
    /// Shortest session.
    pub shortest: Duration,
    /// Longest session.
    pub longest: Duration,
    /// Its titles are live: nothing of them can be fetched ahead.
    pub live: bool,
}

/// What a surge of viewers comes for.
#[derive(Clone, Debug, PartialEq)]
pub enum Interest {
    /// One title, by its name.
    Title(String),
    /// A class, by its index.
    Class(usize),
}

/// The viewers of a day, as distributions to draw from.
#[derive(Clone, Debug)]
pub struct ViewerPopulation {
    /// Arrivals a second at the usual rate.
    pub arrivals_per_s: f64,
    /// Tenants, and how many times the usual rate each one's viewers arrive. Empty: viewers name no tenant.
    pub tenants: Vec<(String, f64)>,
    /// Classes of request.
    pub classes: Vec<Class>,
    /// Titles, most wanted first.
    pub titles: Vec<String>,
    /// Exponent of the titles' popularity by rank (Zipf).
    pub skew: f64,
    /// Duration hints are the true length times this; 0: none are given.
    pub hint_factor: f64,
    /// Fraction of viewers whose players cannot use the two highest rungs.
    pub limited_fraction: f64,
    /// Fraction of viewers that retry after a rejection or a broken session.
    pub retry_fraction: f64,
    /// How long they wait before that.
    pub retry_pause: Duration,
    /// Fraction of viewers whose players follow a session that migrates.
    pub follow_fraction: f64,
    /// Buffer of such a player for a live title.
    pub live_buffer: Duration,
    /// Buffer of such a player for a recorded title.
    pub recorded_buffer: Duration,
    /// Utility of each rung.
    pub utility: Vec<f64>,
    /// Points of worth lost for each point of the rate that is missing.
    pub stall_penalty: f64,
    /// A change of rung costs so many seconds of the class's worth.
    pub rung_change_cost_s: f64,
}

/// One viewer that has arrived.
#[derive(Clone, Debug)]
pub struct DrawnViewer {
    /// Its key, the same when it retries.
    pub key: String,
    /// Index of its class.
    pub class: usize,
    /// Name of the title that it wants.
    pub title: String,
    /// Highest rung that its player can use.
    pub highest_rung: usize,
    /// How long it wants to watch.
    pub watch_time: Duration,
}

/// Index drawn with a probability proportional to its weight.
fn draw_index(weights: impl Iterator<Item = f64> + Clone, random: &mut impl Rng) -> usize {
    let mut remaining = random.random::<f64>() * weights.clone().sum::<f64>();
    weights
        .into_iter()
        .position(|weight| {
            remaining -= weight;
            remaining <= 0.0
        })
        .unwrap_or(0)
}

impl ViewerPopulation {
    /// Time to the next arrival at a multiple of the usual rate; a minute at most.
    pub fn time_to_next_arrival(&self, rate_factor: f64, random: &mut impl Rng) -> Duration {
        let rate = (self.arrivals_per_s * rate_factor).max(SLOWEST_RATE);
        let seconds = -(1.0 - random.random::<f64>()).ln() / rate;
        Duration::from_secs_f64(seconds.min(LONGEST_GAP_S))
    }

    /// Draws one viewer. `surge`: what extra viewers come for, and the fraction of all arrivals that they are.
    pub fn draw_viewer(
        &self,
        surge: Option<(&Interest, f64)>,
        random: &mut impl Rng,
    ) -> DrawnViewer {
        let interest = surge
            .filter(|(_, fraction)| random.random::<f64>() < *fraction)
            .map(|(interest, _)| interest);
        let usual_class = draw_index(self.classes.iter().map(|class| class.fraction), random);
        let popularity = (0..self.titles.len()).map(|rank| (rank as f64 + 1.0).powf(-self.skew));
        let usual_title = draw_index(popularity, random);
        let class = match interest {
            Some(Interest::Class(class)) => *class,
            _ => usual_class,
        };
        let title = match interest {
            Some(Interest::Title(title)) => title,
            _ => &self.titles[usual_title],
        };
        let is_limited = random.random::<f64>() < self.limited_fraction;
        let terms = &self.classes[class];
        let spread = (terms.longest - terms.shortest).mul_f64(random.random());
        let key = format!("viewer-{:016x}", random.random::<u64>());
        let out_of_reach = if is_limited { RUNGS_OUT_OF_REACH } else { 0 };
        DrawnViewer {
            key,
            class,
            title: title.clone(),
            highest_rung: terms.highest_rung.saturating_sub(out_of_reach),
            watch_time: terms.shortest + spread,
        }
    }

    /// Worth that a viewer could earn within a time, in seconds at utility 1.
    pub fn worth_offered(&self, viewer: &DrawnViewer, within: Duration) -> f64 {
        let utility = self.utility.get(viewer.highest_rung).copied();
        let seconds = viewer.watch_time.min(within).as_secs_f64();
        seconds * self.classes[viewer.class].priority_weight * utility.unwrap_or(1.0)
    }

    /// Fraction of a session's worth that is left where this fraction of its rate is delivered.
    pub fn worth_kept(&self, delivered: f64) -> f64 {
        (1.0 - self.stall_penalty * (SHORTAGE_BELOW - delivered).max(0.0)).max(0.0)
    }
}
