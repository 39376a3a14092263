//! Hash functions that give the same value in every process.

/// FNV-1a of a text.
pub(crate) fn fnv1a(text: &str) -> u64 {
    let offset_basis = 0xcbf2_9ce4_8422_2325;
    text.bytes().fold(offset_basis, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Finalizer of MurmurHash3: each input bit changes about half of the output bits.
pub(crate) fn fmix64(mut bits: u64) -> u64 {
    bits ^= bits >> 33;
    bits = bits.wrapping_mul(0xff51_afd7_ed55_8ccd);
    bits ^= bits >> 33;
    bits = bits.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    bits ^ (bits >> 33)
}
