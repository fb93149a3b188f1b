//! Converts a day file of the benchmark to a script, and lists what has no counterpart or only an approximate one.
//!
//! [`error`] defines the errors of a day file, `reader` reads its values by their paths, and `site`, `fleet`, `load`
//! and `faults` convert them to the parts of a script.

pub mod error;
mod faults;
mod fleet;
mod load;
mod reader;
mod site;

use crate::MAX_DIRECTORS;
use error::{ImportError, ValueProblem};
use reader::Reader;
use serde_json::Value;
use shalewall_settings::{Day, DayPlan};

/// A script, and the parts of the day file that were left out or changed.
#[derive(Debug)]
pub struct Imported {
    /// The script.
    pub plan: DayPlan,
    /// What was left out or changed, one line each.
    pub left_out: Vec<String>,
}

impl Imported {
    /// Text of the script, with a header comment that lists what was left out or changed.
    pub fn script(&self) -> Result<String, hcl::Error> {
        let mut text = String::from("# Imported from a day of the bench. Left out or changed:\n");
        for line in &self.left_out {
            text.push_str(&format!("# - {line}\n"));
        }
        text.push_str(&hcl::to_string(&self.plan)?);
        Ok(text)
    }
}

/// Parts of every day file that a script leaves out or changes.
const ALWAYS_LEFT_OUT: [&str; 6] = [
    "net: delays and jitter are those of this machine's loopback",
    "sessions that play when the day begins: the day begins empty",
    "session lengths: evenly from 0.3 to 1.7 times the day's mean",
    "titles: laid out anew, with the day's number, spread and skew; all classes share them",
    "clients: pauses, patience and back-off are the stand-ins'",
    "connections: handshakes, caps and idle times are this machine's",
];

/// Converts the text of a day file to a script.
pub fn import(text: &str) -> Result<Imported, ImportError> {
    let value: Value = serde_json::from_str(text)?;
    let day = Reader::new(&value);
    if day.at("family").text()? != "streams" {
        return Err(day.at("family").error(ValueProblem::NotOfStreams));
    }
    let mut left_out = ALWAYS_LEFT_OUT.map(str::to_string).to_vec();
    let tier = first_tier(&day, &mut left_out)?;
    let site = site::site(&day, &tier)?;
    let fleet = fleet::fleet(&day, &tier, &site)?;
    let seconds = (day.at("length").number()? / 1e6).clamp(1.0, 3600.0);
    let directors = director_count(&day)?;
    let load = load::load(&day, &site)?;
    let faults = faults::faults(&day, &site, seconds, &mut left_out)?;
    if !site.tenants.is_empty() {
        let what = "tenants: viewers do not name theirs, so their shares are not played";
        left_out.push(what.to_string());
    }
    let seed = day.at("noise").whole_number().unwrap_or(1) >> 12;
    let day = Day {
        seconds,
        seed,
        directors,
        media_fraction: 0.01,
    };
    let plan = DayPlan {
        day,
        site,
        fleet,
        load,
        hosted: None,
        faults,
    };
    Ok(Imported { plan, left_out })
}

/// The first tier of the day file, the only one that a script can have.
fn first_tier<'v>(day: &Reader<'v>, left_out: &mut Vec<String>) -> Result<Reader<'v>, ImportError> {
    let tiers = day.at("tiers").list()?;
    let Some((first, others)) = tiers.split_first() else {
        return Err(day.at("tiers").error(ValueProblem::Empty));
    };
    if !others.is_empty() {
        left_out.push(format!("{} tiers behind the first", others.len()));
    }
    first.at("kinds").list()?;
    Ok(day.at("tiers").entry(0))
}

fn director_count(day: &Reader) -> Result<u32, ImportError> {
    let count = day.at("balancers").list()?.len();
    match u32::try_from(count) {
        Ok(count) if (1..=MAX_DIRECTORS).contains(&count) => Ok(count),
        _ => Err(day.at("balancers").error(ValueProblem::DirectorCount)),
    }
}
