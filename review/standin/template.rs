//! Fills in the settings templates of the deploy file, as DEPLOY.md describes them:
//! values, and sections that are rendered if their value is present.

use std::collections::BTreeMap;

/// Renders a template with the fields of a machine.
pub fn render(text: &str, fields: &BTreeMap<String, String>) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = rest[start..].find("}}").map_or(rest.len(), |end| start + end);
        let name = &rest[start + 2..end];
        rest = rest.get(end + 2..).unwrap_or_default();
        if let Some(section) = name.strip_prefix('#') {
            let close = format!("{{{{/{section}}}}}");
            let length = rest.find(&close).unwrap_or(rest.len());
            if let Some(value) = fields.get(section) {
                let mut inner = fields.clone();
                inner.insert(".".to_owned(), value.clone());
                out.push_str(&render(&rest[..length], &inner));
            }
            rest = rest.get(length + close.len()..).unwrap_or_default();
        } else if let Some(value) = fields.get(name) {
            out.push_str(value);
        }
    }
    out + rest
}
