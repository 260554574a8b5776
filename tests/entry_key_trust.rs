//! Simulates the acceptance of API keys in virtual time, with random sequences of events: operators
//! add and revoke keys while hosts are partitioned, suspended, restarted, or receive configurations
//! from each other.

use ashroad::entry::{
    decide::api_key_status::{ApiKeyLimits, ApiKeyStatus, check_api_key},
    updates::confirmation::ConfigurationConfirmation,
};
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::StdRng};

const REVOCATION_MS: u64 = 2_000;
const CONFIGURATION_MS: u64 = 3_000;
const LIMITS: ApiKeyLimits = ApiKeyLimits {
    revocation_ms: Some(REVOCATION_MS),
    configuration_ms: CONFIGURATION_MS,
};
const SIMULATION_MS: u64 = 30_000;
const STEP_MS: u64 = 50;
/// Interval at which a host queries the leader, or the leader queries the store.
const QUERY_EVERY_MS: u64 = REVOCATION_MS / 8;
/// Longest delay of a message, in the network or in the inbox of a suspended host.
const DELAY_MAX_MS: u64 = 4_000;
const HOSTS: usize = 4;
/// Index of the leader, which queries the store; the other hosts query the leader.
const LEADER: usize = 0;

/// API key with the times at which operators add and revoke it.
#[derive(Clone, Copy, Debug)]
struct Key {
    added_ms: u64,
    revoked_ms: u64,
}

/// Times at which operators change the configuration; every second version contains an API key.
#[derive(Debug)]
struct Operators {
    keys: Vec<Key>,
}

impl Operators {
    fn draw(rng: &mut StdRng) -> Self {
        let mut keys = Vec::new();
        let mut at_ms = 1_000;
        while at_ms < SIMULATION_MS {
            let added_ms = at_ms + rng.random_range(0..4_000);
            let revoked_ms = added_ms + rng.random_range(100..6_000);
            keys.push(Key {
                added_ms,
                revoked_ms,
            });
            at_ms = revoked_ms + rng.random_range(100..4_000);
        }
        Self { keys }
    }

    /// Returns the version in force at a time; odd versions contain a key.
    fn version(&self, at_ms: u64) -> u64 {
        let changes = self
            .keys
            .iter()
            .flat_map(|key| [key.added_ms, key.revoked_ms]);
        changes.filter(|change_ms| *change_ms <= at_ms).count() as u64
    }

    /// Returns the time at which a version was written, in milliseconds; 0 for the first version.
    fn written_ms(&self, version: u64) -> u64 {
        let changes = self
            .keys
            .iter()
            .flat_map(|key| [key.added_ms, key.revoked_ms]);
        let nth = version
            .checked_sub(1)
            .and_then(|index| changes.clone().nth(index as usize));
        nth.unwrap_or(0)
    }
}

/// Message in transit to a host.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// Response of the store to a query.
    Store { sent_ms: u64, version: u64 },
    /// Response of the leader to a query.
    Leader {
        nonce: u64,
        age_ms: u64,
        version: u64,
    },
    /// Configuration sent by another host. The message does not prove how recent the configuration
    /// is.
    Relayed { version: u64 },
}

#[derive(Debug, Default)]
struct Host {
    confirmation: ConfigurationConfirmation,
    version: u64,
    partitioned_until_ms: u64,
    suspended_until_ms: u64,
    inbox: Vec<(u64, Delivery)>,
}

impl Host {
    fn process_inbox(&mut self, now_ms: u64) {
        let (due, later) = self
            .inbox
            .drain(..)
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.inbox = later;
        let due: Vec<(u64, Delivery)> = due;
        for (_, updates) in due {
            match updates {
                Delivery::Store { sent_ms, version } => {
                    self.version = self.version.max(version);
                    self.confirmation.note(sent_ms);
                }
                Delivery::Leader {
                    nonce,
                    age_ms,
                    version,
                } if self.version >= version => self.confirmation.note_response(nonce, age_ms),
                Delivery::Leader { .. } => {}
                Delivery::Relayed { version } => self.version = self.version.max(version),
            }
        }
    }
}

struct Simulation {
    operators: Operators,
    hosts: Vec<Host>,
    rng: StdRng,
    accepted: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            operators: Operators::draw(&mut rng),
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            rng,
            accepted: 0,
        }
    }

    fn delay_ms(&mut self) -> u64 {
        if self.rng.random_bool(0.1) {
            self.rng.random_range(0..DELAY_MAX_MS)
        } else {
            self.rng.random_range(1..30)
        }
    }

    fn inject_fault(&mut self, now_ms: u64) {
        let index = self.rng.random_range(0..HOSTS);
        let until_ms = now_ms + self.rng.random_range(0..6_000);
        let relayed = self.hosts[self.rng.random_range(0..HOSTS)].version;
        let delay_ms = self.delay_ms();
        let kind = self.rng.random_range(0..160);
        let host = &mut self.hosts[index];
        match kind {
            0 => host.partitioned_until_ms = until_ms,
            1 => host.suspended_until_ms = until_ms,
            2 => *host = Host::default(),
            3..24 => host
                .inbox
                .push((now_ms + delay_ms, Delivery::Relayed { version: relayed })),
            _ => {}
        }
    }

    /// Sends a query of a host and schedules the response.
    fn start_query(&mut self, index: usize, now_ms: u64) {
        if now_ms < self.hosts[index].partitioned_until_ms {
            return;
        }
        let [to_ms, back_ms] = [self.delay_ms(), self.delay_ms()];
        let answered_ms = now_ms + to_ms;
        let updates = if index == LEADER {
            Delivery::Store {
                sent_ms: now_ms,
                version: self.operators.version(answered_ms),
            }
        } else {
            let nonce = self.rng.random();
            self.hosts[index].confirmation.start_query(nonce, now_ms);
            let leader = &self.hosts[LEADER];
            // The response has the state of the leader at the time of the query, and may be
            // delayed.
            let Some(age_ms) = leader.confirmation.age_ms(now_ms) else {
                return;
            };
            Delivery::Leader {
                nonce,
                age_ms,
                version: leader.version,
            }
        };
        self.hosts[index]
            .inbox
            .push((answered_ms + back_ms, updates));
    }

    fn check(&mut self, index: usize, now_ms: u64) -> Result<(), String> {
        let host = &self.hosts[index];
        let is_known = host.version % 2 == 1;
        let verdict = check_api_key(is_known, host.confirmation.age_ms(now_ms), LIMITS);
        let latest = self.operators.version(now_ms);
        // Time at which the version on the host was replaced by the next one.
        let outdated_ms = self.operators.written_ms(host.version + 1);
        let is_outdated = latest > host.version;
        match verdict {
            ApiKeyStatus::Accepted => {
                self.accepted += 1;
                if is_outdated && now_ms > outdated_ms + REVOCATION_MS {
                    return Err(format!(
                        "a key revoked at {outdated_ms} is accepted at {now_ms}"
                    ));
                }
            }
            ApiKeyStatus::Unknown => {
                if is_outdated && now_ms > outdated_ms + CONFIGURATION_MS {
                    return Err(format!(
                        "a key added at {outdated_ms} is unknown at {now_ms}"
                    ));
                }
            }
            ApiKeyStatus::Unverified => {}
        }
        Ok(())
    }

    fn run(&mut self) -> Result<(), String> {
        for now_ms in (0..SIMULATION_MS).step_by(STEP_MS as usize) {
            self.inject_fault(now_ms);
            for index in 0..HOSTS {
                if now_ms < self.hosts[index].suspended_until_ms {
                    continue;
                }
                // A host that resumes after a suspension may handle a request before it reads its
                // inbox.
                self.check(index, now_ms)?;
                self.hosts[index].process_inbox(now_ms);
                self.check(index, now_ms)?;
                if now_ms.is_multiple_of(QUERY_EVERY_MS) {
                    self.start_query(index, now_ms);
                }
            }
        }
        Ok(())
    }
}

quickcheck! {
    fn no_order_of_events_makes_a_host_accept_a_revoked_key_or_reject_a_valid_one(seed: u64) -> Result<(), String> {
        Simulation::new(seed).run()
    }
}

#[test]
fn keys_are_accepted_most_of_the_time() {
    const SIMULATIONS: u64 = 20;
    let accepted: u64 = (0..SIMULATIONS)
        .map(|seed| {
            let mut simulation = Simulation::new(seed);
            simulation
                .run()
                .expect("no revoked key is accepted and no valid key is rejected");
            simulation.accepted
        })
        .sum();
    // Each of four hosts checks twice in each step; a key exists for about half of the time.
    let checks = 2 * HOSTS as u64 * SIMULATIONS * SIMULATION_MS / STEP_MS;
    assert!(accepted > checks / 8, "{accepted} of {checks}");
}
