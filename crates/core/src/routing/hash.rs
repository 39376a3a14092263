//! Hashes that are the same in every process.

/// FNV-1a of a text.
pub(crate) fn fnv1a(text: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325;
    text.bytes().fold(start, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Spreads the bits of a number over all of it, as the last step of
/// MurmurHash3 does.
pub(crate) fn fmix64(mut bits: u64) -> u64 {
    bits ^= bits >> 33;
    bits = bits.wrapping_mul(0xff51_afd7_ed55_8ccd);
    bits ^= bits >> 33;
    bits = bits.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    bits ^ (bits >> 33)
}
