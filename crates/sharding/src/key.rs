//! Names as numbers that are the same in every process and version.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A name of a function, worker or front end in 64 bits. Two names with one key count as one; among 65,536
/// names that is a chance of 1 in 10^10.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub(crate) u64);

/// Keys of SipHash for names, for seeds of shards, and for which part of a spread function a call goes to.
/// Not secret.
const NAMES: (u64, u64) = (0x7374_6167_6568_6f69, 0x7374_2073_6861_7264);
const SEEDS: (u64, u64) = (0x7368_6172_6420_6e75, 0x6d62_6572_2073_6565);
/// Makes the order in which members choose independent of what they choose.
const ORDER: u64 = 0x9e37_79b9_7f4a_7c15;

impl Key {
    /// The key of a name.
    pub fn of(name: &str) -> Key {
        let mut hasher = SipHasher13::new_with_keys(NAMES.0, NAMES.1);
        hasher.write(name.as_bytes());
        Key(hasher.finish())
    }

    /// A key of something that has a number everywhere in place of a name.
    pub fn numbered(number: u64) -> Key {
        let mut hasher = SipHasher13::new_with_keys(NAMES.1, NAMES.0);
        hasher.write(&number.to_le_bytes());
        Key(hasher.finish())
    }

    /// Place in the order in which members choose their shards; different for different keys.
    pub(crate) fn rank(self) -> u64 {
        mix(self.0 ^ ORDER)
    }
}

/// Seed of one ticket of a shard.
pub(crate) fn seed(shard: u32, ticket: u32) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(SEEDS.0, SEEDS.1);
    hasher.write(&u64::from(shard).to_le_bytes());
    hasher.write(&u64::from(ticket).to_le_bytes());
    hasher.finish()
}

/// The finalizer of SplitMix64 (Steele, Lea, Flood 2014; Stafford's variant 13): a bijection, so that
/// different seeds give one key different scores. SipHash for each pair of member and shard would take ten
/// times as long.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
