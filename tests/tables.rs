//! The tables in the docs match those in the code, in both directions.

use cornelferry::error::Code;
use cornelferry::event::EventCode;
use cornelferry::tool::exit_status;

/// Returns the cells of each table row whose first cell is a number.
fn rows(document: &str) -> Vec<Vec<String>> {
    let cells = |line: &str| {
        let line = line.strip_prefix('|')?.strip_suffix('|')?;
        let cells: Vec<String> = line.split('|').map(|c| c.trim().to_owned()).collect();
        cells[0].parse::<u16>().ok().map(|_| cells)
    };
    document.lines().filter_map(cells).collect()
}

/// Removes the last cell of a row, the advice to operators, and checks that it isn't empty.
fn without_advice(row: &[String]) -> &[String] {
    let (advice, rest) = row.split_last().expect("a row");
    assert!(!advice.is_empty(), "{rest:?} has no advice");
    rest
}

#[test]
fn the_event_catalogue_matches_the_code() {
    let rows = rows(include_str!("../docs/EVENTS.md"));
    let value_name = |code: &EventCode| Some(code.value_name()).filter(|n| *n != "value");
    let code = EventCode::ALL.iter().map(|c| {
        [c.number().to_string(), c.text().to_owned(), value_name(c).unwrap_or_default().to_owned()]
    });
    let documented: Vec<&[String]> = rows.iter().map(|r| without_advice(r)).collect();
    assert_eq!(documented, code.collect::<Vec<_>>());
}

#[test]
fn the_table_of_result_codes_matches_the_code() {
    let rows = rows(include_str!("../docs/RESULTS.md"));
    let code = Code::ALL.iter().map(|c| {
        let name = format!("{c:?}");
        let number = c.number().to_string();
        if c.number() < Code::Invalid.number() {
            let (status, outcome) = (c.status().to_string(), c.outcome().to_string());
            vec![number, name, status, outcome, c.text().to_owned()]
        } else {
            vec![number, name, exit_status(*c).to_string(), c.text().to_owned()]
        }
    });
    let documented: Vec<&[String]> = rows.iter().map(|r| without_advice(r)).collect();
    assert_eq!(documented, code.collect::<Vec<_>>());
}

#[test]
fn numbers_are_ascending_and_convert_back() {
    assert!(Code::ALL.windows(2).all(|w| w[0].number() < w[1].number()));
    assert!(EventCode::ALL.windows(2).all(|w| w[0].number() < w[1].number()));
    assert!(Code::ALL.iter().all(|c| Code::from_number(c.number()) == Some(*c)));
    assert!(EventCode::ALL.iter().all(|c| EventCode::from_number(c.number()) == Some(*c)));
}
