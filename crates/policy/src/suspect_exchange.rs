//! The exchange of what entries know of crashes and of the parts involved.

use jj_utils::{clock::Timestamp, collections::FastSet, common_derives};

use crate::{
    crash_reports::{
        LostReport, PartId, PartPosition, RequestPart, ServedPart, SuspectNews, TrialReport,
        WHOLE_REQUEST, age_ms, time_of,
    },
    crash_suspects::{CrashSuspects, HISTORY},
};

common_derives! {copy:
    /// What applying news of another entry has changed.
    #[derive(Default)]
    pub struct NewsEffect {
        /// Whether the suspects may have changed here.
        pub is_new: bool,
        /// Whether this entry knows something that the sender doesn't and needs.
        pub needs_reply: bool,
        /// Whether it told of a crash or a lost request that was unknown here.
        pub has_new_losses: bool,
    }
}

impl CrashSuspects {
    /// Returns what other entries need to know; `None` if there is nothing.
    pub fn news(&self, now: Timestamp) -> Option<SuspectNews> {
        if self.crashes.is_empty() {
            return None;
        }
        let now = now + HISTORY;
        let crashes = self.crashes.iter().map(|it| it.report(now));
        let trials = self.trials.iter().map(|(part, began)| TrialReport {
            part: *part,
            age_ms: age_ms(now, *began),
        });
        Some(SuspectNews {
            crashes: crashes.collect(),
            served: self.served_to_tell(now),
            trials: trials.collect(),
        })
    }

    /// Returns when the parts of crashes were served, and for each of their positions enough parts
    /// served there to show that it is usual.
    fn served_to_tell(&self, now: Timestamp) -> Vec<ServedPart> {
        let lost = || self.crashes.lost_parts().copied();
        let positions: FastSet<PartPosition> = lost().map(|it| it.position).collect();
        let usual = positions
            .into_iter()
            .flat_map(|it| self.served_at_position(it));
        let parts = lost().chain(usual).collect();
        self.served_among(now, parts)
    }

    /// Returns when some parts were served, where they were.
    fn served_among(&self, now: Timestamp, mut parts: Vec<RequestPart>) -> Vec<ServedPart> {
        parts.sort_unstable();
        parts.dedup();
        let known = parts
            .iter()
            .filter_map(|it| Some((*it, self.served.last_served(it.part)?)));
        let told = known.map(|(RequestPart { part, position }, at)| ServedPart {
            part,
            position,
            age_ms: age_ms(now, at),
        });
        told.collect()
    }

    /// Returns parts served at a position, as many as make it a usual one.
    fn served_at_position(&self, position: PartPosition) -> impl Iterator<Item = RequestPart> {
        let there = self.served.at_position(position);
        there.take(self.config.min_served)
    }

    /// Returns which requests were lost in crashes, for other entries; `None` if there are none. It
    /// goes in a message of its own, with when these requests were served.
    pub fn lost_news(&self, now: Timestamp) -> Option<(SuspectNews, Vec<LostReport>)> {
        if self.lost.is_empty() {
            return None;
        }
        let now = now + HISTORY;
        let reports = self.lost.reports(now);
        let lost = reports.iter().flat_map(|it| &it.requests);
        let requests = lost.map(|it| whole_request(it.request)).collect();
        let news = SuspectNews {
            served: self.served_among(now, requests),
            ..SuspectNews::default()
        };
        Some((news, reports))
    }

    /// Applies the news of another entry.
    pub fn apply_news(&mut self, now: Timestamp, news: &SuspectNews) -> NewsEffect {
        self.apply_exchange(now, news, &[])
    }

    /// Applies the news of another entry, with the requests that it knows to be lost.
    pub fn apply_exchange(
        &mut self,
        now: Timestamp,
        news: &SuspectNews,
        lost: &[LostReport],
    ) -> NewsEffect {
        let now = now + HISTORY;
        let mut has_new_losses = false;
        for report in lost {
            let at = time_of(now, report.age_ms);
            has_new_losses |= self.add_losses(at, report.server, &report.requests);
        }
        for report in &news.crashes {
            let at = time_of(now, report.age_ms);
            self.add_crash(at, report.server, &report.requests);
        }
        let needs_reply = self.knows_more(now, news, lost);
        for it in &news.served {
            self.set_served(time_of(now, it.age_ms), it.request_part());
        }
        for TrialReport { part, age_ms } in &news.trials {
            let at = time_of(now, *age_ms);
            let trial = self.trials.entry(*part).or_insert(at);
            *trial = at.max(*trial);
        }
        NewsEffect {
            is_new: self.conclude(now),
            needs_reply,
            has_new_losses,
        }
    }

    /// Returns whether this entry knows of a served part that the sender of some news would judge
    /// otherwise if it knew.
    fn knows_more(&self, now: Timestamp, news: &SuspectNews, lost: &[LostReport]) -> bool {
        let told = |part: PartId| news.served.iter().find(|it| it.part == part);
        let knows_more_of = |crashed_at: Timestamp, part: PartId| {
            let clears = |served_at: Timestamp| served_at > crashed_at;
            let known = self.served.last_served(part);
            match (known, told(part)) {
                (Some(known), Some(told)) => clears(known) && !clears(time_of(now, told.age_ms)),
                (known, told) => known.is_some() && told.is_none(),
            }
        };
        let knows_more_at = |position: PartPosition| {
            let there = news.served.iter().filter(|it| it.position == position);
            there.count() < self.config.min_served
                && self
                    .served_at_position(position)
                    .any(|own| news.served.iter().all(|it| it.request_part() != own))
        };
        let of_lost = lost.iter().any(|report| {
            let at = time_of(now, report.age_ms);
            let mut requests = report.requests.iter();
            requests.any(|it| knows_more_of(at, it.request))
        });
        let of_crashes = || {
            news.crashes.iter().any(|report| {
                let at = time_of(now, report.age_ms);
                let mut lost = report.requests.iter().flatten();
                lost.any(|it| knows_more_of(at, it.part) || knows_more_at(it.position))
            })
        };
        of_lost || of_crashes()
    }
}

/// Returns the part that stands for a request as a whole.
fn whole_request(request: PartId) -> RequestPart {
    RequestPart {
        part: request,
        position: WHOLE_REQUEST,
    }
}
