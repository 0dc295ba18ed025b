//! Compares the longest-prefix search with a linear search.

mod common;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use common::spec;
use mh_lookup::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const RANKINGS: u16 = 40;

/// Returns a random block from a small address range, so that blocks nest, repeat and span chunks.
fn block(rng: &mut StdRng) -> Block {
    let random_bits: u32 = rng.random();
    if rng.random_bool(0.7) {
        let len = if rng.random_bool(0.1) {
            rng.random_range(0..=12)
        } else {
            rng.random_range(13..=32)
        };
        let bits = 0x0A00_0000 | (random_bits & 0x001F_FFFF);
        let masked = bits & u32::MAX.checked_shl(32 - u32::from(len)).unwrap_or(0);
        Block::new(Ipv4Addr::from_bits(masked).into(), len).expect("the bits are masked")
    } else {
        let len = if rng.random_bool(0.1) {
            rng.random_range(0..=32)
        } else {
            rng.random_range(33..=64)
        };
        let bits = 0x2A00_0000_0000_0000 | u64::from(random_bits) << 8;
        let masked = bits & u64::MAX.checked_shl(64 - u32::from(len)).unwrap_or(0);
        Block::new(Ipv6Addr::from_bits(u128::from(masked) << 64).into(), len).expect("the bits are masked")
    }
}

fn address(rng: &mut StdRng, blocks: &[Block]) -> IpAddr {
    match blocks[rng.random_range(0..blocks.len())].addr() {
        // Addresses near the first address of a block: just before it, inside it, and somewhere after it.
        IpAddr::V4(a) => {
            let scale = rng.random_range(0..20);
            let offset = rng.random_range(0..1_u32 << scale);
            let bits = if rng.random() {
                a.to_bits().wrapping_add(offset)
            } else {
                a.to_bits().wrapping_sub(1)
            };
            Ipv4Addr::from_bits(bits).into()
        }
        IpAddr::V6(a) => {
            let scale = rng.random_range(40..90);
            let offset = rng.random_range(0..1_u128 << scale);
            let bits = if rng.random() {
                a.to_bits().wrapping_add(offset)
            } else {
                a.to_bits().wrapping_sub(1)
            };
            Ipv6Addr::from_bits(bits).into()
        }
    }
}

fn contains(block: &Block, addr: IpAddr) -> bool {
    let len = u32::from(block.prefix_len());
    match (block.addr(), addr) {
        (IpAddr::V4(b), IpAddr::V4(a)) => (b.to_bits() ^ a.to_bits()).leading_zeros() >= len,
        (IpAddr::V6(b), IpAddr::V6(a)) => (b.to_bits() ^ a.to_bits()).leading_zeros() >= len,
        _ => false,
    }
}

/// Longest-prefix match by a linear search over all blocks.
fn linear_search(blocks: &BTreeMap<Block, RankingId>, addr: IpAddr) -> Option<RankingId> {
    blocks
        .iter()
        .filter(|(b, _)| contains(b, addr))
        .max_by_key(|(b, _)| b.prefix_len())
        .map(|(_, r)| *r)
}

/// Guards against a wrong or missing match after a build and after each change, with nested, repeated and removed
/// blocks that cross chunk borders, split chunks and empty them. `MH_LOOKUP_HISTORIES=1000` runs more random histories.
#[test]
fn longest_prefix_match_equals_linear_search() {
    let histories = std::env::var("MH_LOOKUP_HISTORIES")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(24);
    for seed in 0..histories {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = [0, 3, 40, 1500, 2600][rng.random_range(0..5)];
        let mut all: Vec<(Block, RankingId)> = (0..count)
            .map(|_| (block(&mut rng), RankingId(rng.random_range(0..RANKINGS))))
            .collect();
        let mut table = Table::build(TableSpec {
            blocks: all.clone(),
            ..spec(RANKINGS, 1)
        })
        .unwrap();
        let mut blocks: BTreeMap<Block, RankingId> = all.iter().copied().collect();
        // Some histories mostly remove blocks and some mostly add them, so that chunks become empty or are split.
        let removals = [0.05, 0.5, 0.95][rng.random_range(0..3)];

        for step in 0..700 {
            if rng.random_bool(removals) && !all.is_empty() {
                let (block, _) = all.swap_remove(rng.random_range(0..all.len()));
                blocks.remove(&block);
                table = table.with_change(&Change::Block(block, None)).unwrap();
            } else {
                let added = (block(&mut rng), RankingId(rng.random_range(0..RANKINGS)));
                all.push(added);
                blocks.insert(added.0, added.1);
                table = table.with_change(&Change::Block(added.0, Some(added.1))).unwrap();
            }
            if let Some(known) = blocks.keys().next() {
                let known_blocks = if all.is_empty() {
                    vec![*known]
                } else {
                    all.iter().map(|(b, _)| *b).collect()
                };
                for _ in 0..(if step % 50 == 0 { 60 } else { 1 }) {
                    let addr = address(&mut rng, &known_blocks);
                    assert_eq!(
                        table.ranking_of(addr),
                        linear_search(&blocks, addr),
                        "seed {seed}, step {step}, {addr}"
                    );
                }
            }
            assert_eq!(table.block_count(), blocks.len(), "seed {seed}, step {step}");
        }
    }
}

/// Guards against a change that copies all chunks, and against one that modifies the original table.
#[test]
fn change_shares_other_chunks_and_keeps_the_original_table() {
    let mut rng = StdRng::seed_from_u64(5);
    let blocks = (0..20_000).map(|i| {
        (
            Block::new(Ipv4Addr::from_bits(i << 12).into(), 20).unwrap(),
            RankingId(1),
        )
    });
    let table = Table::build(TableSpec {
        blocks: blocks.collect(),
        ..spec(4, 1)
    })
    .unwrap();
    let block = Block::new(Ipv4Addr::from_bits(rng.random_range(0..20_000) << 12).into(), 20).unwrap();

    let changed = table.with_change(&Change::Block(block, Some(RankingId(2)))).unwrap();

    let (chunks, shared) = changed.shared_chunks(&table);
    assert!(
        chunks >= 39 && shared == chunks - 1,
        "{shared} of {chunks} chunks are shared"
    );
    assert_eq!(table.ranking_of(block.addr()), Some(RankingId(1)));
    assert_eq!(changed.ranking_of(block.addr()), Some(RankingId(2)));
}

/// Guards against chunks that grow without limit, which would make each change copy more prefixes.
#[test]
fn growing_chunks_are_split() {
    let mut table = Table::build(spec(1, 1)).unwrap();

    for i in 0..1000 {
        let block = Block::new(Ipv4Addr::from_bits(0x0A00_0000 + (i << 8)).into(), 24).unwrap();
        table = table.with_change(&Change::Block(block, Some(RankingId(0)))).unwrap();
    }

    let (chunks, _) = table.shared_chunks(&table);
    assert!((8..40).contains(&chunks), "{chunks} chunks for 1000 blocks");
}

/// Guards against accepting ambiguous blocks, such as addresses with bits after the prefix.
#[test]
fn malformed_blocks_are_refused() {
    for text in [
        "10.0.0.0",
        "10.0.0.0/33",
        "10.0.0.1/24",
        "2a00::/65",
        "2a00::1/64",
        "x/8",
        "10.0.0.0/-1",
    ] {
        assert!(text.parse::<Block>().is_err(), "{text}");
    }
    for text in ["0.0.0.0/0", "10.0.0.1/32", "::/0", "2a00:1::/64"] {
        assert_eq!(text.parse::<Block>().unwrap().to_string(), text);
    }
}
