//! The documented table of codes matches the code.

use stoatjunction_core::code::Code;

#[test]
fn the_documented_table_matches_every_code() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/CODES.md");
    let text = std::fs::read_to_string(path).expect("docs/CODES.md is readable");
    let rows: Vec<&str> = text
        .lines()
        .filter(|l| {
            l.starts_with("| 1")
                || l.starts_with("| 2")
                || l.starts_with("| 3")
                || l.starts_with("| 4")
                || l.starts_with("| 9")
        })
        .collect();

    let expected: Vec<String> = Code::ALL
        .iter()
        .map(|c| {
            let (number, slug, status) = (c.number(), c.slug(), c.status());
            format!(
                "| {number} | {slug} | {status} | {} | {} |",
                c.outcome(),
                c.retry().as_str()
            )
        })
        .collect();

    assert_eq!(rows.len(), expected.len());
    for (row, expected) in rows.iter().zip(&expected) {
        assert!(row.starts_with(expected.as_str()), "{row}\n{expected}");
    }
}
