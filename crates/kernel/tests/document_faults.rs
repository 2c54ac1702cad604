//! Faults of a document are reported all at once, with section, key and line.

use kernel::document::Document;
use proptest::{prelude::*, test_runner::RngSeed};

const VALID: &str = "\
[environment]
name = trial

[service proofing]

[kind proofing/preview]
repeatable = yes

; a comment
[domain nord-a]
state = in

[domain nord-b]
state = out

[team studio]
slots = 40

[limits]
tasks = 50
";

/// Generates the same cases in every run.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn faults(text: &str) -> Vec<String> {
    let faults = Document::parse(text).unwrap_err();
    faults.0.iter().map(ToString::to_string).collect()
}

#[test]
fn valid_document() {
    let document = Document::parse(VALID).unwrap();
    assert_eq!(document.environment, "trial");
    assert!(document.services["proofing"]["preview"].repeatable);
    assert!(document.is_in("nord-a"));
    assert!(!document.is_in("nord-b"));
    assert!(!document.is_in("nord-c"));
    assert_eq!(document.limits.tasks, 50);
}

#[test]
fn all_faults_reported() {
    let text = VALID
        .replace("repeatable = yes", "repeatable = perhaps")
        .replace("state = out", "state = gone\ncolour = red")
        .replace("slots = 40", "slots = 0");
    assert_eq!(
        faults(&text),
        [
            r#"line=7 section="kind proofing/preview" key="repeatable" expected="yes or no""#,
            r#"line=14 section="domain nord-b" key="state" expected="in or out""#,
            r#"line=15 section="domain nord-b" key="colour" expected="a known key""#,
            r#"line=18 section="team studio" key="slots" expected="a number of tasks from 1""#,
        ]
    );
}

#[test]
fn unknown_section() {
    let found = faults(&format!("{VALID}\n[teem x]\nslots = 1\n"));
    assert!(
        found[0].starts_with(r#"line=22 section="teem x""#),
        "{found:?}"
    );
}

#[test]
fn repeated_key() {
    let found = faults(&VALID.replace("state = in", "state = in\nstate = out"));
    assert_eq!(
        found,
        [r#"line=12 section="domain nord-a" key="state" expected="each section and key once""#]
    );
}

#[test]
fn kind_without_service() {
    let found = faults(&VALID.replace("[service proofing]\n", ""));
    assert_eq!(
        found,
        [r#"line=5 section="kind proofing/preview" key="" expected="a service that is declared""#]
    );
}

#[test]
fn missing_name() {
    let found = faults(&VALID.replace("name = trial", ""));
    assert!(found[0].contains(r#"key="name""#), "{found:?}");
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn any_text_parses_or_fails(text in "([\\[\\]=;# a-z/0-9]{0,30}\n){0,12}") {
        // Only a panic is a failure.
        let _ = Document::parse(&text).is_ok();
    }
}
