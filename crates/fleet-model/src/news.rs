//! What nodes tell fronts unasked: the delivered share each second while short and once after, and how full
//! link and uplink are every so often; both late, on one of the front's sessions there.

use crate::Micros;
use crate::fleet::{Fleet, Process};
use std::collections::BTreeMap;

/// One piece of news.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    pub node: u64,
    pub director: u32,
    pub session: u64,
    pub delivered: Option<f64>,
    pub link: Option<f64>,
    pub uplink: Option<f64>,
}

/// Keeps what was told, so that the end of a shortage is told once.
#[derive(Debug, Default)]
pub struct Teller {
    every: Micros,
    late: Micros,
    short: BTreeMap<(u64, u32), bool>,
    last_second: Micros,
    last_every: Micros,
}

impl Teller {
    /// Fullness is told every so often (0: never), and all news is so late.
    pub fn new(every: Micros, late: Micros) -> Teller {
        Teller {
            every,
            late,
            ..Teller::default()
        }
    }

    /// Looks at the fleet and gives what is to be told now. Call every 100 ms or so.
    pub fn look(&mut self, fleet: &mut Fleet, now: Micros) -> Vec<News> {
        fleet.sample(now, self.late + 1_000_000);
        let second = now / 1_000_000 != self.last_second;
        let full = self.every > 0 && now / self.every != self.last_every;
        let mut news = Vec::new();
        if !second && !full {
            return news;
        }
        self.last_second = now / 1_000_000;
        self.last_every = if self.every > 0 { now / self.every } else { 0 };
        for (node, n) in fleet
            .nodes
            .iter()
            .filter(|(_, n)| n.process == Process::Runs)
        {
            let Some(f) = fleet.past(*node, now - self.late) else {
                continue;
            };
            let mut told: BTreeMap<u32, u64> = BTreeMap::new();
            for ((session, _), p) in &n.playing {
                told.entry(p.director).or_insert(*session);
            }
            for (director, session) in told {
                let was = self.short.entry((*node, director)).or_default();
                let delivered = (second && (f.delivered < 0.98 || *was)).then_some(f.delivered);
                if second {
                    *was = f.delivered < 0.98;
                }
                let (link, uplink) = if full {
                    (Some(f.link), Some(f.uplink))
                } else {
                    (None, None)
                };
                if delivered.is_some() || link.is_some() {
                    news.push(News {
                        node: *node,
                        director,
                        session,
                        delivered,
                        link,
                        uplink,
                    });
                }
            }
        }
        news
    }
}
