//! Counters of a holder, packed into one machine word.

/// Highest limit of a team, in requests running at once.
///
/// The three counters and one flag of a holder share a 64-bit word.
pub const MAX_LIMIT: u32 = (1 << BITS) - 1;

const BITS: u32 = 21;
const MASK: u64 = MAX_LIMIT as u64;
const PEAK_SHIFT: u32 = BITS;
const ALLOWANCE_SHIFT: u32 = 2 * BITS;
const REFUSED_SHIFT: u32 = 3 * BITS;

/// Counters of a holder.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Counts {
    /// Highest number that may be running when another request starts.
    pub allowance: u32,
    /// Highest number running at once since the last sample.
    pub peak: u32,
    /// Whether a start was refused since the last sample.
    pub refused: bool,
    /// Requests running.
    pub running: u32,
}

impl Counts {
    /// Unpacks the counters.
    pub(crate) fn unpack(word: u64) -> Self {
        let field = |shift: u32| (word >> shift & MASK) as u32;
        Self {
            allowance: field(ALLOWANCE_SHIFT),
            peak: field(PEAK_SHIFT),
            refused: word >> REFUSED_SHIFT == 1,
            running: field(0),
        }
    }

    /// Packs the counters; each is at most [`MAX_LIMIT`].
    pub(crate) fn pack(self) -> u64 {
        u64::from(self.running)
            | u64::from(self.peak) << PEAK_SHIFT
            | u64::from(self.allowance) << ALLOWANCE_SHIFT
            | u64::from(self.refused) << REFUSED_SHIFT
    }

    /// Returns the counters after a start, or `None` when the allowance is used up.
    pub(crate) fn started(mut self) -> Option<Self> {
        if self.running >= self.allowance {
            return None;
        }
        self.running += 1;
        self.peak = self.peak.max(self.running);
        Some(self)
    }
}
