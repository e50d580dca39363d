//! Exit codes and output.

use serde::Serialize;

/// The system refused the request, or a check or experiment failed.
pub(crate) const EXIT_REFUSED: u8 = 1;

/// Invalid arguments or files.
pub(crate) const EXIT_BAD_INPUT: u8 = 2;

/// The daemon could not be reached or sent no valid response.
pub(crate) const EXIT_UNREACHABLE: u8 = 3;

pub(crate) fn print_json(value: &impl Serialize) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

/// Prints names and values in two aligned columns.
pub(crate) fn print_rows(rows: &[(&str, String)]) {
    let width = rows.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    for (name, value) in rows {
        println!("{name:width$}  {value}");
    }
}
