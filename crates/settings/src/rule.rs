//! The rules between the fields of a file, each with the figures that a person needs to put the file right.

use thiserror::Error;

/// A rule between fields that a file breaks.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Rule {
    /// A class's floor is above the ladder.
    #[error("the ladder has rungs 0 to {highest}")]
    FloorAboveLadder {
        /// The highest rung of the ladder.
        highest: usize,
    },
    /// A class's top is below its floor or above the ladder.
    #[error("has to lie from the floor {floor} to {highest}")]
    TopOutsideLadder {
        /// The class's floor.
        floor: usize,
        /// The highest rung of the ladder.
        highest: usize,
    },
    /// A class's latency objective is longer than its viewers wait.
    #[error("has to be within give_up_ms")]
    ObjectiveBeyondTimeout,
    /// Rates of the ladder don't rise.
    #[error("rates have to rise from rung to rung")]
    LadderNotRising,
    /// A cell that the layout doesn't have.
    #[error("cells are 0 to {highest}")]
    UnknownCell {
        /// The highest cell of the layout.
        highest: u64,
    },
    /// A title is in more cells than there are.
    #[error("there are {cells} cells")]
    SpreadBeyondCells {
        /// Cells of the layout.
        cells: u64,
    },
    /// A director's number is not below how many there are.
    #[error("has to be under directors, {directors}")]
    NumberNotBelowDirectors {
        /// Directors of the site.
        directors: u32,
    },
    /// Sessions may be moved, but there is no key for the tickets.
    #[error("is needed where the site has moves")]
    TicketKeyMissing,
    /// A zone that the site doesn't have.
    #[error("is none of the site's zones: {known}")]
    UnknownZone {
        /// The site's zones.
        known: String,
    },
    /// The longest session is shorter than the shortest.
    #[error("has to be at least shortest_s")]
    LongestBelowShortest,
    /// Parts of the mix of classes are negative, or all 0.
    #[error("parts have to be 0 or more, and some above")]
    MixWithoutParts,
    /// The mix names a class that the site doesn't have.
    #[error("'{name}' is no class of the site: {known}")]
    UnknownClassInMix {
        /// The class as the mix names it.
        name: String,
        /// The site's classes.
        known: String,
    },
    /// Classes of a hosted day have what a tenant's can't.
    #[error("tenants' classes have neither scale nor live: leave them out of the site's")]
    HostedClassWithScaleOrLive,
    /// A tenant of a hosted day has no share.
    #[error("each tenant of the site needs a share above 0")]
    HostedTenantWithoutShare,
    /// Viewers of a tenant that the site doesn't have, or that never come.
    #[error("has to be a tenant of the site, and its rate above 0")]
    UnknownTenantOrNoRate,
    /// Session lengths of a class that the site doesn't have, or that are no range.
    #[error("is for a class of the site, from 0.1 s on, the shortest first")]
    InvalidClassLengths,
    /// A machine's name is no number.
    #[error("machines are named by their numbers")]
    MachineNameNotNumber,
    /// A machine's kind is not one of the site's.
    #[error("is no kind of the site")]
    UnknownKind,
    /// Not as many uplinks as racks.
    #[error("there are {racks} racks")]
    UplinkCount {
        /// Racks of the layout.
        racks: u64,
    },
    /// An uplink without bandwidth.
    #[error("each has to be above 0")]
    UplinkNotPositive,
    /// A fault ends after the day.
    #[error("runs past the day's {seconds} s")]
    FaultBeyondDay {
        /// Length of the day.
        seconds: f64,
    },
    /// A value that this kind of fault needs is missing.
    #[error("has to be given, above 0")]
    FaultValueMissing,
    /// A neighbour takes more than the whole link.
    #[error("is a part of the link, 1 at most")]
    FaultSizeBeyondLink,
    /// A fault meets a zone, tenant, title or class that isn't there.
    #[error("has to be one of: {known}")]
    UnknownFaultTarget {
        /// What it may meet.
        known: String,
    },
}

/// A broken rule, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Path of the value within the file, as `site.class.open.floor`.
    pub path: String,
    /// What it breaks.
    pub rule: Rule,
}

impl Violation {
    /// `rule` is broken at `path`.
    pub fn new(path: impl Into<String>, rule: Rule) -> Violation {
        Violation {
            path: path.into(),
            rule,
        }
    }
}

/// Names as a person reads them: `a, b, c`.
pub(crate) fn joined<'a>(names: impl IntoIterator<Item = &'a String>) -> String {
    let names: Vec<&str> = names.into_iter().map(String::as_str).collect();
    names.join(", ")
}
