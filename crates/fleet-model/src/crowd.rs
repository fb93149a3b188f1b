//! Who comes: class, title, how long they want to watch and what their player can show.

use rand::{Rng, RngExt};
use std::time::Duration;

/// A class of request as viewers know it.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    /// Part of all viewers.
    pub part: f64,
    pub give_up: Duration,
    pub aim: Duration,
    /// Worth of a second at a rung of worth 1.
    pub worth: f64,
    /// Highest rung.
    pub top: usize,
    /// Its sessions last from the one to the other.
    pub lasts: (Duration, Duration),
    /// Nothing of its titles is there before it happens.
    pub live: bool,
}

/// What extra viewers come for.
#[derive(Clone, Debug, PartialEq)]
pub enum Draw {
    Title(String),
    /// Index of the class.
    Class(usize),
}

/// Who comes, and what they do.
#[derive(Clone, Debug)]
pub struct Crowd {
    pub per_s: f64,
    /// Tenants, and how many times that rate each one's viewers come. Without any, viewers name none.
    pub tenants: Vec<(String, f64)>,
    pub classes: Vec<Class>,
    /// Titles, most wanted first, and how much more the first are wanted.
    pub titles: Vec<String>,
    pub skew: f64,
    /// Their hints are the true length so many times; 0: they give none.
    pub hint_times: f64,
    /// Part that can't use the two highest rungs.
    pub weak: f64,
    pub come_again: f64,
    pub pause: Duration,
    /// Part of them whose players follow their sessions, and what these keep in their buffers, of a live title and
    /// of a recorded one.
    pub follow: f64,
    pub buffers: (Duration, Duration),
    /// What each rung earns.
    pub worth: Vec<f64>,
    pub stall_cost: f64,
    /// A change of rung costs so many seconds of the class's worth.
    pub switch_s: f64,
}

/// One that has come.
#[derive(Clone, Debug)]
pub struct Person {
    pub key: String,
    /// Index of the class.
    pub class: usize,
    pub title: String,
    pub top: usize,
    pub span: Duration,
}

/// The first whose weights up to it reach a point drawn evenly from all of them.
fn pick(weights: impl Iterator<Item = f64> + Clone, dice: &mut impl Rng) -> usize {
    let mut at = dice.random::<f64>() * weights.clone().sum::<f64>();
    weights
        .into_iter()
        .position(|w| {
            at -= w;
            at <= 0.0
        })
        .unwrap_or(0)
}

impl Crowd {
    /// Time to the next arrival at so many times the usual rate; a minute at most, so that a change of the
    /// rate is not overslept.
    pub fn gap(&self, times: f64, dice: &mut impl Rng) -> Duration {
        let rate = (self.per_s * times).max(0.001);
        Duration::from_secs_f64((-(1.0 - dice.random::<f64>()).ln() / rate).min(60.0))
    }

    /// One that comes. `extra`: what some come for, and the part of all arrivals that they are.
    pub fn draw(&self, extra: Option<(&Draw, f64)>, dice: &mut impl Rng) -> Person {
        let extra = extra
            .filter(|(_, part)| dice.random::<f64>() < *part)
            .map(|(draw, _)| draw);
        let class = pick(self.classes.iter().map(|c| c.part), dice);
        let title = pick(
            (0..self.titles.len()).map(|i| (i as f64 + 1.0).powf(-self.skew)),
            dice,
        );
        let class = if let Some(Draw::Class(class)) = extra {
            *class
        } else {
            class
        };
        let title = if let Some(Draw::Title(title)) = extra {
            title
        } else {
            &self.titles[title]
        };
        let weak = dice.random::<f64>() < self.weak;
        let Class {
            lasts: (shortest, longest),
            top,
            ..
        } = self.classes[class];
        let span = shortest + (longest - shortest).mul_f64(dice.random());
        let key = format!("viewer-{:016x}", dice.random::<u64>());
        let top = if weak { top.saturating_sub(2) } else { top };
        Person {
            key,
            class,
            title: title.clone(),
            top,
            span,
        }
    }

    /// Seconds of worth that this one could have within a time.
    pub fn wanted(&self, person: &Person, within: Duration) -> f64 {
        let worth = self.worth.get(person.top).copied().unwrap_or(1.0);
        person.span.min(within).as_secs_f64() * self.classes[person.class].worth * worth
    }

    /// What is left of the worth of a session that gets this share of its rate.
    pub fn kept(&self, share: f64) -> f64 {
        (1.0 - self.stall_cost * (0.98 - share).max(0.0)).max(0.0)
    }
}
