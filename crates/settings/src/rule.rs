//! Rules between the fields of a file. Each violation contains the values that are needed to correct the file.

use thiserror::Error;

/// A violated rule between fields.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Rule {
    /// A class's lowest rung is above the ladder.
    #[error("the ladder has rungs 0 to {highest}")]
    FloorAboveLadder {
        /// The highest rung of the ladder.
        highest: usize,
    },
    /// A class's highest rung is below its lowest one or above the ladder.
    #[error("has to lie from the floor {floor} to {highest}")]
    TopOutsideLadder {
        /// The class's lowest rung.
        floor: usize,
        /// The highest rung of the ladder.
        highest: usize,
    },
    /// A class's latency objective is longer than the time that its viewers wait.
    #[error("has to be within give_up_ms")]
    ObjectiveBeyondTimeout,
    /// The rates of the ladder do not increase.
    #[error("rates have to rise from rung to rung")]
    LadderNotRising,
    /// The cell does not exist in the layout.
    #[error("cells are 0 to {highest}")]
    UnknownCell {
        /// The highest cell of the layout.
        highest: u64,
    },
    /// A title is hosted by more cells than exist.
    #[error("there are {cells} cells")]
    SpreadBeyondCells {
        /// Number of cells in the layout.
        cells: u64,
    },
    /// A director's number is not below the number of directors.
    #[error("has to be under directors, {directors}")]
    NumberNotBelowDirectors {
        /// Number of directors of the site.
        directors: u32,
    },
    /// Migrations are enabled, but the key for their tickets is missing.
    #[error("is needed where the site has moves")]
    TicketKeyMissing,
    /// The site does not have the zone.
    #[error("is none of the site's zones: {known}")]
    UnknownZone {
        /// The site's zones.
        known: String,
    },
    /// The longest session is shorter than the shortest.
    #[error("has to be at least shortest_s")]
    LongestBelowShortest,
    /// Frequencies of classes are negative, or all are 0.
    #[error("parts have to be 0 or more, and some above")]
    MixWithoutParts,
    /// The mix contains a class that the site does not have.
    #[error("'{name}' is no class of the site: {known}")]
    UnknownClassInMix {
        /// The unknown class.
        name: String,
        /// The site's classes.
        known: String,
    },
    /// Classes of a hosted day have settings that tenants' classes do not support.
    #[error("tenants' classes have neither scale nor live: leave them out of the site's")]
    HostedClassWithScaleOrLive,
    /// A tenant of a hosted day has no share.
    #[error("each tenant of the site needs a share above 0")]
    HostedTenantWithoutShare,
    /// The load has a tenant that the site does not have, or one whose rate is not positive.
    #[error("has to be a tenant of the site, and its rate above 0")]
    UnknownTenantOrNoRate,
    /// Session lengths are given for a class that the site does not have, or are not a valid range.
    #[error("is for a class of the site, from 0.1 s on, the shortest first")]
    InvalidClassLengths,
    /// A machine's name is not a number.
    #[error("machines are named by their numbers")]
    MachineNameNotNumber,
    /// A machine's kind is not one of the site's.
    #[error("is no kind of the site")]
    UnknownKind,
    /// The number of uplinks differs from the number of racks.
    #[error("there are {racks} racks")]
    UplinkCount {
        /// Number of racks in the layout.
        racks: u64,
    },
    /// The capacity of an uplink is not positive.
    #[error("each has to be above 0")]
    UplinkNotPositive,
    /// A fault ends after the day.
    #[error("runs past the day's {seconds} s")]
    FaultBeyondDay {
        /// Length of the day in seconds.
        seconds: f64,
    },
    /// A value that this kind of fault requires is missing.
    #[error("has to be given, above 0")]
    FaultValueMissing,
    /// Another program would use more than the whole link.
    #[error("is a part of the link, 1 at most")]
    FaultSizeBeyondLink,
    /// A fault's target is a zone, tenant, title or class that does not exist.
    #[error("has to be one of: {known}")]
    UnknownFaultTarget {
        /// The possible targets.
        known: String,
    },
}

/// A violated rule, with its location.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Path of the value within the file, such as `site.class.open.floor`.
    pub path: String,
    /// The violated rule.
    pub rule: Rule,
}

impl Violation {
    /// Creates a violation of `rule` at `path`.
    pub fn new(path: impl Into<String>, rule: Rule) -> Violation {
        Violation {
            path: path.into(),
            rule,
        }
    }
}

/// Joins names with commas: `a, b, c`.
pub(crate) fn joined<'a>(names: impl IntoIterator<Item = &'a String>) -> String {
    let names: Vec<&str> = names.into_iter().map(String::as_str).collect();
    names.join(", ")
}
