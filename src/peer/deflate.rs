//! Compression of routes that are sent to peers.

use std::io::{Read, Write};

use anyhow::{Context, Result, ensure};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The size limit of decompressed routes, in bytes.
const DECODED_MAX_BYTES: u64 = 16 << 20;

/// Compresses bytes.
///
/// # Panics
///
/// Doesn't panic: writing into memory can't fail.
pub(crate) fn encode(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes).expect("a vector can be written to");
    encoder.finish().expect("a vector can be written to")
}

/// Decompresses bytes.
///
/// # Errors
///
/// Returns an error if the bytes are malformed, or would take more than [`DECODED_MAX_BYTES`].
pub(crate) fn decode(bytes: &[u8]) -> Result<Vec<u8>> {
    let mut decoded = Vec::new();
    let mut limited = DeflateDecoder::new(bytes).take(DECODED_MAX_BYTES + 1);
    limited.read_to_end(&mut decoded).context("malformed")?;
    ensure!(decoded.len() as u64 <= DECODED_MAX_BYTES, "too large");
    Ok(decoded)
}
