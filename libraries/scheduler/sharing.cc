// SPDX-License-Identifier: Apache-2.0
#include "libraries/scheduler/sharing.h"

#include "libraries/base/text.h"

namespace sumac::scheduler {
namespace {

// The pace, in hundredths, of a filler that disturbs nobody.
constexpr std::uint32_t kFullPace = 100;

}  // namespace

// What the last report shows of fillers beside runs that serve users; nothing
// where they do not stand side by side.
std::optional<SharingReport> Sharing::Measure(
    const WorkerSession& session) const {
  constexpr std::int64_t kPermille = 1'000;
  if (session.serving_runs() == 0 || session.filler_runs() == 0) {
    return std::nullopt;
  }
  SharingReport report;
  for (const auto& [key, run] : session.runs()) {
    const jobs::StepSpec* step = this->state.FindStep(run.task);
    if (step == nullptr) {
      continue;
    }
    if (run.is_filler) {
      report.filler_image = step->image;
    }
    if (!run.is_serving) {
      continue;
    }
    const std::int64_t permille =
        run.load * kPermille / step->latency_target.count();
    if (permille >= report.worst_permille) {
      report.worst_permille = permille;
      report.serving_image = step->image;
    }
  }
  return report;
}

// Where a filler begins beside a run that serves, what is known of their images
// sets its pace.
void Sharing::SetFirstPace(WorkerSession& session, SteadyTime now) {
  const std::optional<SharingReport> report = this->Measure(session);
  if (!report || session.filler_pace.percent < kFullPace) {
    return;
  }
  session.filler_pace =
      PaceState{.percent = this->pace_control.FirstPercent(
                    report->serving_image, report->filler_image),
                .changed_at = now};
}

std::optional<std::string> Sharing::ApplyReport(WorkerSession& session,
                                                SteadyTime now) {
  const std::optional<SharingReport> report = this->Measure(session);
  if (!report) {
    const bool is_free =
        session.serving_runs() == 0 && session.filler_pace.percent < kFullPace;
    if (!is_free) {
      return std::nullopt;
    }
    session.filler_pace = PaceState{.changed_at = now};
    return "nothing serves there any more";
  }
  if (!this->pace_control.Update(session.filler_pace, *report, now)) {
    return std::nullopt;
  }
  return StrCat("at ", session.filler_pace.percent,
                " percent; the worst tail is at ", report->worst_permille,
                " thousandths of its target");
}

std::vector<PaceOrder> Sharing::NextOrders(Sessions& sessions,
                                           LeaderEpoch epoch) {
  std::vector<PaceOrder> orders;
  for (auto& [id, session] : sessions) {
    if (session.filler_runs() == 0 || !session.is_answering()) {
      continue;
    }
    for (auto& [key, run] : session.runs()) {
      if (!run.is_filler || run.phase != RunPhase::kRunning ||
          run.pace == session.filler_pace.percent) {
        continue;
      }
      run.pace = session.filler_pace.percent;
      orders.push_back(PaceOrder{.worker = id,
                                 .address = session.worker().address,
                                 .epoch = epoch,
                                 .task = run.task,
                                 .run = run.number,
                                 .percent = session.filler_pace.percent});
    }
  }
  return orders;
}

void Sharing::ApplyResult(WorkerSession& session,
                          const PaceOrder& order,
                          OrderResult result) {
  Run* run = session.FindRun(order.task, order.run);
  if (run != nullptr && result != OrderResult::kDone &&
      run->pace == order.percent) {
    // It may still have its old pace.
    run->pace.reset();
  }
}

}  // namespace sumac::scheduler
