//! Rendezvous hashing: who of several takes a share of the work.
//!
//! Every VM computes the same order from the same members. When members
//! differ for a moment, two VMs may take the same share; that costs a
//! repeated or conflicting call and never safety.

/// The order in which `members` come into question for `subject`.
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

/// The weight of one member for a subject.
pub(crate) fn score(subject: &[u8], member: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(subject.len() as u64).to_le_bytes());
    hasher.update(subject);
    hasher.update(member);
    first_u64(&hasher.finalize())
}

/// A short hash of a name, used where a name would be too long to send.
pub(crate) fn short_hash(name: &[u8]) -> u32 {
    first_u64(&blake3::hash(name)) as u32
}

/// The first eight bytes of a hash as a number.
pub(crate) fn first_u64(hash: &blake3::Hash) -> u64 {
    let bytes = hash.as_bytes()[..8].try_into().expect("eight bytes");
    u64::from_le_bytes(bytes)
}

/// Mixes a subject and a member, both hashed already, into a score.
///
/// This is the finaliser of MurmurHash3, which spreads every bit; it costs
/// a few nanoseconds where [`score`] costs a few hundred.
pub(crate) fn mix(subject: u64, member: u64) -> u64 {
    let mut mixed = subject ^ member.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn losing_a_member_moves_only_its_share() {
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
    fn shares_are_even() {
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
