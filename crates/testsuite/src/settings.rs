//! Published settings of the test deployments.

use std::fmt::Write;

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Name; the path is `/` followed by the name.
    pub name: String,
    /// Slots of each target.
    pub slots: u32,
    /// Smallest number of entries that serve it.
    pub entry_set: u32,
    /// Calls that may be queued at one entry.
    pub queue: u32,
}

/// Settings of a small deployment. Every service has `balance` (GET, idempotent), `sale` (POST,
/// not idempotent) and `reconcile` (POST, idempotent).
#[derive(Clone, Debug)]
pub struct PublishedSettings {
    /// Configured number of entries.
    pub entries: u32,
    /// Preset in force: `ordinary`, `peak` or `maintenance`.
    pub preset: String,
    /// Target time that all entries together may use for probes, in ms per second.
    pub probe_budget: f64,
    /// Services of the deployment.
    pub services: Vec<ServiceSettings>,
    /// Timeout of the classes `urgent` and `prompt`, in ms; twice that under `maintenance`.
    pub urgent_ms: u32,
}

impl PublishedSettings {
    /// Returns the settings as TOML.
    pub fn to_toml(&self) -> String {
        let mut text = format!(
            "deployment = \"test\"\nentries = {}\npreset = \"{}\"\n\n\
             [measuring]\ntarget_ms_per_s = {:.1}\nprobe_cost_ms = 6.0\n",
            self.entries, self.preset, self.probe_budget
        );
        for service in &self.services {
            self.write_service(&mut text, service);
        }
        for (preset, timeout_factor) in [("ordinary", 1), ("peak", 1), ("maintenance", 2)] {
            self.write_preset(&mut text, preset, timeout_factor);
        }
        text
    }

    fn write_service(&self, text: &mut String, service: &ServiceSettings) {
        let name = &service.name;
        let _ = write!(
            text,
            "\n[services.{name}]\npath = \"/{name}\"\nslots = {}\nconnections = 240\n\
             entry_set = {}\nqueue = {}\n",
            service.slots, service.entry_set, service.queue
        );
        let operations = [
            ("balance", "GET", true, 1.0),
            ("sale", "POST", false, 10.0),
            ("reconcile", "POST", true, 0.5),
        ];
        for (operation, method, idempotent, worth) in operations {
            let _ = write!(
                text,
                "\n[services.{name}.operations.{operation}]\nmethod = \"{method}\"\n\
                 path = \"/{operation}\"\nidempotent = {idempotent}\nworth = {worth:.1}\n"
            );
        }
    }

    fn write_preset(&self, text: &mut String, preset: &str, timeout_factor: u32) {
        let classes = [
            ("urgent", "sale", self.urgent_ms * timeout_factor, 0.0),
            ("prompt", "balance", self.urgent_ms * timeout_factor, 0.0),
            ("patient", "reconcile", 30_000, 5.0),
        ];
        for (class, operation, timeout, floor) in classes {
            let operations: Vec<_> =
                self.services.iter().map(|s| format!("\"{}.{operation}\"", s.name)).collect();
            let _ = write!(
                text,
                "\n[[presets.{preset}.classes]]\nname = \"{class}\"\noperations = [{}]\n\
                 timeout_ms = {timeout}\nfloor_percent = {floor:.1}\n",
                operations.join(", ")
            );
        }
    }
}
