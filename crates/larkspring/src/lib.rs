//! larkspring
