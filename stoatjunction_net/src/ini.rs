//! Checked reading of INI files: every fault names file, section and key and points into the text.

use std::collections::HashSet;
use std::fmt::{self, Display};
use std::ops::RangeInclusive;
use std::str::FromStr;

use ini::Ini;
use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

/// One fault of a file.
#[derive(Clone, Debug, Error, Diagnostic, PartialEq, Eq)]
#[error("[{section}] {key}: {message}")]
pub struct IniError {
    /// Section, empty for the top of the file.
    pub section: String,
    /// Key, empty for the section as a whole.
    pub key: String,
    /// What is wrong.
    pub message: String,
    #[label("here")]
    span: SourceSpan,
}

/// All faults of a file.
#[derive(Debug, Error, Diagnostic)]
#[error("{file}: {} fault(s)", errors.len())]
pub struct IniErrors {
    /// Name of the file.
    pub file: String,
    #[source_code]
    source_code: NamedSource<String>,
    /// The errors, in order of the file.
    #[related]
    pub errors: Vec<IniError>,
}

impl IniErrors {
    /// The faults as plain lines, one each.
    pub fn lines(&self) -> String {
        let lines: Vec<String> = self
            .errors
            .iter()
            .map(|f| format!("{}: {f}", self.file))
            .collect();
        lines.join("\n")
    }
}

/// A parsed file whose sections are read key by key.
#[derive(Debug)]
pub struct Document {
    file: String,
    text: String,
    sections: Vec<Section>,
    names: HashSet<String>,
    errors: Vec<IniError>,
}

/// One section. Keys that are never asked for are reported as unknown.
#[derive(Clone, Debug)]
pub struct Section {
    /// Name as written, such as `tier voice`.
    pub name: String,
    entries: Vec<(String, String)>,
    used: HashSet<String>,
}

impl Section {
    /// First word of the name.
    pub fn section_type(&self) -> &str {
        self.name.split_whitespace().next().unwrap_or("")
    }

    /// Name after its first word.
    pub fn label(&self) -> &str {
        self.name
            .split_once(char::is_whitespace)
            .map_or("", |(_, label)| label.trim())
    }

    /// All keys with their values.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &str)> {
        self.entries.iter().map(|(k, v)| (k.as_str(), v.as_str()))
    }
}

impl Document {
    /// Parses `text`, which came from `file`.
    ///
    /// # Errors
    ///
    /// [`IniErrors`] when the text is not INI.
    pub fn parse(file: &str, text: &str) -> Result<Document, IniErrors> {
        let parsed = Ini::load_from_str_noescape(text);
        let ini = parsed.map_err(|e| IniErrors {
            file: file.to_owned(),
            source_code: NamedSource::new(file, text.to_owned()),
            errors: vec![IniError {
                section: String::new(),
                key: String::new(),
                message: format!("not an INI file: {}", e.msg),
                span: line_span(text, e.line),
            }],
        })?;
        let mut document = Document {
            file: file.to_owned(),
            text: text.to_owned(),
            sections: Vec::new(),
            names: HashSet::new(),
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
            used: HashSet::new(),
        };
        if !self.names.insert(name.to_owned()) {
            self.add_error(&section, "", "the section stands twice");
        }
        let mut seen = HashSet::new();
        for (key, _) in &section.entries {
            if !seen.insert(key.clone()) {
                self.add_error(&section, key, "the key stands twice");
            }
        }
        self.sections.push(section);
    }

    /// Takes out the section `name`, or an empty one when it is missing.
    pub fn take_section(&mut self, name: &str) -> Section {
        let found = self.sections.iter().position(|s| s.name == name);
        found
            .map(|i| self.sections.remove(i))
            .unwrap_or_else(|| Section {
                name: name.to_owned(),
                entries: Vec::new(),

                used: HashSet::new(),
            })
    }

    /// Takes out all sections whose name starts with the word `section_type`.
    pub fn take_sections(&mut self, section_type: &str) -> Vec<Section> {
        let (taken, rest) = std::mem::take(&mut self.sections)
            .into_iter()
            .partition(|s| s.section_type() == section_type);
        self.sections = rest;
        taken
    }

    /// Records a fault of `key` in `section`.
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

    /// The text of `key`, when it is there.
    pub fn text(&mut self, section: &mut Section, key: &str) -> Option<String> {
        section.used.insert(key.to_owned());
        section
            .entries
            .iter()
            .find(|(k, _)| k == key)
            .map(|(_, v)| v.trim().to_owned())
    }

    /// The text of `key`; a fault and an empty text when it is missing.
    pub fn required(&mut self, section: &mut Section, key: &str) -> String {
        let value = self.text(section, key).filter(|v| !v.is_empty());
        if value.is_none() {
            self.add_error(section, key, "the key is missing or empty");
        }
        value.unwrap_or_default()
    }

    /// The value of `key` within `range`, or `default` when it is missing.
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

    /// The truth value of `key`, or `default` when it is missing.
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

    /// The words of `key`, separated by commas.
    pub fn list(&mut self, section: &mut Section, key: &str) -> Vec<String> {
        let text = self.text(section, key).unwrap_or_default();
        text.split(',')
            .map(|w| w.trim().to_owned())
            .filter(|w| !w.is_empty())
            .collect()
    }

    /// The address `ip:port` of `key`; a fault when it is missing or malformed.
    pub fn address(&mut self, section: &mut Section, key: &str) -> String {
        let text = self.required(section, key);
        self.check_address(section, key, &text);
        text
    }

    /// The address `ip:port` of `key`, when it is there.
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

    /// Reports the keys of `section` that were never asked for.
    pub fn check_unknown_keys(&mut self, section: &Section) {
        for (key, _) in &section.entries {
            if !section.used.contains(key) {
                self.add_error(section, key, "unknown key");
            }
        }
    }

    /// Ends the reading: sections not taken out are unknown.
    ///
    /// # Errors
    ///
    /// [`IniErrors`] when there was any fault.
    pub fn finish(mut self) -> Result<(), IniErrors> {
        for section in std::mem::take(&mut self.sections) {
            self.add_error(&section, "", "unknown section");
        }
        if self.errors.is_empty() {
            return Ok(());
        }
        self.errors.sort_by_key(|f| f.span.offset());
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

/// Span of the last header of section `name`: a section that stands twice is pointed at there.
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
