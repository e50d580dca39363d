//! Exit codes and printing.

use serde::Serialize;

/// A promise did not hold, or the system refused.
pub(crate) const EXIT_REFUSED: u8 = 1;

/// The arguments or files cannot be used.
pub(crate) const EXIT_BAD_INPUT: u8 = 2;

/// No daemon answered.
pub(crate) const EXIT_UNREACHABLE: u8 = 3;

/// Prints facts as one JSON object.
pub(crate) fn print_json(facts: &impl Serialize) {
    println!("{}", serde_json::to_string(facts).unwrap_or_default());
}

/// Prints rows of a name and a value for people.
pub(crate) fn print_rows(rows: &[(&str, String)]) {
    let width = rows.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    for (name, value) in rows {
        println!("{name:width$}  {value}");
    }
}
