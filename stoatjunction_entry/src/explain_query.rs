//! Parameters of a query for the explanation of a placement.

use stoatjunction_core::entry::prompt_cache::PromptPart;
use stoatjunction_core::time::Span;

use crate::admission;

/// Longest query in bytes.
const MAX_QUERY_BYTES: usize = 8_192;

/// The request that a query asks about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Query {
    pub(crate) host: String,
    pub(crate) path: String,
    /// Name of the organisation.
    pub(crate) organisation: Option<String>,
    /// Service among those of the route; drawn if not given.
    pub(crate) service: Option<String>,
    /// Prompt tokens and maximum output tokens.
    pub(crate) tokens: Option<(u64, u64)>,
    /// Parts of the prompt with their tokens, as callers write them.
    pub(crate) prompt: String,
    pub(crate) deadline: Option<Span>,
    /// Name of the version that began the stream which the request takes up.
    pub(crate) version: Option<String>,
}

impl Query {
    /// Reads the query of a URI.
    ///
    /// # Errors
    ///
    /// The name of the first parameter that is missing, given twice, unknown or not valid.
    pub(crate) fn parse(text: &str) -> Result<Query, String> {
        if text.len() > MAX_QUERY_BYTES {
            return Err("query".to_owned());
        }
        let mut query = Query::default();
        let mut seen: Vec<String> = Vec::new();
        for (name, value) in form_urlencoded::parse(text.as_bytes()) {
            let is_repeated = seen.contains(&name.to_string());
            seen.push(name.to_string());
            if is_repeated || query.set(&name, &value).is_none() {
                return Err(name.into_owned());
            }
        }
        let required = ["host", "path"];
        match required
            .iter()
            .find(|name| !seen.iter().any(|s| s == *name))
        {
            Some(missing) => Err((*missing).to_owned()),
            None => Ok(query),
        }
    }

    /// Returns the parts of the prompt.
    pub(crate) fn prompt_parts(&self) -> Vec<PromptPart> {
        let parts = self.prompt.split(',');
        parts.filter_map(admission::prompt_part).collect()
    }

    /// Sets a parameter; `None` if there is no such parameter or the value is not valid.
    fn set(&mut self, name: &str, value: &str) -> Option<()> {
        let text = || (!value.is_empty()).then(|| value.to_owned());
        match name {
            "host" => self.host = text()?,
            "path" => self.path = text().filter(|p| p.starts_with('/'))?,
            "organisation" => self.organisation = Some(text()?),
            "service" => self.service = Some(text()?),
            "tokens" => self.tokens = Some(admission::token_counts(value)?),
            "prompt" => {
                let mut parts = value.split(',');
                parts
                    .all(|p| admission::prompt_part(p).is_some())
                    .then_some(())?;
                self.prompt = value.to_owned();
            }
            "deadline-ms" => self.deadline = Some(Span::from_millis(deadline_ms(value)?)),
            "version" => self.version = Some(text()?),
            _ => return None,
        }
        Some(())
    }
}

/// Longest deadline in milliseconds, a day; routes have far shorter time limits.
const MAX_DEADLINE_MS: u64 = 86_400_000;

fn deadline_ms(text: &str) -> Option<u64> {
    let ms = text.parse().ok()?;
    (ms <= MAX_DEADLINE_MS).then_some(ms)
}

#[cfg(test)]
mod tests {
    use yare::parameterized;

    use super::*;

    /// Guards against queries that are answered for another request than the one that was meant.
    #[parameterized(
        empty = { "", "host" },
        no_path = { "host=a", "path" },
        empty_host = { "host=&path=/", "host" },
        relative_path = { "host=a&path=x", "path" },
        twice = { "host=a&host=b&path=/", "host" },
        unknown = { "host=a&path=/&tier=1", "tier" },
        key = { "host=a&path=/&key=secret", "key" },
        one_number = { "host=a&path=/&tokens=5", "tokens" },
        negative = { "host=a&path=/&tokens=5,-1", "tokens" },
        part_without_tokens = { "host=a&path=/&prompt=p:1,q", "prompt" },
        deadline_is_no_number = { "host=a&path=/&deadline-ms=soon", "deadline-ms" },
        deadline_too_long = { "host=a&path=/&deadline-ms=99999999999999999999", "deadline-ms" },
    )]
    fn an_invalid_parameter_is_named(query: &str, name: &str) {
        assert_eq!(Query::parse(query), Err(name.to_owned()));
    }

    #[test]
    fn all_parameters_are_read() {
        let text = "host=a.example&path=%2Fx%2F&organisation=org+1&service=pool&tokens=5,6&prompt=p:1,q:2&deadline-ms=300&version=v2";

        let query = Query::parse(text).expect("the query is valid");

        assert_eq!(
            (query.path.as_str(), query.organisation.as_deref()),
            ("/x/", Some("org 1"))
        );
        assert_eq!(
            (query.tokens, query.prompt_parts().len()),
            (Some((5, 6)), 2)
        );
        assert_eq!(query.deadline, Some(Span::from_millis(300)));
    }
}
