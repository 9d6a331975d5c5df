//! Turns finished calls, new settings and counters into record lines.

use super::writer::Writer;
use crate::{context::Context, view::ClusterView};
use azuretally_api::{
    admin::CallCounts,
    record::{ClassRecord, RecordEntry, SettingsRecord},
};
use azuretally_policy::{Timestamp, fleet::PublishedRevision, record::HashChain};
use azuretally_settings::PublishedSettings;
use std::{sync::Arc, time::Duration};

/// Interval between lines with counters.
const COUNTS_INTERVAL: Duration = Duration::from_secs(10);

/// Appends lines to the record of this incarnation.
#[derive(Debug)]
pub(super) struct Recorder<'a> {
    context: &'a Context,
    chain: HashChain,
    writer: Option<Writer>,
    /// Revision in the last line with settings, with the number 0 before the first.
    revision: PublishedRevision,
    /// Time of the last line with counters.
    counted_at: Timestamp,
}

impl<'a> Recorder<'a> {
    /// Starts the record with its first line.
    pub(super) fn start(context: &'a Context) -> Self {
        let mut recorder = Self {
            context,
            chain: HashChain::new(&context.local.host, &context.incarnation),
            writer: context.local.record_file.as_deref().and_then(Writer::start),
            revision: PublishedRevision::default(),
            counted_at: context.clock.now(),
        };
        let failure_domain = context.local.failure_domain.to_string();
        recorder.append(RecordEntry::Start { failure_domain });
        recorder
    }

    /// Records everything since the previous collection.
    pub(super) fn collect(&mut self) {
        // The calls are taken before the view is loaded, so that the view is at least as new as
        // theirs.
        let batch = self.context.records.take();
        self.append_settings(&self.context.view());
        for call in batch.calls {
            self.context.metrics.observe_call(&call);
            self.append(RecordEntry::Call(Box::new(call)));
        }
        if batch.lost > 0 {
            log::warn!("record: {} calls were lost and have no line", batch.lost);
            self.context.journal.add_lost_calls(batch.lost);
            self.append(RecordEntry::Lost { calls: batch.lost });
        }
        let now = self.context.clock.now();
        if now.since(self.counted_at) >= COUNTS_INTERVAL {
            self.counted_at = now;
            self.append(RecordEntry::Counts(self.totals()));
        }
    }

    /// Appends the last line and waits until the writer has written all lines.
    pub(super) fn finish(mut self) {
        self.collect();
        self.append(RecordEntry::End(self.totals()));
        if let Some(writer) = self.writer.take() {
            writer.finish();
        }
    }

    fn append_settings(&mut self, view: &ClusterView) {
        let Some(settings) = &view.settings else { return };
        if view.revision != self.revision {
            self.revision = view.revision;
            self.append(RecordEntry::Settings(settings_record(view.revision, settings)));
        }
    }

    fn append(&mut self, entry: RecordEntry) {
        let line = Arc::new(self.chain.append(entry));
        if let Some(writer) = &self.writer
            && !writer.write(Arc::clone(&line))
        {
            self.context.journal.add_unwritten_lines(1);
        }
        self.context.journal.add(line);
    }

    fn totals(&self) -> CallCounts {
        let mut totals = CallCounts::default();
        for counts in self.context.counts.snapshot().values() {
            totals.taken += counts.taken;
            totals.answered += counts.answered;
            totals.not_run += counts.not_run;
            totals.unknown += counts.unknown;
            totals.in_flight += counts.in_flight;
            totals.in_time += counts.in_time;
        }
        totals
    }
}

fn settings_record(revision: PublishedRevision, settings: &PublishedSettings) -> SettingsRecord {
    let classes = settings.active_preset().map(|p| p.classes.as_slice()).unwrap_or_default();
    SettingsRecord {
        revision: revision.number(),
        era: revision.later_era(),
        preset: settings.preset.to_string(),
        classes: classes
            .iter()
            .map(|c| ClassRecord {
                name: c.name.to_string(),
                timeout_ms: c.timeout_ms,
                floor_percent: c.floor_percent,
                still_ms: c.still_ms,
            })
            .collect(),
    }
}
