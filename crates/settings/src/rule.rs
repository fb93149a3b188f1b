//! Rules between the fields of a file. Each violation contains the values that are needed to correct the file.

use thiserror::Error;

/// A violated rule between fields.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Rule {
    /// A class's lowest rung is above the ladder.
    #[error("has to be a rung of the ladder, 0 to {highest}")]
    FloorAboveLadder {
        /// The highest rung of the ladder.
        highest: usize,
    },
    /// A class's highest rung is below its lowest one or above the ladder.
    #[error(
        "has to be at least the class's `floor` ({floor}) and at most the ladder's highest rung ({highest})"
    )]
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
    #[error("the rate `kb` has to increase from each rung to the next")]
    LadderNotRising,
    /// The cell does not exist in the layout.
    #[error("has to be a cell of the layout, 0 to {highest}")]
    UnknownCell {
        /// The highest cell of the layout.
        highest: u64,
    },
    /// A title is hosted by more cells than exist.
    #[error("has to be at most the number of cells in the layout ({cells})")]
    SpreadBeyondCells {
        /// Number of cells in the layout.
        cells: u64,
    },
    /// A director's number is not below the number of directors.
    #[error("has to be below `directors` ({directors})")]
    NumberNotBelowDirectors {
        /// Number of directors of the site.
        directors: u32,
    },
    /// Migrations are enabled, but the key for their tickets is missing.
    #[error("is required if the site has a `moves` block")]
    TicketKeyMissing,
    /// The site does not have the zone.
    #[error("has to be one of the site's zones: {known}")]
    UnknownZone {
        /// The site's zones.
        known: String,
    },
    /// The longest session is shorter than the shortest.
    #[error("has to be at least `shortest_s`")]
    LongestBelowShortest,
    /// Frequencies of classes are negative, or all are 0.
    #[error("each frequency has to be 0 or more, and at least one has to be above 0")]
    InvalidClassMix,
    /// The mix contains a class that the site does not have.
    #[error("'{name}' is not one of the site's classes: {known}")]
    UnknownClassInMix {
        /// The unknown class.
        name: String,
        /// The site's classes.
        known: String,
    },
    /// Classes of a hosted day have settings that tenants' classes do not support.
    #[error(
        "hosted tenants' classes do not support `scale` and `live`: remove both from the site's classes"
    )]
    HostedClassWithScaleOrLive,
    /// A tenant of a hosted day has no share.
    #[error("the `share` of each tenant of the site has to be above 0")]
    HostedTenantWithoutShare,
    /// The load has a tenant that the site does not have, or one whose rate is not positive.
    #[error("the tenant has to exist in the site, and its rate has to be above 0")]
    UnknownTenantOrNoRate,
    /// Session lengths are given for a class that the site does not have, or are not a valid range.
    #[error(
        "has to be [shortest, longest] in seconds for a class of the site, with 0.1 <= shortest <= longest"
    )]
    InvalidClassLengths,
    /// A machine's name is not a number.
    #[error("the machine's name has to be its number, an integer from 0 to 4294967295")]
    MachineNameNotNumber,
    /// A machine's kind is not one of the site's.
    #[error("has to be the name of one of the site's `kind` blocks")]
    UnknownKind,
    /// The number of uplinks differs from the number of racks.
    #[error("the number of uplinks has to equal the number of racks in the layout ({racks})")]
    UplinkCount {
        /// Number of racks in the layout.
        racks: u64,
    },
    /// The capacity of an uplink is not positive.
    #[error("each capacity has to be above 0")]
    UplinkNotPositive,
    /// A fault ends after the day.
    #[error("the fault has to end within the day: `at_s` + `len_s` has to be at most {seconds}")]
    FaultBeyondDay {
        /// Length of the day in seconds.
        seconds: f64,
    },
    /// A value that this kind of fault requires is missing.
    #[error("is required for this kind of fault and has to be above 0")]
    FaultValueMissing,
    /// Another program would use more than the whole link.
    #[error("has to be at most 1, as a fraction of the link's capacity")]
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
