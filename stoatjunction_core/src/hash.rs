//! A fixed 64-bit hash, equal on every host and in every version.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes `parts` in order, each closed by a separator (FNV-1a with a final mix).
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut h = OFFSET;
    for part in parts {
        h = extend(h, part);
        h = extend(h, &[0xff]);
    }
    mix(h)
}

/// Continues the FNV-1a state `h` over `bytes`.
pub fn extend(mut h: u64, bytes: &[u8]) -> u64 {
    for b in bytes {
        h ^= u64::from(*b);
        h = h.wrapping_mul(PRIME);
    }
    h
}

/// Spreads the bits of `h` (the finaliser of MurmurHash3).
pub fn mix(mut h: u64) -> u64 {
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^= h >> 33;
    h = h.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}

/// State to start [`extend`] from.
pub const fn initial_state() -> u64 {
    OFFSET
}
