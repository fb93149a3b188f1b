//! Load reports of media nodes: named text values, converted to the fields of the module's [`LoadReport`].

use shalewall::LoadReport;
use std::num::ParseFloatError;

/// Stores one named value of a load report in its field. Unknown names are ignored, whatever their values are.
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
    // `busy` and `util` are capped at 1 if the link is overloaded; `x0` is not, so it takes precedence.
    let is_capped = matches!(name, "busy" | "util");
    if !is_capped || field.is_none() {
        *field = Some(value);
    }
    Ok(())
}
