//! Validating reader of INI files. Every error names the file, section and key, and points to its
//! place in the text.

use std::collections::HashSet;
use std::fmt::{self, Display};
use std::ops::RangeInclusive;
use std::str::FromStr;

use ini::Ini;
use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

/// One error in an INI file.
#[derive(Clone, Debug, Error, Diagnostic, PartialEq, Eq)]
#[error("[{section}] {key}: {message}")]
pub struct IniError {
    /// Section; empty for the keys before the first section.
    pub section: String,
    /// Key; empty if the error concerns the whole section.
    pub key: String,
    /// Description of the error.
    pub message: String,
    #[label("here")]
    span: SourceSpan,
}

/// All errors in an INI file.
#[derive(Debug, Error, Diagnostic)]
#[error("{file}: {} error(s)", errors.len())]
pub struct IniErrors {
    /// Name of the file.
    pub file: String,
    #[source_code]
    source_code: NamedSource<String>,
    /// Errors, in the order of the file.
    #[related]
    pub errors: Vec<IniError>,
}

impl IniErrors {
    /// Formats the errors as plain text, one per line.
    pub fn lines(&self) -> String {
        let lines: Vec<String> = self
            .errors
            .iter()
            .map(|e| format!("{}: {e}", self.file))
            .collect();
        lines.join("\n")
    }
}

/// A parsed INI file whose sections are read key by key.
#[derive(Debug)]
pub struct Document {
    file: String,
    text: String,
    sections: Vec<Section>,
    section_names: HashSet<String>,
    errors: Vec<IniError>,
}

/// A section of an INI file. Tracks which keys are read, so that the others can be reported as
/// unknown.
#[derive(Clone, Debug)]
pub struct Section {
    /// Name as written in the header, such as `tier voice`.
    pub name: String,
    entries: Vec<(String, String)>,
    read_keys: HashSet<String>,
}

impl Section {
    /// Returns the first word of the name, such as `tier`.
    pub fn section_type(&self) -> &str {
        self.name.split_whitespace().next().unwrap_or("")
    }

    /// Returns the name without its first word, such as `voice`.
    pub fn label(&self) -> &str {
        self.name
            .split_once(char::is_whitespace)
            .map_or("", |(_, label)| label.trim())
    }

    /// Iterates over all keys and values.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &str)> {
        self.entries.iter().map(|(k, v)| (k.as_str(), v.as_str()))
    }
}

impl Document {
    /// Parses `text`, which came from `file`.
    ///
    /// # Errors
    ///
    /// [`IniErrors`] if the text is not INI.
    pub fn parse(file: &str, text: &str) -> Result<Document, IniErrors> {
        let parsed = Ini::load_from_str_noescape(text);
        let ini = parsed.map_err(|e| IniErrors {
            file: file.to_owned(),
            source_code: NamedSource::new(file, text.to_owned()),
            errors: vec![IniError {
                section: String::new(),
                key: String::new(),
                message: format!("invalid INI syntax: {}", e.msg),
                span: line_span(text, e.line),
            }],
        })?;
        let mut document = Document {
            file: file.to_owned(),
            text: text.to_owned(),
            sections: Vec::new(),
            section_names: HashSet::new(),
            errors: Vec::new(),
        };
        for (name, properties) in ini.iter() {
            let entries: Vec<(String, String)> = properties
                .iter()
                .map(|(k, v)| (k.to_owned(), v.to_owned()))
                .collect();
            if name.is_none() && entries.is_empty() {
                continue;
            }
            document.push(name.unwrap_or(""), entries);
        }
        Ok(document)
    }

    fn push(&mut self, name: &str, entries: Vec<(String, String)>) {
        let section = Section {
            name: name.to_owned(),
            entries,
            read_keys: HashSet::new(),
        };
        if !self.section_names.insert(name.to_owned()) {
            self.add_error(&section, "", "duplicate section");
        }
        let mut seen = HashSet::new();
        for (key, _) in &section.entries {
            if !seen.insert(key.clone()) {
                self.add_error(&section, key, "duplicate key");
            }
        }
        self.sections.push(section);
    }

    /// Removes and returns the section `name`, or an empty section if it is missing.
    pub fn take_section(&mut self, name: &str) -> Section {
        let found = self.sections.iter().position(|s| s.name == name);
        found
            .map(|i| self.sections.remove(i))
            .unwrap_or_else(|| Section {
                name: name.to_owned(),
                entries: Vec::new(),
                read_keys: HashSet::new(),
            })
    }

    /// Removes and returns all sections whose name starts with the word `section_type`.
    pub fn take_sections(&mut self, section_type: &str) -> Vec<Section> {
        let (taken, rest) = std::mem::take(&mut self.sections)
            .into_iter()
            .partition(|s| s.section_type() == section_type);
        self.sections = rest;
        taken
    }

    /// Records an error for `key` in `section`; an empty `key` stands for the whole section.
    pub fn add_error<M>(&mut self, section: &Section, key: &str, message: M)
    where
        M: Display,
    {
        let header = section_span(&self.text, &section.name);
        let span = key_span(&self.text, header, key);
        self.errors.push(IniError {
            section: section.name.clone(),
            key: key.to_owned(),
            message: message.to_string(),
            span,
        });
    }

    /// Reads `key` as text, if it is present.
    pub fn text(&mut self, section: &mut Section, key: &str) -> Option<String> {
        section.read_keys.insert(key.to_owned());
        section
            .entries
            .iter()
            .find(|(k, _)| k == key)
            .map(|(_, v)| v.trim().to_owned())
    }

    /// Reads `key` as text; records an error and returns an empty text if it is missing or empty.
    pub fn required(&mut self, section: &mut Section, key: &str) -> String {
        let value = self.text(section, key).filter(|v| !v.is_empty());
        if value.is_none() {
            self.add_error(section, key, "the key is missing or empty");
        }
        value.unwrap_or_default()
    }

    /// Reads `key` as a number within `range`, or returns `default` if it is missing.
    pub fn number<T>(
        &mut self,
        section: &mut Section,
        key: &str,
        range: RangeInclusive<T>,
        default: T,
    ) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        match text.parse::<T>() {
            Ok(value) if range.contains(&value) => value,
            _ => {
                let (low, high) = (range.start(), range.end());
                self.add_error(
                    section,
                    key,
                    format!("`{text}` is not a number in {low}..={high}"),
                );
                default
            }
        }
    }

    /// Reads `key` as a boolean, or returns `default` if it is missing.
    pub fn flag(&mut self, section: &mut Section, key: &str, default: bool) -> bool {
        match self.text(section, key).as_deref() {
            None => default,
            Some("true") => true,
            Some("false") => false,
            Some(other) => {
                self.add_error(
                    section,
                    key,
                    format!("`{other}` is neither `true` nor `false`"),
                );
                default
            }
        }
    }

    /// Reads `key` as a comma-separated list.
    pub fn list(&mut self, section: &mut Section, key: &str) -> Vec<String> {
        let text = self.text(section, key).unwrap_or_default();
        text.split(',')
            .map(|w| w.trim().to_owned())
            .filter(|w| !w.is_empty())
            .collect()
    }

    /// Reads `key` as an address `ip:port`; records an error if it is missing or malformed.
    pub fn address(&mut self, section: &mut Section, key: &str) -> String {
        let text = self.required(section, key);
        self.check_address(section, key, &text);
        text
    }

    /// Reads `key` as an address `ip:port`, if it is present.
    pub fn optional_address(&mut self, section: &mut Section, key: &str) -> Option<String> {
        let text = self.text(section, key)?;
        self.check_address(section, key, &text);
        Some(text)
    }

    fn check_address(&mut self, section: &Section, key: &str, text: &str) {
        if !text.is_empty() && text.parse::<std::net::SocketAddr>().is_err() {
            self.add_error(
                section,
                key,
                format!("`{text}` is not an address `ip:port`"),
            );
        }
    }

    /// Records an error for each key of `section` that was never read.
    pub fn check_unknown_keys(&mut self, section: &Section) {
        for (key, _) in &section.entries {
            if !section.read_keys.contains(key) {
                self.add_error(section, key, "unknown key");
            }
        }
    }

    /// Finishes the validation: records an error for each section that was never taken.
    ///
    /// # Errors
    ///
    /// [`IniErrors`] if any error was recorded.
    pub fn finish(mut self) -> Result<(), IniErrors> {
        for section in std::mem::take(&mut self.sections) {
            self.add_error(&section, "", "unknown section");
        }
        if self.errors.is_empty() {
            return Ok(());
        }
        self.errors.sort_by_key(|e| e.span.offset());
        let source_code = NamedSource::new(&self.file, self.text);
        Err(IniErrors {
            file: self.file,
            source_code,
            errors: self.errors,
        })
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}]", self.name)
    }
}

fn line_span(text: &str, line: usize) -> SourceSpan {
    let start: usize = text.split_inclusive('\n').take(line).map(str::len).sum();
    let len = text[start.min(text.len())..]
        .lines()
        .next()
        .map_or(0, str::len);
    (start.min(text.len()), len).into()
}

/// Span of the last header of section `name`, so that the error for a duplicate section points to
/// the second one.
fn section_span(text: &str, name: &str) -> SourceSpan {
    let header = format!("[{name}]");
    match text.rfind(&header) {
        Some(start) if !name.is_empty() => (start, header.len()).into(),
        _ => (0, 0).into(),
    }
}

fn key_span(text: &str, section: SourceSpan, key: &str) -> SourceSpan {
    if key.is_empty() {
        return section;
    }
    let mut start = section.offset() + section.len();
    for line in text[start..].split_inclusive('\n') {
        let trimmed = line.trim_start();
        if trimmed.starts_with('[') {
            break;
        }
        let name = trimmed.split(['=', ':']).next().unwrap_or("").trim();
        if name == key {
            return (start, line.trim_end().len()).into();
        }
        start += line.len();
    }
    section
}
