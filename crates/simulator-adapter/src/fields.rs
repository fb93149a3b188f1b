//! Reads the fields of one line in order. `-` denotes an absent value.

use crate::{WireError, WireProblem};
use shalewall::{LoadReport, Outcome, TimeDelta, Timestamp};
use shalewall_director_config::{apply_load_value, time_delta_from_millis};

const ABSENT: &str = "-";

/// The remaining fields of a line.
pub(crate) struct Fields<'a> {
    line: u64,
    rest: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    /// Starts reading the line with this number.
    pub fn new(line: u64, text: &'a str) -> Fields<'a> {
        Fields {
            line,
            rest: text.split(' '),
        }
    }

    /// Creates an error for a field of this line.
    pub fn error(&self, field: &str, problem: impl Into<WireProblem>) -> WireError {
        WireError::new(self.line, field, problem)
    }

    /// The next field as text.
    pub fn text(&mut self, field: &str) -> Result<&'a str, WireError> {
        let next = self.rest.next().filter(|text| !text.is_empty());
        next.ok_or_else(|| self.error(field, WireProblem::Missing))
    }

    /// The next field as text; `None` if it is `-`.
    pub fn optional_text(&mut self, field: &str) -> Result<Option<&'a str>, WireError> {
        Ok(Some(self.text(field)?).filter(|text| *text != ABSENT))
    }

    /// The rest of the line.
    pub fn remainder(self) -> String {
        self.rest.collect::<Vec<_>>().join(" ")
    }

    /// The next field as an unsigned integer.
    pub fn integer(&mut self, field: &str) -> Result<u64, WireError> {
        let text = self.text(field)?;
        self.parse_integer(field, text)
    }

    /// The next field as an unsigned integer; `None` if it is `-`.
    pub fn optional_integer(&mut self, field: &str) -> Result<Option<u64>, WireError> {
        let text = self.optional_text(field)?;
        text.map(|text| self.parse_integer(field, text)).transpose()
    }

    fn parse_integer(&self, field: &str, text: &str) -> Result<u64, WireError> {
        text.parse()
            .map_err(|_| self.error(field, WireProblem::NotAnInteger(text.to_string())))
    }

    /// The next field as a seed, a signed or unsigned 64-bit integer. Only its bits matter.
    pub fn seed(&mut self, field: &str) -> Result<u64, WireError> {
        let text = self.text(field)?;
        let signed = |_| text.parse::<i64>().map(|seed| seed as u64);
        let seed = text.parse::<u64>().or_else(signed);
        seed.map_err(|_| self.error(field, WireProblem::NotASeed))
    }

    /// The next field as a hexadecimal number; 0 if it is `-`.
    pub fn hex_key(&mut self, field: &str) -> Result<u64, WireError> {
        let Some(text) = self.optional_text(field)? else {
            return Ok(0);
        };
        u64::from_str_radix(text, 16)
            .map_err(|_| self.error(field, WireProblem::NotAKey(text.to_string())))
    }

    /// The next field as bytes in pairs of hexadecimal digits; empty if it is `-`.
    pub fn hex_bytes(&mut self, field: &str) -> Result<Vec<u8>, WireError> {
        let text = self.optional_text(field)?.unwrap_or("");
        let byte = |pair: &[u8]| {
            let pair = std::str::from_utf8(pair).ok().filter(|p| p.len() == 2)?;
            u8::from_str_radix(pair, 16).ok()
        };
        let bytes: Option<Vec<u8>> = text.as_bytes().chunks(2).map(byte).collect();
        bytes.ok_or_else(|| self.error(field, WireProblem::NotHexDigits))
    }

    /// The next field as a number; `None` if it is `-`.
    pub fn optional_number(&mut self, field: &str) -> Result<Option<f64>, WireError> {
        let Some(text) = self.optional_text(field)? else {
            return Ok(None);
        };
        let number = text.parse::<f64>().map(Some);
        number.map_err(|_| self.error(field, WireProblem::NotANumber(text.to_string())))
    }

    /// The next field as a number.
    pub fn number(&mut self, field: &str) -> Result<f64, WireError> {
        let number = self.optional_number(field)?;
        number.ok_or_else(|| self.error(field, WireProblem::Absent))
    }

    /// The next field as a time of the simulator's clock, in milliseconds.
    pub fn timestamp(&mut self, field: &str) -> Result<Timestamp, WireError> {
        let millis = self.number(field)?;
        if !millis.is_finite() {
            return Err(self.error(field, WireProblem::NotATime));
        }
        Ok(timestamp_from_millis(millis))
    }

    /// The next field as a time of the simulator's clock, in milliseconds; `None` if it is `-` or not finite.
    pub fn optional_timestamp(&mut self, field: &str) -> Result<Option<Timestamp>, WireError> {
        let millis = self.optional_number(field)?;
        Ok(millis
            .filter(|millis| millis.is_finite())
            .map(timestamp_from_millis))
    }

    /// The next field as a duration in milliseconds; `None` if it is `-` or not finite.
    pub fn optional_time_delta(&mut self, field: &str) -> Result<Option<TimeDelta>, WireError> {
        let millis = self.optional_number(field)?;
        Ok(millis
            .filter(|millis| millis.is_finite())
            .map(time_delta_from_millis))
    }

    /// The next field as the outcome of an attempt or a health check.
    pub fn outcome(&mut self) -> Result<Outcome, WireError> {
        Ok(match self.text("StateCode")? {
            "GOOD" => Outcome::Success,
            "FULL" => Outcome::Rejected,
            "LATE" => Outcome::TimedOut,
            "NOCONN" => Outcome::ConnectionFailed,
            "RST" => Outcome::ConnectionReset,
            "CXL" => Outcome::Cancelled,
            "NOP" => Outcome::NotSent,
            // BAD and unknown codes: the set-up may have run.
            _ => Outcome::Error,
        })
    }

    /// The next field as a load report. Older senders omit it.
    pub fn load_report(&mut self) -> Result<LoadReport, WireError> {
        let mut report = LoadReport::default();
        let text = self.rest.next().unwrap_or(ABSENT);
        if text == ABSENT || text.is_empty() {
            return Ok(report);
        }
        for pair in text.split(',') {
            let Some((name, value)) = pair.split_once(':') else {
                let problem = WireProblem::NotNameAndValue(pair.to_string());
                return Err(self.error("Stats", problem));
            };
            apply_load_value(&mut report, name, value)
                .map_err(|_| self.error("Stats", WireProblem::NotANumber(value.to_string())))?;
        }
        Ok(report)
    }
}

fn timestamp_from_millis(millis: f64) -> Timestamp {
    Timestamp::ZERO + time_delta_from_millis(millis)
}
