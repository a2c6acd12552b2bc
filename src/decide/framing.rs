//! Tells bodies whose framing takes many times their payload. Limits on bodies count the payload,
//! and such a body costs a host far more work and memory than they allow.

/// The bytes beyond the payload that are always accepted: several read buffers, since a host may
/// have read more than it has taken payload out of.
const EXCESS_MAX_BYTES: u64 = 256 << 10;
/// The bytes that may arrive for each byte of payload. A chunk of one byte takes 6, and 13 if its
/// size is padded to eight digits.
const BYTES_PER_PAYLOAD_BYTE: u64 = 16;

/// Returns whether the framing of a body, of which `received` bytes have arrived with `payload`
/// bytes of payload, takes too much.
pub(crate) const fn is_excessive(received: u64, payload: u64) -> bool {
    received > EXCESS_MAX_BYTES.saturating_add(BYTES_PER_PAYLOAD_BYTE.saturating_mul(payload))
}

#[cfg(test)]
mod tests;
