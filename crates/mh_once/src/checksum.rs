/// Reversed polynomial of CRC-32 (IEEE 802.3).
const POLYNOMIAL: u32 = 0xedb8_8320;

/// CRC of each byte value.
const TABLE: [u32; 256] = table();

const fn table() -> [u32; 256] {
    let mut table = [0; 256];
    let mut i = 0;
    while i < 256 {
        let mut crc = i as u32;
        let mut bit = 0;
        while bit < 8 {
            crc = if crc & 1 == 1 {
                (crc >> 1) ^ POLYNOMIAL
            } else {
                crc >> 1
            };
            bit += 1;
        }
        table[i] = crc;
        i += 1;
    }
    table
}

/// CRC-32 of `bytes`.
///
/// Detects every error burst of at most 32 bits, which includes every single wrong character and every transposition of
/// two adjacent characters.
pub(crate) fn crc32(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(u32::MAX, |crc, byte| {
        let [low, ..] = crc.to_le_bytes();
        TABLE[usize::from(low ^ byte)] ^ (crc >> 8)
    })
}
