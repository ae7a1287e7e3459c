//! What requests that crash endpoints may have in common.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use quick_error::quick_error;

use crate::ids::{ContentHash, PartId};

/// Something that requests have in common, and that may crash the endpoints which run
/// them.
///
/// Its text is the name of its object in the platform's store, and the name that operators
/// use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Feature {
    /// The whole request: the fingerprint of its content and workspace.
    Content(ContentHash),
    /// A part of the prompt, whatever else the request holds.
    Part(PartId),
}

quick_error! {
    /// A text that names no feature.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidFeature {
        /// Neither a fingerprint nor a part.
        Invalid(text: String) {
            display("`{text}` is neither 16 hexadecimal digits nor part-ID, in lower case")
        }
    }
}

impl Feature {
    /// Returns whether requests that differ may have the feature.
    pub fn is_shared(self) -> bool {
        !matches!(self, Self::Content(_))
    }
}

const PART: &str = "part-";

impl Display for Feature {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(hash) => write!(f, "{hash:016x}"),
            Self::Part(id) => write!(f, "{PART}{id:x}"),
        }
    }
}

impl FromStr for Feature {
    type Err = InvalidFeature;

    fn from_str(text: &str) -> Result<Self, InvalidFeature> {
        let number = |digits: &str| u64::from_str_radix(digits, 16).ok();
        let feature = match text.strip_prefix(PART) {
            Some(id) => number(id).map(Self::Part),
            None => number(text).map(Self::Content),
        };
        // Each feature has a single text.
        feature
            .filter(|feature| feature.to_string() == text)
            .ok_or_else(|| InvalidFeature::Invalid(text.into()))
    }
}
