//! Two simple ways to share a budget among zones, as baselines for comparison.

/// One request as input of the baselines.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Arrival time, in milliseconds.
    pub at: u64,
    /// Zone that received it.
    pub zone: usize,
    /// Budget that it is charged to.
    pub budget: usize,
    /// Upper bound of its cost, in tokens.
    pub bound: u64,
    /// Its actual cost, in tokens.
    pub used: u64,
}

/// A partition of one zone from the others.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// The partitioned zone.
    pub zone: usize,
    /// Start of the partition, in milliseconds.
    pub from: u64,
    /// End of the partition (exclusive), in milliseconds.
    pub until: u64,
}

impl Partition {
    fn isolates(&self, zone: usize, at: u64) -> bool {
        zone == self.zone && (self.from..self.until).contains(&at)
    }
}

/// False refusals of a fixed even split among zones: a zone refuses once its own share is spent,
/// although other zones still have tokens.
pub fn even_split(arrivals: &[Arrival], limits: &[u64], zones: usize) -> u64 {
    let mut remaining: Vec<Vec<u64>> =
        limits.iter().map(|limit| vec![limit / zones as u64; zones]).collect();
    let mut false_refusals = 0;
    for arrival in arrivals {
        let shares = &mut remaining[arrival.budget];
        let total: u64 = shares.iter().sum();
        if shares[arrival.zone] >= arrival.bound {
            shares[arrival.zone] -= arrival.used;
        } else if total >= arrival.bound {
            false_refusals += 1;
        }
    }
    false_refusals
}

/// False refusals of one central counter outside the partitioned zone: a zone that cannot reach
/// the counter refuses every request.
pub fn central_counter(arrivals: &[Arrival], limits: &[u64], partition: Option<Partition>) -> u64 {
    let mut remaining = limits.to_vec();
    let mut false_refusals = 0;
    for arrival in arrivals {
        let reachable =
            partition.is_none_or(|partition| !partition.isolates(arrival.zone, arrival.at));
        if remaining[arrival.budget] < arrival.bound {
            continue;
        }
        if reachable {
            remaining[arrival.budget] -= arrival.used;
        } else {
            false_refusals += 1;
        }
    }
    false_refusals
}
