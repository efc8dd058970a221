//! What the confidence of a model means.

use std::{fmt, str::FromStr};

use crate::{
    error::{Error, ErrorKind},
    unit::{Percent, Share},
};

/// The probability that an answer is poor, by the confidence that its model
/// states: straight lines between given points.
///
/// Whether an answer was poor is not observed by the router. Operators know it
/// from samples that they have rated.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfidenceCurve {
    /// In the order of their confidence; the first is at 0, the last at 100.
    points: Vec<(Percent, Share)>,
}

impl ConfidenceCurve {
    /// Returns the probability that an answer with a confidence is poor.
    pub(crate) fn poor_probability(&self, confidence: Percent) -> f64 {
        let after = self.points.iter().position(|(at, _)| *at >= confidence);
        let after = after.unwrap_or(self.points.len() - 1);
        let (right, at_right) = self.points[after];
        let (left, at_left) = self.points[after.saturating_sub(1)];
        let width = f64::from(right.value()) - f64::from(left.value());
        if width <= 0.0 {
            return at_right.value();
        }
        let along = f64::from(confidence.value()) - f64::from(left.value());
        let rise = at_right.value() - at_left.value();
        at_left.value() + rise * along / width
    }
}

impl Default for ConfidenceCurve {
    /// Returns the curve that takes the confidence for the probability of a
    /// good answer.
    fn default() -> ConfidenceCurve {
        "0:1, 100:0".parse().expect("the default curve is valid")
    }
}

impl fmt::Display for ConfidenceCurve {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (confidence, poor)) in self.points.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            let (confidence, poor) = (confidence.value(), poor.value());
            write!(f, "{separator}{confidence}:{poor}")?;
        }
        Ok(())
    }
}

impl FromStr for ConfidenceCurve {
    type Err = Error;

    /// Parses `confidence:probability` points, comma-separated, from a
    /// confidence of 0 to one of 100, with a probability that never rises.
    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = |reason: &str| {
            Error::new(ErrorKind::InvalidInput).context(reason.to_owned())
        };
        let point = |text: &str| -> Result<(Percent, Share), Error> {
            let (confidence, poor) = text
                .split_once(':')
                .ok_or_else(|| invalid("a point is confidence:probability"))?;
            Ok((confidence.trim().parse()?, poor.trim().parse()?))
        };
        let points: Vec<(Percent, Share)> =
            text.split(',').map(point).collect::<Result<_, Error>>()?;
        let is_ordered = points
            .windows(2)
            .all(|pair| pair[0].0 < pair[1].0 && pair[0].1 >= pair[1].1);
        if !is_ordered {
            return Err(invalid(
                "the confidence must rise and the probability must not",
            ));
        }
        let ends = (points.first(), points.last());
        let (Some((first, _)), Some((last, _))) = ends else {
            return Err(invalid("no point is given"));
        };
        match (first.value(), last.value()) {
            (0, 100) => Ok(ConfidenceCurve { points }),
            _ => Err(invalid("the first point is at 0, the last at 100")),
        }
    }
}

#[cfg(test)]
mod tests;
