//! Rendezvous hashing: assigns work to one of several members.
//!
//! Every VM computes the same order from the same members. While the VMs know
//! different members, two of them may take the same work. That costs a
//! repeated or conflicting call but never safety.

/// Returns `members` in the order of preference for `subject`.
pub(crate) fn rank<'a, T: AsRef<[u8]> + ?Sized>(
    subject: &[u8],
    members: impl Iterator<Item = &'a T>,
) -> Vec<&'a T> {
    let mut scored: Vec<(u64, &T)> = members
        .map(|member| (score(subject, member.as_ref()), member))
        .collect();
    scored.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    scored.into_iter().map(|(_, member)| member).collect()
}

/// Returns the weight of one member for a subject.
pub(crate) fn score(subject: &[u8], member: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(subject.len() as u64).to_le_bytes());
    hasher.update(subject);
    hasher.update(member);
    first_u64(&hasher.finalize())
}

/// Returns a short hash of a name, used where a name would be too long to
/// send.
pub(crate) fn short_hash(name: &[u8]) -> u32 {
    first_u64(&blake3::hash(name)) as u32
}

/// Returns the first eight bytes of a hash as a number.
pub(crate) fn first_u64(hash: &blake3::Hash) -> u64 {
    let bytes = hash.as_bytes()[..8].try_into().expect("eight bytes");
    u64::from_le_bytes(bytes)
}

/// Mixes the hashes of a subject and a member into a score.
///
/// This is the finalizer of MurmurHash3, in which every input bit affects all
/// output bits. It takes a few nanoseconds, [`score`] a few hundred.
pub(crate) fn mix(subject: u64, member: u64) -> u64 {
    let mut mixed = subject ^ member.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// Returns the key by which members of different weight are ordered for a
/// subject, the smallest first, given the [`mix`] of both. A member is first
/// for a share of the subjects that is proportional to its weight.
///
/// With equal weights, the order is that of descending mixes.
pub(crate) fn weighted_key(mixed: u64, weight: f64) -> f64 {
    let uniform = (mixed as f64 + 1.0) / 2.0_f64.powi(64);
    -uniform.ln() / weight
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_are_proportional_to_weights() {
        let count = 20_000_u64;
        let is_first = |subject: &u64| {
            weighted_key(mix(*subject, 1), 3.0)
                < weighted_key(mix(*subject, 2), 1.0)
        };
        let first = (0..count).filter(is_first).count();
        let share = first as f64 / count as f64;
        assert!((0.73..0.77).contains(&share), "{share}");
    }

    #[test]
    fn removing_a_member_moves_only_its_subjects() {
        let members: Vec<String> =
            (0..10).map(|n| format!("vm-{n}")).collect();
        let fewer: Vec<String> = members[1..].to_vec();
        for subject in 0..200_u32 {
            let subject = subject.to_le_bytes();
            let before = rank(&subject, members.iter())[0];
            let after = rank(&subject, fewer.iter())[0];
            assert!(before == after || before == &members[0]);
        }
    }

    #[test]
    fn subjects_are_spread_evenly() {
        let members: Vec<String> = (0..8).map(|n| format!("vm-{n}")).collect();
        let mut counts = [0_u32; 8];
        for subject in 0..8000_u32 {
            let subject = subject.to_le_bytes();
            let first = rank(&subject, members.iter())[0];
            let at = members.iter().position(|m| m == first).unwrap();
            counts[at] += 1;
        }
        assert!(counts.iter().all(|count| (800..1200).contains(count)));
    }
}
