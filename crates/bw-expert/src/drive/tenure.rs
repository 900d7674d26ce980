//! Names that the drivers of one group keep apart: versions of maps, and ranks for holds.

use bw_model::Fence;
use bw_model::MapVersion;

/// Number of low bits of a map version that number the versions of one driver; the bits above them
/// hold the fencing number of the driver's lease.
const VERSION_BITS: u32 = 24;
/// Smallest group in which a driver can tell an older driver's hold from a newer one's.
pub const RANKS_MIN: u16 = 3;

/// Relation of the driver that a hold or a version belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// A driver that held the lease before.
    Older,
    /// This driver.
    Own,
    /// A driver that acquired the lease later.
    Newer,
}

/// One driver's tenure of the lease over a group.
///
/// Drivers hold steps at different ranks, so that a driver never releases a hold that another one
/// relies on. Ranks are reused after as many drivers as the group has ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Tenure {
    lease: Fence,
    ranks: u16,
    /// Number of versions issued.
    issued: u64,
}

impl Tenure {
    /// Creates the tenure of the holder of a lease over a group of `ranks` ranks.
    pub fn new(lease: Fence, ranks: u16) -> Self {
        Self { lease, ranks, issued: 0 }
    }

    /// Returns the fencing number of the driver's commands.
    pub fn fence(&self) -> Fence {
        Fence(self.lease.0 << VERSION_BITS)
    }

    /// Returns a new map version, which is higher than all versions of this and of older drivers.
    pub fn issue_version(&mut self) -> MapVersion {
        self.issued += 1;
        MapVersion(self.fence().0 + self.issued)
    }

    /// Returns the driver that issued a version.
    pub fn version_owner(&self, version: MapVersion) -> Owner {
        match (version.0 >> VERSION_BITS).cmp(&self.lease.0) {
            std::cmp::Ordering::Less => Owner::Older,
            std::cmp::Ordering::Equal => Owner::Own,
            std::cmp::Ordering::Greater => Owner::Newer,
        }
    }

    /// Returns the rank at which this driver holds steps.
    pub fn hold_rank(&self) -> u16 {
        self.rank_of(self.lease.holder())
    }

    /// Returns the count of holders in the lease under which another driver issued a version; `None` for
    /// versions of this driver and for the first map of a group.
    pub fn other_holder(&self, version: MapVersion) -> Option<u64> {
        let lease = Fence(version.0 >> VERSION_BITS);
        (lease.0 != 0 && lease != self.lease).then(|| lease.holder())
    }

    /// Returns whether the driver with this count of holders holds steps at the same rank as this one.
    pub fn shares_rank(&self, holder: u64) -> bool {
        self.rank_of(holder) == self.hold_rank()
    }

    /// Returns whether this driver's count of holders is above another one's, which tells the holds of
    /// older drivers from those of newer ones.
    pub fn follows(&self, holder: u64) -> bool {
        self.lease.holder() > holder
    }

    fn rank_of(&self, holder: u64) -> u16 {
        (holder % u64::from(self.ranks.max(1))) as u16
    }

    /// Returns the driver that holds steps at a rank: the nearest one, older or newer, by the order
    /// of leases.
    pub fn hold_owner(&self, rank: u16) -> Owner {
        let count = self.ranks.max(1);
        let behind = (self.hold_rank() + count - rank % count) % count;
        match behind {
            0 => Owner::Own,
            _ if behind <= (count - 1) / 2 => Owner::Older,
            _ => Owner::Newer,
        }
    }
}
