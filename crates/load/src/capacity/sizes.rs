//! The three sizes for which costs are worked out.

/// Size of an installation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Name in the tables.
    pub name: &'static str,
    /// Daemons.
    pub daemons: f64,
    /// Engines, and engines of the plain services.
    pub engines: f64,
    /// Client accounts.
    pub accounts: f64,
    /// Requests a second at the peak.
    pub requests_per_s: f64,
    /// Tokens generated a second at the peak.
    pub tokens_per_s: f64,
    /// Configuration changes a day.
    pub changes_per_day: f64,
    /// Data centres.
    pub data_centres: f64,
}

impl Size {
    /// Today's size of one user. The rate is what twenty engines of the model
    /// can do with Moosach-Isental's mix, rounded.
    pub const TODAY: Self = Self {
        name: "today",
        daemons: 5.0,
        engines: 23.0,
        accounts: 10.0,
        requests_per_s: 70.0,
        tokens_per_s: 9_700.0,
        changes_per_day: 20.0,
        data_centres: 3.0,
    };

    /// Ten times today's.
    pub const TENFOLD: Self = Self {
        name: "ten times",
        daemons: 50.0,
        engines: 230.0,
        accounts: 100.0,
        requests_per_s: 700.0,
        tokens_per_s: 97_000.0,
        changes_per_day: 200.0,
        data_centres: 3.0,
    };

    /// The target in about two years.
    pub const TARGET: Self = Self {
        name: "target",
        daemons: 2_600.0,
        engines: 7_600.0,
        accounts: 790.0,
        requests_per_s: 180_000.0,
        tokens_per_s: 36_000_000.0,
        changes_per_day: 7_400.0,
        data_centres: 10.0,
    };

    /// All three.
    pub const ALL: [Self; 3] = [Self::TODAY, Self::TENFOLD, Self::TARGET];

    /// Requests a second at an average daemon.
    pub fn requests_per_daemon(&self) -> f64 {
        self.requests_per_s / self.daemons
    }

    /// Tokens a second at an average daemon.
    pub fn tokens_per_daemon(&self) -> f64 {
        self.tokens_per_s / self.daemons
    }

    /// Load at a daemon when one data centre is lost, as a multiple.
    pub fn after_losing_a_data_centre(&self) -> f64 {
        self.data_centres / (self.data_centres - 1.0)
    }
}
