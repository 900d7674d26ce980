//! Which map a group should have.
