//! Generates days on which policies are compared, with scenarios of both example templates: the
//! load of each slot and the available servers, minute by minute.

use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

/// Number of minutes in a day. A generated day is simulated in one step per minute.
pub const MINUTES: usize = 24 * 60;
/// Number of slots of the generated service.
pub const SLOTS: usize = 256;

/// Scenario of a generated day: the events that disturb load or servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// Daily load curve without further events.
    Steady,
    /// A tenth of the slots get ten times their load from 6:00 to 10:00.
    Thaw,
    /// Four slots, one after the other, get forty times their load for an hour each, from 8:00 to
    /// 12:00.
    SunnySunday,
    /// One server leaves at the start of every hour and returns half an hour later.
    JoinsAndLeaves,
    /// A third of the servers are lost at 12:00 and return at 14:00.
    ZoneLoss,
    /// All servers are replaced by new servers, one by one, from 8:00 to 12:00.
    Migration,
}

/// Scenarios on which every policy is measured.
pub const EVENTS: [Event; 6] = [
    Event::Steady,
    Event::Thaw,
    Event::SunnySunday,
    Event::JoinsAndLeaves,
    Event::ZoneLoss,
    Event::Migration,
];

/// Day of generated load and server availability, on which policies are compared.
#[derive(Clone, Debug)]
pub struct Day {
    event: Event,
    servers: usize,
    base: Vec<f64>,
    hot_order: Vec<usize>,
    seed: u64,
}

impl Day {
    /// Generates a day with `servers` servers. The same seed always gives the same day.
    pub fn new(event: Event, servers: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut order: Vec<usize> = (0..SLOTS).collect();
        order.shuffle(&mut rng);
        let base = (0..SLOTS).map(|_| rng.random_range(0.5..1.5)).collect();
        Self {
            event,
            servers,
            base,
            hot_order: order,
            seed,
        }
    }

    /// Returns the number of servers that exist over the whole day, including servers that replace
    /// others.
    pub fn servers_max(&self) -> usize {
        match self.event {
            Event::Migration => self.servers * 2,
            _ => self.servers,
        }
    }

    /// Returns the actual load of a slot in the given minute.
    pub fn load(&self, minute: usize, slot: usize) -> f64 {
        self.base[slot] * self.daily_factor(minute) * self.hot_slot_factor(minute, slot)
    }

    /// Returns the load that a policy sees in the given minute: the actual load of the minute
    /// before, with a random error of up to 20%.
    pub fn observed(&self, minute: usize, slot: usize) -> f64 {
        let mut rng = StdRng::seed_from_u64(self.seed ^ ((minute * SLOTS + slot) as u64) << 8);
        self.load(minute.saturating_sub(1), slot) * rng.random_range(0.8..1.2)
    }

    /// Returns the factor of the daily load curve, from 0.4 at midnight to 1.6 at noon.
    fn daily_factor(&self, minute: usize) -> f64 {
        let angle = minute as f64 / MINUTES as f64 * std::f64::consts::TAU;
        1.0 - 0.6 * angle.cos()
    }

    fn hot_slot_factor(&self, minute: usize, slot: usize) -> f64 {
        let hour = minute / 60;
        match self.event {
            Event::Thaw
                if (6..10).contains(&hour) && self.hot_order[..SLOTS / 10].contains(&slot) =>
            {
                10.0
            }
            Event::SunnySunday if (8..12).contains(&hour) && self.hot_order[hour - 8] == slot => {
                40.0
            }
            _ => 1.0,
        }
    }

    /// Returns true if the server is available in the given minute.
    pub fn is_up(&self, minute: usize, server: usize) -> bool {
        let hour = minute / 60;
        match self.event {
            Event::JoinsAndLeaves => !(minute % 60 < 30 && hour % self.servers == server),
            Event::ZoneLoss => !((12..14).contains(&hour) && server.is_multiple_of(3)),
            Event::Migration => {
                let done = minute.saturating_sub(8 * 60) * self.servers / (4 * 60);
                let replaced = done.min(self.servers);
                if server < self.servers {
                    server >= replaced
                } else {
                    server - self.servers < replaced
                }
            }
            _ => server < self.servers,
        }
    }
}
