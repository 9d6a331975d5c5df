//! Property tests with fixed seeds.

use arbtest::arbitrary::{Result, Unstructured};

/// Checks `property` on `cases` inputs of at most `size` bytes, generated from consecutive seeds
/// that start at `first`. A failure prints its seed.
pub(crate) fn check<Property>(first: u32, cases: u32, size: u32, mut property: Property)
where
    Property: FnMut(&mut Unstructured<'_>) -> Result<()>,
{
    for seed in first..first + cases {
        arbtest::arbtest(&mut property).seed(u64::from(seed) << 32 | u64::from(size)).run();
    }
}
