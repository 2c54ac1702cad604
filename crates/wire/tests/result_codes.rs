//! The table of result codes in the docs matches the code.

use std::{collections::HashSet, fmt::Write, fs};
use wire::Code;

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/RESULT-CODES.md");

fn ran(code: Code) -> &'static str {
    match code.number() {
        0 => "all",
        109 | 110 | 114 | 206 => "unknown here",
        100..=299 | 305 => "none",
        301 => "some",
        302..=304 => "as the answer says",
        _ => "none there",
    }
}

fn table() -> String {
    let mut text = String::from("| number | name | HTTP | meaning | ran | what to do |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for code in Code::ALL {
        writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} |",
            code.number(),
            code.name(),
            code.status(),
            code.meaning().trim(),
            ran(*code),
            code.action()
        )
        .unwrap();
    }
    text
}

#[test]
fn docs_agree() {
    let docs = fs::read_to_string(FILE).unwrap();
    let table = table();
    assert!(
        docs.contains(&table),
        "replace the table in {FILE} with:\n{table}"
    );
}

#[test]
fn numbers_unique() {
    let numbers: HashSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
}
