//! Rendezvous hashing: daemons with the same members choose the same owner for a key.

use std::hash::Hasher;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// A 64-bit hash of `text`, the same on every daemon.
pub fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// A 64-bit hash of `bytes`, the same on every daemon.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// The weight of `member` for `key`; the member with the highest weight owns the key.
pub fn weight(key: &str, member: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(key.as_bytes());
    hasher.write_u8(0);
    hasher.write(member.as_bytes());
    hasher.finish()
}

/// Owner of `key`; `None` without members.
pub fn owner<'a, I>(key: &str, members: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    members.into_iter().max_by_key(|member| (weight(key, member), *member))
}

/// Members with the highest weights for `key`, best first, at most `count`.
pub fn ranked<'a, I>(key: &str, members: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranked: Vec<_> =
        members.into_iter().map(|member| (weight(key, member), member)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, member)| member).collect()
}
