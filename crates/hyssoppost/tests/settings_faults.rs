//! Faults in settings files are reported with section, key and line.

use hyssoppost::{Error, settings};
use std::{fs, path::PathBuf};

const ENTRY: &str = "\
[entry]
name = entry-1
environment = trial
domain = nord-a

[listen]
callers = 127.0.0.1:0
links = 127.0.0.1:0
admin = 127.0.0.1:0

[store]
address = 127.0.0.1:2379

[security]
key = 0123456789abcdef
admin_token = secret
";

const SIDE: &str = "\
[side]
name = side-1
environment = trial
domain = nord-a
rack = r1

[listen]
upstream = 127.0.0.1:0
admin = 127.0.0.1:0

[entries]
seeds = 127.0.0.1:7100, 127.0.0.1:7101

[security]
key = 0123456789abcdef
admin_token = secret
";

fn entry_faults(text: &str) -> Vec<String> {
    let faults = settings::Entry::parse(text).unwrap_err();
    faults.0.iter().map(ToString::to_string).collect()
}

#[test]
fn good_settings() {
    let entry = settings::Entry::parse(ENTRY).unwrap();
    assert_eq!(entry.policy.name, policies::DEFAULT);
    let side = settings::Side::parse(SIDE).unwrap();
    assert_eq!(side.entries.len(), 2);
    assert!(side.discover);
}

#[test]
fn unknown_key() {
    let found = entry_faults(&ENTRY.replace("domain = nord-a", "domain = nord-a\nzone = b"));
    assert_eq!(
        found,
        [r#"line=5 section="entry" key="zone" expected="a known key""#]
    );
}

#[test]
fn bad_address_and_missing_section() {
    let text = ENTRY
        .replace("callers = 127.0.0.1:0", "callers = localhost")
        .replace("[store]\naddress = 127.0.0.1:2379\n", "");
    assert_eq!(
        entry_faults(&text),
        [
            r#"line=0 section="store" key="address" expected="an address as IP:port""#,
            r#"line=7 section="listen" key="callers" expected="an address as IP:port""#,
        ]
    );
}

/// Guards against settings in which only one of the two names of the customers'
/// address is read, or faults that name the other one.
#[test]
fn customers_under_either_name() {
    let renamed = ENTRY.replace("callers =", "customers =");
    let (old, new) = (
        settings::Entry::parse(ENTRY).unwrap(),
        settings::Entry::parse(&renamed).unwrap(),
    );
    assert_eq!(old.customers, new.customers);
    let bad = renamed.replace("customers = 127.0.0.1:0", "customers = localhost");
    assert_eq!(
        entry_faults(&bad),
        [r#"line=7 section="listen" key="customers" expected="an address as IP:port""#]
    );
    let missing = ENTRY.replace("callers = 127.0.0.1:0\n", "");
    assert_eq!(
        entry_faults(&missing),
        [r#"line=6 section="listen" key="customers" expected="an address as IP:port""#]
    );
}

/// Guards against two addresses of which one is silently ignored.
#[test]
fn customers_under_both_names() {
    let both = ENTRY.replace("callers =", "customers = 127.0.0.1:1\ncallers =");
    assert_eq!(
        entry_faults(&both),
        [r#"line=8 section="listen" key="callers" expected="customers or callers, not both""#]
    );
}

#[test]
fn short_key() {
    let found = entry_faults(&ENTRY.replace("0123456789abcdef", "short"));
    assert!(found[0].contains(r#"key="key""#), "{found:?}");
    assert!(
        !found[0].contains("short\""),
        "the fault must not contain the key"
    );
}

#[test]
fn bad_factor() {
    let lease = "[lease]\nlongest_ms = 1000\nstop_ms = 50\naway_factor = 0.5\n";
    let found = entry_faults(&format!("{ENTRY}{lease}"));
    let names_key = |fault: &String| fault.contains(r#"key="away_factor""#);
    assert!(found.iter().any(names_key), "{found:?}");
}

/// Guards against a process that refuses to start, or forwards all its jobs, for a
/// processor out of range: it counts as unknown.
#[test]
fn processor_out_of_range() {
    let entry = settings::Entry::parse(ENTRY).unwrap();
    assert_eq!(entry.processor, None);
    let cases = [
        ("0.12", Some(120)),
        ("2", Some(2_000)),
        ("0", None),
        ("-1", None),
        ("0.0001", None),
        ("inf", None),
        ("NaN", None),
        ("1e9", None),
    ];
    for (text, expected) in cases {
        let text = format!("{ENTRY}\n[limits]\nprocessor = {text}\n");
        let entry = settings::Entry::parse(&text).unwrap();
        assert_eq!(settings::thousandths(entry.processor.unwrap()), expected);
    }
    let found = entry_faults(&format!("{ENTRY}\n[limits]\nprocessor = much\n"));
    assert!(found[0].contains(r#"key="processor""#), "{found:?}");
}

#[test]
fn limits_checked() {
    let faulty = [
        ("memory_mb", "8"),
        ("descriptors", "200"),
        ("connections", "0"),
        ("customer_bytes", "1000"),
        ("customer_bytes", "1000000000000000"),
        ("job_bytes", "-1"),
        ("head_bytes", "100000"),
        ("header_timeout_ms", "0"),
        ("idle_timeout_ms", "soon"),
        ("body_timeout_ms", "0"),
    ];
    for (key, value) in faulty {
        let found = entry_faults(&format!("{ENTRY}\n[limits]\n{key} = {value}\n"));
        assert!(found[0].contains(&format!(r#"key="{key}""#)), "{found:?}");
    }
    let text = format!("{ENTRY}\n[limits]\nmemory_mb = 100\ndescriptors = 1000\n");
    let limits = settings::Entry::parse(&text).unwrap().limits;
    let share = (100 << 20) / 100;
    assert_eq!(limits.connections.bytes, 40 * share);
    assert_eq!(limits.connections.connections, 600);
    assert_eq!(limits.job_bytes, 15 * share);
    let side = settings::Side::parse(&format!("{SIDE}\n[limits]\nmemory_mb = 8\n"));
    assert_eq!(side.unwrap_err().0[0].key, "memory_mb");
}

#[test]
fn unknown_policy() {
    let found = entry_faults(&format!("{ENTRY}\n[policy]\nname = best\n"));
    assert!(found[0].contains("late-binding"), "{found:?}");
}

#[test]
fn unknown_section() {
    let faults = settings::Side::parse(&format!("{SIDE}\n[policy]\n")).unwrap_err();
    assert_eq!(faults.0[0].section, "policy");
}

#[test]
fn missing_file_named() {
    let path = PathBuf::from("/nonexistent/entry.ini");
    let error = settings::Entry::open(&path).unwrap_err();
    assert_eq!(error.exit_code(), 3);
    assert!(error.to_string().contains("/nonexistent/entry.ini"));
}

#[test]
fn file_named_with_faults() {
    let path = std::env::temp_dir().join(format!("hyssoppost-{}.ini", std::process::id()));
    fs::write(&path, "[entry]\nname = x\n").unwrap();
    let error = settings::Entry::open(&path).unwrap_err();
    fs::remove_file(&path).unwrap();
    assert!(matches!(error, Error::Settings { .. }));
    for line in error.to_string().lines() {
        assert!(line.starts_with("event=bad_settings file="), "{line}");
    }
}

/// Guards against a side that ends at each start while the platform has no seeds to fill
/// in: it finds the entries in the store. Without a store it could not.
#[test]
fn no_seeds() {
    let text = SIDE.replace("seeds = 127.0.0.1:7100, 127.0.0.1:7101", "seeds = ");
    let leased = format!(
        "{text}\n[upstream]\naddress = 127.0.0.1:1\n[store]\naddress = 127.0.0.1:2\n\
         [lease]\nlongest_ms = 1000\nstop_ms = 50\n"
    );
    let side = settings::Side::parse(&leased).unwrap();
    assert!(side.entries.is_empty());
    for without in [
        text.clone(),
        leased.replace("[store]\naddress = 127.0.0.1:2\n", ""),
    ] {
        let faults = settings::Side::parse(&without).unwrap_err().to_string();
        assert!(faults.contains("key=\"seeds\""), "{faults}");
    }
}
