//! Parses durations in the platform's notation: a number followed by `ms` or `s`.

use serde::{Deserialize, Deserializer, de::Error};

/// Parses a duration such as `1500ms` or `2.5s` into milliseconds; `None` if the text has no
/// unit or if the number is negative or not finite.
pub fn parse_ms(text: &str) -> Option<u64> {
    let (number, factor) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1000.0),
    };
    let value: f64 = number.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some((value * factor).round() as u64)
}

/// Deserializes a duration such as `1500ms` into milliseconds; fails if the text is malformed.
pub fn deserialize_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_ms(&text).ok_or_else(|| D::Error::custom(format!("'{text}' is not a duration")))
}

/// Deserializes an optional duration into milliseconds, for a field that may be missing or null.
pub fn deserialize_optional_ms<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<u64>, D::Error> {
    let Some(text) = Option::<String>::deserialize(deserializer)? else {
        return Ok(None);
    };
    let value = parse_ms(&text);
    value
        .map(Some)
        .ok_or_else(|| D::Error::custom(format!("'{text}' is not a duration")))
}
