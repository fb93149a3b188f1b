//! Load reports of media nodes: named values in text, in the fields of the module's [`LoadReport`].

use shalewall::LoadReport;
use std::num::ParseFloatError;

/// Puts one named value of a load report into the field that the module reads. Unknown names are ignored, whatever
/// their values are.
pub fn apply_load_value(
    report: &mut LoadReport,
    name: &str,
    value: &str,
) -> Result<(), ParseFloatError> {
    let field = match name {
        "rif" | "inflight" => &mut report.streams,
        "x0" | "busy" | "util" => &mut report.link_utilization,
        "x1" => &mut report.uplink_utilization,
        _ => return Ok(()),
    };
    let value = value.parse()?;
    // `busy` and `util` stop at 1 where the link is overloaded; `x0` does not, so it takes precedence.
    let stops_at_one = matches!(name, "busy" | "util");
    if !stops_at_one || field.is_none() {
        *field = Some(value);
    }
    Ok(())
}
