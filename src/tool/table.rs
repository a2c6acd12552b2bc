//! Tables for the terminal.

use comfy_table::presets::NOTHING;
use comfy_table::{ContentArrangement, Table};

/// The width to which tables are wrapped, in columns.
const TABLE_WIDTH: u16 = 100;

/// Creates a table that has a header, but no rows and no borders.
pub(crate) fn with_header(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_content_arrangement(ContentArrangement::Dynamic);
    table.set_width(TABLE_WIDTH);
    table.set_header(header.iter().copied());
    table
}
