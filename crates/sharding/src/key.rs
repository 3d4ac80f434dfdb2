//! Hashes names to keys that are the same in every process and version.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A 64-bit hash of the name of a function, worker or front end. Two names with the same key are treated as
/// one; the probability of such a collision among 65,536 names is 1 in 10^10.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub(crate) u64);

/// SipHash keys for names, for the seeds of shards, and for the choice of the shard of a spread function that a
/// call is sent to. They are not secret.
const NAME_HASH_KEY: (u64, u64) = (0x7374_6167_6568_6f69, 0x7374_2073_6861_7264);
const SEED_HASH_KEY: (u64, u64) = (0x7368_6172_6420_6e75, 0x6d62_6572_2073_6565);
/// Makes the rank of a member, which decides when it chooses a shard, independent of the shards it prefers.
const RANK_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

impl Key {
    /// Returns the key of a name.
    pub fn of(name: &str) -> Key {
        let mut hasher = SipHasher13::new_with_keys(NAME_HASH_KEY.0, NAME_HASH_KEY.1);
        hasher.write(name.as_bytes());
        Key(hasher.finish())
    }

    /// Returns the key of an item that is identified by a number in place of a name.
    pub fn numbered(number: u64) -> Key {
        let mut hasher = SipHasher13::new_with_keys(NAME_HASH_KEY.1, NAME_HASH_KEY.0);
        hasher.write(&number.to_le_bytes());
        Key(hasher.finish())
    }

    /// Returns the position in the order in which members choose their shards; distinct for distinct keys.
    pub(crate) fn rank(self) -> u64 {
        mix(self.0 ^ RANK_SALT)
    }
}

/// Returns the seed of one ticket of a shard.
pub(crate) fn seed(shard: u32, ticket: u32) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(SEED_HASH_KEY.0, SEED_HASH_KEY.1);
    hasher.write(&u64::from(shard).to_le_bytes());
    hasher.write(&u64::from(ticket).to_le_bytes());
    hasher.finish()
}

/// The finalizer of SplitMix64 (Steele, Lea, Flood 2014; Stafford's variant 13): a bijection, so that
/// different seeds give the same key different scores. SipHash for each pair of member and shard would take ten
/// times as long.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
