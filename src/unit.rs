//! Quantities: a newtype for each kind of amount, rate and share.

use std::{fmt, ops::Add, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// An amount of money in millionths of the operator's currency unit.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct MicroCost(pub u64);

impl Add for MicroCost {
    type Output = MicroCost;

    fn add(self, other: MicroCost) -> MicroCost {
        MicroCost(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for MicroCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

impl FromStr for MicroCost {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let value = parse_below(text, "an amount", 1e12)?;
        Ok(MicroCost((value * 1e6).round() as u64))
    }
}

/// Parses a number from 0 up to, but not including, `limit`; `what` names the
/// quantity in the error message.
fn parse_below(text: &str, what: &str, limit: f64) -> Result<f64, Error> {
    let invalid =
        |reason: String| Error::new(ErrorKind::InvalidInput).context(reason);
    let value: f64 = text
        .parse()
        .map_err(|_| invalid(format!("`{text}` is not {what}")))?;
    match (0.0..limit).contains(&value) {
        true => Ok(value),
        false => Err(invalid(format!("`{text}` is out of range for {what}"))),
    }
}

/// An amount of memory, in binary megabytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Megabytes(pub u32);

impl fmt::Display for Megabytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Megabytes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let value = parse_below(text, "an amount of memory", 1e9)?;
        Ok(Megabytes(value.round() as u32))
    }
}

/// The bandwidth of a network link, in megabits per second.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Mbps(pub u32);

impl fmt::Display for Mbps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Mbps {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let value = parse_below(text, "a rate", 1e9)?;
        Ok(Mbps(value.round() as u32))
    }
}

/// A share of processor time, in thousandths of a core.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct MilliCores(pub u32);

impl fmt::Display for MilliCores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", f64::from(self.0) / 1000.0)
    }
}

impl FromStr for MilliCores {
    type Err = Error;

    /// Parses a decimal number of cores.
    fn from_str(text: &str) -> Result<Self, Error> {
        let cores = parse_below(text, "a number of cores", 1e6)?;
        Ok(MilliCores((cores * 1000.0).round() as u32))
    }
}

/// How much longer than usual work takes at an upstream at the moment, in
/// percent of the usual time.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Slowdown {
    percent: u32,
}

impl Slowdown {
    /// Work takes as long as usual.
    pub const NONE: Slowdown = Slowdown { percent: 100 };

    /// Largest slowdown that is taken from a report; larger ones are cut to
    /// it.
    const MAX_PERCENT: u32 = 10_000;

    /// Returns the factor on the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.percent) / 100.0
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.percent)
    }
}

impl FromStr for Slowdown {
    type Err = Error;

    /// Parses a whole or decimal number of percent above zero.
    fn from_str(text: &str) -> Result<Self, Error> {
        let percent = parse_below(text, "a slowdown", f64::INFINITY)?;
        let percent = percent.round().min(Slowdown::MAX_PERCENT.into()) as u32;
        match percent {
            0 => Err(Error::new(ErrorKind::InvalidInput)
                .context("a slowdown must be above zero")),
            percent => Ok(Slowdown { percent }),
        }
    }
}

/// A cost per thousand generated tokens, in the operators' unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct TokenCost(f64);

impl TokenCost {
    /// Share of the cost of a generated token that a token of the prompt
    /// costs.
    const PROMPT_SHARE: f64 = 0.25;

    /// Creates a cost.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] when it is negative or not finite.
    pub fn per_thousand(cost: f64) -> Result<TokenCost, Error> {
        match cost.is_finite() && cost >= 0.0 {
            true => Ok(TokenCost(cost)),
            false => Err(Error::new(ErrorKind::InvalidInput)
                .context(format!("`{cost}` is not a cost"))),
        }
    }

    /// Returns the cost of a request that reads and generates this many
    /// tokens.
    pub fn of_request(self, prompt_tokens: f64, output_tokens: f64) -> f64 {
        let weighted = prompt_tokens * Self::PROMPT_SHARE + output_tokens;
        self.0 * weighted / 1000.0
    }
}

impl fmt::Display for TokenCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for TokenCost {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        TokenCost::per_thousand(parse_below(text, "a cost", f64::INFINITY)?)
    }
}

/// A number of requests per second.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate {
    /// In thousandths of a request per second.
    milli_per_s: u32,
}

impl RequestRate {
    /// The highest rate that can be represented.
    const MAX_PER_S: f64 = 1e6;

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.milli_per_s) / 1000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_s())
    }
}

impl FromStr for RequestRate {
    type Err = Error;

    /// Parses a decimal number; higher rates become the highest one.
    fn from_str(text: &str) -> Result<Self, Error> {
        let per_s = parse_below(text, "a request rate", f64::INFINITY)?;
        let per_s = per_s.min(RequestRate::MAX_PER_S);
        Ok(RequestRate { milli_per_s: (per_s * 1000.0).round() as u32 })
    }
}

/// A share or score from 0 to 1.
#[derive(
    Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

impl Share {
    /// The share 0.
    pub const ZERO: Share = Share(0.0);
    /// The share 1.
    pub const ONE: Share = Share(1.0);

    /// Creates a share.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] when `value` is outside 0 to 1.
    pub fn new(value: f64) -> Result<Share, Error> {
        if !(0.0..=1.0).contains(&value) {
            return Err(Error::new(ErrorKind::InvalidInput)
                .context(format!("{value} is not between 0 and 1")));
        }
        Ok(Share(value))
    }

    /// Returns the value, from 0 to 1.
    pub fn value(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0)
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let value: f64 = text.parse().map_err(|_| {
            Error::new(ErrorKind::InvalidInput)
                .context(format!("`{text}` is not a share"))
        })?;
        Share::new(value)
    }
}

impl TryFrom<f64> for Share {
    type Error = Error;

    fn try_from(value: f64) -> Result<Self, Error> {
        Share::new(value)
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> f64 {
        share.0
    }
}

/// A whole percentage from 0 to 100.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Percent(u8);

impl Percent {
    /// Creates a percentage.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] above 100.
    pub fn new(value: u8) -> Result<Percent, Error> {
        if value <= 100 {
            return Ok(Percent(value));
        }
        let reason = format!("{value} is more than 100");
        Err(Error::new(ErrorKind::InvalidInput).context(reason))
    }

    /// Returns the number, from 0 to 100.
    pub fn value(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Percent {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number = text.trim().parse().map_err(|_| {
            Error::new(ErrorKind::InvalidInput).context(format!(
                "`{text}` is not a whole number from 0 to 100"
            ))
        })?;
        Percent::new(number)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn amounts_round_trip() {
        let cost: MicroCost = "1.25".parse().unwrap();
        assert_eq!(cost, MicroCost(1_250_000));
        assert_eq!(cost.to_string(), "1.250000");
        assert!("-1".parse::<MicroCost>().is_err());
        assert!("nan".parse::<MicroCost>().is_err());
    }

    #[test]
    fn request_rates_round_trip_and_saturate() {
        let rate = |text: &str| text.parse::<RequestRate>();
        for text in ["0", "0.3", "1.4", "40", "1000000"] {
            assert_eq!(rate(text).unwrap().to_string(), text);
        }
        assert_eq!(rate("1e300").unwrap(), rate("1e6").unwrap());
        assert_eq!(rate("1e-9").unwrap().per_s(), 0.0);
        for text in ["", "-1", "NaN", "inf", "1.1, 2", "1,5"] {
            assert!(rate(text).is_err(), "{text}");
        }
    }

    #[test]
    fn shares_outside_0_to_1_are_rejected() {
        assert!(Share::new(1.01).is_err());
        assert!(Share::new(f64::NAN).is_err());
        assert_eq!("0.5".parse::<Share>().unwrap().value(), 0.5);
    }
}
