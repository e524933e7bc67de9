//! Setups that change in one thing after the other.

use rand_core::Rng;
use rand_pcg::Pcg32;
use serde_json::{Value, json};

use crate::cluster::{config, engine_config};

/// The lower one of two idle timeouts.
pub const LOWERED_IDLE_MS: u64 = 2_000;

/// A setup, as far as it changes.
#[derive(Debug, Clone)]
pub struct Setup {
    pub version: u64,
    /// Which of the further routes are in force.
    pub extras: [bool; 3],
    /// Whether the service of model engines and its routes are declared.
    pub has_models: bool,
    pub slots: u64,
    pub idle_ms: u64,
    pub body_bytes: usize,
    /// The service of the plain routes.
    pub service: &'static str,
}

impl Setup {
    pub const fn new(version: u64) -> Self {
        Self {
            version,
            extras: [false; 3],
            has_models: true,
            slots: 16,
            idle_ms: 15_000,
            body_bytes: 100_000,
            service: "plain",
        }
    }

    /// Returns the config.
    pub fn encode(&self) -> Value {
        let mut config = config(self.version);
        let base = config["routes"].as_array().expect("routes").clone();
        let mut routes = Vec::new();
        let mut add = |kind: usize, prefix: &str, service: &str, is_resumable: bool| {
            let mut route = base[kind].clone();
            route["name"] = json!(prefix);
            route["pathPrefix"] = json!(prefix);
            route["service"] = json!(service);
            route["resumable"] = json!(is_resumable);
            route["maxAttempts"] = json!(2);
            route["timeoutMs"] = json!(20_000);
            routes.push(route);
        };
        add(0, "/safe/", self.service, false);
        add(1, "/unsafe/", self.service, false);
        add(2, "/stream/", self.service, true);
        add(2, "/once/", self.service, false);
        for (number, is_there) in self.extras.iter().enumerate() {
            if *is_there {
                add(number, &format!("/extra{number}/"), "plain", number == 2);
            }
        }
        let mut engine = engine_config(1)["services"][0].clone();
        engine["name"] = json!("models");
        engine["engine"]["slots"] = json!(self.slots);
        let plain = |name: &str| json!({"name": name, "healthPath": "/health", "maxConns": 100});
        let mut services = vec![plain("plain"), plain("other")];
        if self.has_models {
            add(2, "/model/", "models", true);
            add(2, "/model-once/", "models", false);
            services.push(engine);
        }
        config["routes"] = json!(routes);
        config["services"] = json!(services);
        config["limits"]["idleTimeoutMs"] = json!(self.idle_ms);
        config["limits"]["maxBodyBytes"] = json!(self.body_bytes);
        config
    }

    /// Changes one thing.
    pub fn change(&mut self, random: &mut Pcg32) {
        self.version += 1 + u64::from(random.next_u32() % 3);
        match random.next_u32() % 8 {
            extra @ 0..3 => self.extras[extra as usize] ^= true,
            3 => self.has_models ^= true,
            4 | 5 => self.slots = 24 - self.slots,
            6 => self.idle_ms = 15_000 + LOWERED_IDLE_MS - self.idle_ms,
            _ => self.body_bytes = 130_000 - self.body_bytes,
        }
    }
}
