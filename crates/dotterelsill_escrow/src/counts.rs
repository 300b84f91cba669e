//! Counters of a holder, packed into one 64-bit integer.

/// Highest supported limit of a team, in concurrent requests.
///
/// Each counter has 21 bits, because three counters and one flag share a 64-bit
/// integer that is updated atomically.
pub const MAX_LIMIT: u32 = (1 << BITS) - 1;

const BITS: u32 = 21;
const MASK: u64 = MAX_LIMIT as u64;
const PEAK_SHIFT: u32 = BITS;
const ALLOWANCE_SHIFT: u32 = 2 * BITS;
const REFUSED_SHIFT: u32 = 3 * BITS;

/// Counters of the requests that run on a holder's credits.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Counts {
    /// Number of concurrent requests up to which further requests may start.
    pub allowance: u32,
    /// Highest number of concurrent requests since the last sample.
    pub peak: u32,
    /// Whether a request was refused a credit since the last sample.
    pub refused: bool,
    /// Number of requests running now.
    pub running: u32,
}

impl Counts {
    /// Unpacks the counters.
    pub(crate) fn unpack(packed: u64) -> Self {
        let field = |shift: u32| (packed >> shift & MASK) as u32;
        Self {
            allowance: field(ALLOWANCE_SHIFT),
            peak: field(PEAK_SHIFT),
            refused: packed >> REFUSED_SHIFT == 1,
            running: field(0),
        }
    }

    /// Packs the counters, each of which must be at most [`MAX_LIMIT`].
    pub(crate) fn pack(self) -> u64 {
        u64::from(self.running)
            | u64::from(self.peak) << PEAK_SHIFT
            | u64::from(self.allowance) << ALLOWANCE_SHIFT
            | u64::from(self.refused) << REFUSED_SHIFT
    }

    /// Returns the counters after one more request starts, or `None` if the
    /// allowance is used up.
    pub(crate) fn after_start(mut self) -> Option<Self> {
        if self.running >= self.allowance {
            return None;
        }
        self.running += 1;
        self.peak = self.peak.max(self.running);
        Some(self)
    }
}
