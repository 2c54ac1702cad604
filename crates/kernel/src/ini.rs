//! Strict INI reader, which reports all faults of a text at once, each with its
//! section, key and line.

use ini::{Ini, ParseOption};
use std::{collections::HashSet, fmt, str::FromStr};

/// One fault in an INI text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Section of the fault; empty outside any section.
    pub section: String,
    /// Key with the fault; empty if the fault concerns the whole section.
    pub key: String,
    /// Line of the key, or else of the section, from 1; 0 if neither is present.
    pub line: usize,
    /// Description of the expected value.
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

/// All faults of one INI text, displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

/// Reads values from an INI text and collects faults.
#[derive(Debug)]
pub struct Reader<'a> {
    text: &'a str,
    ini: Ini,
    read_keys: HashSet<(String, String)>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Parses the syntax of `text`.
    ///
    /// # Errors
    ///
    /// Returns the first syntax error.
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
            read_keys: HashSet::new(),
            faults: Vec::new(),
        };
        reader.find_duplicates();
        Ok(reader)
    }

    /// Returns the names of all sections, in the order of the text.
    pub fn sections(&self) -> Vec<String> {
        self.ini.sections().flatten().map(str::to_owned).collect()
    }

    /// Returns whether the section is present.
    pub fn has(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Returns a value that may be absent. Records a fault if it is present and
    /// does not parse.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        self.read_keys.insert((section.to_owned(), key.to_owned()));
        let text = self.ini.section(Some(section))?.get(key)?;
        if let Ok(value) = text.trim().parse() {
            return Some(value);
        }
        self.fault(section, key, expected);
        None
    }

    /// Returns a value that must be present. Records a fault if it is absent or
    /// does not parse.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        if !self.has_key(section, key) {
            self.fault(section, key, expected);
        }
        self.optional(section, key, expected)
    }

    /// Returns a value that must be present under exactly one of two names of its
    /// key. Faults of the value name the key that is present.
    pub fn required_alias<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        alias: &str,
        expected: &str,
    ) -> Option<T> {
        if !self.has_key(section, alias) {
            return self.required(section, key, expected);
        }
        if self.has_key(section, key) {
            let both = format!("{key} or {alias}, not both");
            self.fault(section, alias, &both);
            self.optional::<T>(section, key, expected);
        }
        self.optional(section, alias, expected)
    }

    fn has_key(&self, section: &str, key: &str) -> bool {
        let properties = self.ini.section(Some(section));
        properties.is_some_and(|properties| properties.contains_key(key))
    }

    /// Records a fault of a key, or of the section if `key` is empty.
    pub fn fault(&mut self, section: &str, key: &str, expected: &str) {
        self.faults.push(Fault {
            section: section.to_owned(),
            key: key.to_owned(),
            line: self.line(section, key),
            expected: expected.to_owned(),
        });
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Returns all faults, sorted by line, including keys that were never read.
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
            .filter(|pair| !self.read_keys.contains(pair))
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

    /// Records a fault for each duplicate section or key; the parser would
    /// silently use only one of them.
    fn find_duplicates(&mut self) {
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
                .find(|(_, current, name)| current == section && name == wanted)
                .map(|(line, _, _)| line)
        };
        find(key).or_else(|| find("")).unwrap_or(0)
    }
}

/// Iterates over the lines that start a section or set a key, as line number,
/// section and key; the key is empty at the start of a section.
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
