//! How much a disk has room for.

/// What entries take on disk, against their bytes: space comes in powers of two.
const DISK_OVERHEAD: f64 = 1.45;
/// No more lots are taken when this part of the disk is in use.
const MAX_DISK_USE: f64 = 0.85;

/// Whether entries of so many bytes fit into a file of `file_bytes` now, on a disk of `disk_bytes`.
pub fn fits(entries: u64, file_bytes: u64, disk_bytes: u64) -> bool {
    entries as f64 * DISK_OVERHEAD <= max_file_bytes(file_bytes, disk_bytes) as f64 * MAX_DISK_USE
}

/// The longest that a file of so many bytes can become on a disk of so many: it grows by doubling its length, and when
/// that is not to be had it stays as it is.
pub fn max_file_bytes(file_bytes: u64, disk_bytes: u64) -> u64 {
    let mut max_bytes = file_bytes.max(1);
    while max_bytes.saturating_mul(2) <= disk_bytes {
        max_bytes *= 2;
    }
    max_bytes
}
