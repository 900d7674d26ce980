//! Plans expert maps of groups under leases.
