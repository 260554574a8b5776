//! Generated days of both users: loads by slot and which servers there are, minute by minute.

use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

/// Minutes of a day.
pub const MINUTES: usize = 24 * 60;
/// Slots of the generated service.
pub const SLOTS: usize = 256;

/// What happens on a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A quiet day.
    Steady,
    /// A tenth of the slots gets ten times its load for four hours.
    Thaw,
    /// Four slots get forty times their load, one after the other, in the morning.
    SunnySunday,
    /// A server leaves every hour, and one comes half an hour later.
    JoinsAndLeaves,
    /// A third of the servers is lost at noon and back at two.
    ZoneLoss,
    /// All servers are replaced one by one between eight and noon.
    Migration,
}

/// Every day that is run.
pub const EVENTS: [Event; 6] = [
    Event::Steady,
    Event::Thaw,
    Event::SunnySunday,
    Event::JoinsAndLeaves,
    Event::ZoneLoss,
    Event::Migration,
];

/// A generated day.
#[derive(Clone, Debug)]
pub struct Day {
    event: Event,
    servers: usize,
    base: Vec<f64>,
    hot_order: Vec<usize>,
    seed: u64,
}

impl Day {
    /// A day with `servers` servers.
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

    /// Servers that ever exist.
    pub fn servers_max(&self) -> usize {
        match self.event {
            Event::Migration => self.servers * 2,
            _ => self.servers,
        }
    }

    /// Load of a slot.
    pub fn load(&self, minute: usize, slot: usize) -> f64 {
        self.base[slot] * self.daily_factor(minute) * self.hot_slot_factor(minute, slot)
    }

    /// Load as the planner sees it: a minute old and up to 20% off.
    pub fn observed(&self, minute: usize, slot: usize) -> f64 {
        let mut rng = StdRng::seed_from_u64(self.seed ^ ((minute * SLOTS + slot) as u64) << 8);
        self.load(minute.saturating_sub(1), slot) * rng.random_range(0.8..1.2)
    }

    /// Quiet nights.
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

    /// True if a server is there.
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
