//! Strict reading of INI text: every fault is found in one pass and named by
//! section, key and line.

use ini::{Ini, ParseOption};
use std::{collections::HashSet, fmt, str::FromStr};

/// One fault in an INI text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Section that holds the fault; empty outside any section.
    pub section: String,
    /// Key at fault; empty if the section itself is.
    pub key: String,
    /// Line of the key or section, from 1; 0 if neither is present.
    pub line: usize,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "line={} section={:?} key={:?} expected={:?}",
            self.line, self.section, self.key, self.expected
        )
    }
}

/// All faults of one INI text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

/// Reads values and collects faults.
#[derive(Debug)]
pub struct Reader<'a> {
    text: &'a str,
    ini: Ini,
    known: HashSet<(String, String)>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Parses the syntax of `text`.
    pub fn open(text: &'a str) -> Result<Self, Faults> {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| {
            Faults(vec![Fault {
                section: String::new(),
                key: String::new(),
                line: error.line + 1,
                expected: format!("INI syntax: {}", error.msg),
            }])
        })?;
        let mut reader = Self {
            text,
            ini,
            known: HashSet::new(),
            faults: Vec::new(),
        };
        reader.find_repeats();
        Ok(reader)
    }

    /// Returns the names of all sections, in order.
    pub fn sections(&self) -> Vec<String> {
        self.ini.sections().flatten().map(str::to_owned).collect()
    }

    /// Returns whether the section is present.
    pub fn has(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Reads a value that may be absent.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        self.known.insert((section.to_owned(), key.to_owned()));
        let text = self.ini.section(Some(section))?.get(key)?;
        if let Ok(value) = text.trim().parse() {
            return Some(value);
        }
        self.fault(section, key, expected);
        None
    }

    /// Reads a value that must be present.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        let present = self
            .ini
            .section(Some(section))
            .is_some_and(|properties| properties.contains_key(key));
        if !present {
            self.fault(section, key, expected);
        }
        self.optional(section, key, expected)
    }

    /// Records a fault at a key, or at the section if `key` is empty.
    pub fn fault(&mut self, section: &str, key: &str, expected: &str) {
        self.faults.push(Fault {
            section: section.to_owned(),
            key: key.to_owned(),
            line: self.line(section, key),
            expected: expected.to_owned(),
        });
    }

    /// Reports every fault, among them the keys that were never read.
    pub fn finish(mut self) -> Result<(), Faults> {
        let unread: Vec<(String, String)> = self
            .ini
            .iter()
            .flat_map(|(section, properties)| {
                let section = section.unwrap_or_default().to_owned();
                properties
                    .iter()
                    .map(move |(key, _)| (section.clone(), key.to_owned()))
            })
            .filter(|pair| !self.known.contains(pair))
            .collect();
        for (section, key) in unread {
            self.fault(&section, &key, "a known key");
        }
        self.faults.sort_by_key(|fault| fault.line);
        self.faults.dedup();
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(self.faults))
        }
    }

    /// A section or key that stands twice would silently win over the first.
    fn find_repeats(&mut self) {
        let mut seen = HashSet::new();
        let mut faults = Vec::new();
        for (line, section, key) in Lines::new(self.text) {
            if !seen.insert((section.clone(), key.clone())) {
                faults.push(Fault {
                    section,
                    key,
                    line,
                    expected: "each section and key once".to_owned(),
                });
            }
        }
        self.faults.extend(faults);
    }

    fn line(&self, section: &str, key: &str) -> usize {
        let find = |wanted: &str| {
            Lines::new(self.text)
                .find(|(_, at, name)| at == section && name == wanted)
                .map(|(line, _, _)| line)
        };
        find(key).or_else(|| find("")).unwrap_or(0)
    }
}

/// The lines that open a section (with an empty key) or set a key.
struct Lines<'a> {
    lines: std::iter::Enumerate<std::str::Lines<'a>>,
    section: String,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            lines: text.lines().enumerate(),
            section: String::new(),
        }
    }
}

impl Iterator for Lines<'_> {
    type Item = (usize, String, String);

    fn next(&mut self) -> Option<Self::Item> {
        for (index, line) in self.lines.by_ref() {
            let line = line.trim();
            if line.starts_with(['#', ';']) {
                continue;
            }
            if let Some(name) = line.strip_prefix('[') {
                let name = name.split(']').next().unwrap_or_default();
                name.trim().clone_into(&mut self.section);
                return Some((index + 1, self.section.clone(), String::new()));
            }
            if let Some((key, _)) = line.split_once(['=', ':']) {
                return Some((index + 1, self.section.clone(), key.trim().to_owned()));
            }
        }
        None
    }
}
