//! Capacity of the disk: whether further entries fit into the store's file.

/// Bytes that entries take on disk, relative to their own: redb allocates space in powers of two.
const DISK_OVERHEAD: f64 = 1.45;
/// Share of the reachable file length above which no further batch job is accepted.
const MAX_DISK_USE: f64 = 0.85;

/// Whether entries of so many bytes in all fit into a file of `file_bytes` on a disk of
/// `disk_bytes`.
pub fn fits(entry_bytes: u64, file_bytes: u64, disk_bytes: u64) -> bool {
    let needed = entry_bytes as f64 * DISK_OVERHEAD;
    needed <= max_file_bytes(file_bytes, disk_bytes) as f64 * MAX_DISK_USE
}

/// The length that a file of `file_bytes` can reach on a disk of `disk_bytes`. redb grows a file by
/// doubling it, so what lies between the last doubling and the end of the disk can't be used.
pub fn max_file_bytes(file_bytes: u64, disk_bytes: u64) -> u64 {
    let mut reachable = file_bytes.max(1);
    while reachable.saturating_mul(2) <= disk_bytes {
        reachable *= 2;
    }
    reachable
}
