//! larkspring-standin
