//! A stable 64-bit hash that is the same on every host and in every version.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes `parts` in order, each followed by a separator byte (FNV-1a with a finaliser).
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut h = FNV_OFFSET;
    for part in parts {
        h = extend(h, part);
        h = extend(h, &[0xff]);
    }
    mix(h)
}

/// Updates the FNV-1a state `h` with `bytes`.
pub fn extend(mut h: u64, bytes: &[u8]) -> u64 {
    for b in bytes {
        h ^= u64::from(*b);
        h = h.wrapping_mul(FNV_PRIME);
    }
    h
}

/// Mixes the bits of `h` with the finaliser of MurmurHash3.
pub fn mix(mut h: u64) -> u64 {
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^= h >> 33;
    h = h.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}

/// Returns the initial state for [`extend`].
pub const fn initial_state() -> u64 {
    FNV_OFFSET
}
