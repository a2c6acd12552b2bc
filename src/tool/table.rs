//! Tables on a terminal.

use comfy_table::presets::NOTHING;
use comfy_table::{ContentArrangement, Table};

/// The widest line that a table prints, in columns.
const WIDTH: u16 = 100;

/// Makes an empty table with a header.
pub(crate) fn with_header(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_content_arrangement(ContentArrangement::Dynamic);
    table.set_width(WIDTH);
    table.set_header(header.iter().copied());
    table
}
