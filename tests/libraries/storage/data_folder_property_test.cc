// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/result_code.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/storage/data_folder.h"
#include "tests/libraries/storage/power_disk.h"

namespace sumac::storage {
namespace {

using replication::Entry;
using replication::HardState;
using replication::NodeId;
using replication::Output;
using replication::Snapshot;
using Folder = DataFolder<PowerDisk>;

constexpr const char* kFolder = "data";
constexpr std::array kSegmentSizes{std::uint64_t{64}, std::uint64_t{200},
                                   std::uint64_t{500}, std::uint64_t{4'096}};
constexpr std::uint64_t kMaxPayloadBytes = 40;
constexpr std::uint64_t kMaxNewEntries = 4;
constexpr std::uint64_t kMaxOperationsToStop = 24;
// The attempts to start that may meet further faults; the next one meets none.
constexpr int kFaultyStarts = 4;

// The state of a replica as a plain value.
struct State {
  HardState hard_state;
  LogIndex snapshot_index;
  Term snapshot_term;
  std::string snapshot;
  std::vector<Entry> entries;

  bool operator==(const State&) const = default;

  LogIndex last_index() const {
    return this->entries.empty() ? this->snapshot_index
                                 : this->entries.back().index;
  }
  Term last_term() const {
    return this->entries.empty() ? this->snapshot_term
                                 : this->entries.back().term;
  }
  Term TermAt(LogIndex index) const {
    return index == this->snapshot_index
               ? this->snapshot_term
               : this->entries[index.value() - this->snapshot_index.value() - 1]
                     .term;
  }
  void Compact(const Snapshot& saved) {
    if (saved.meta.index <= this->snapshot_index) {
      return;
    }
    this->snapshot_index = saved.meta.index;
    this->snapshot_term = saved.meta.term;
    this->snapshot = saved.state;
    std::erase_if(this->entries, [&](const Entry& entry) {
      return entry.index <= saved.meta.index;
    });
  }
  void Append(const Entry& entry) {
    std::erase_if(this->entries,
                  [&](const Entry& old) { return old.index >= entry.index; });
    this->entries.push_back(entry);
  }
};

std::string Describe(const State& state) {
  std::string text = StrCat(
      "term ", state.hard_state.term.value(), " vote ",
      state.hard_state.voted_for ? state.hard_state.voted_for->value() : "none",
      " snapshot ", state.snapshot_index.value(), "/",
      state.snapshot_term.value(), " entries");
  for (const Entry& entry : state.entries) {
    text += StrCat(" ", entry.index.value(), "/", entry.term.value());
  }
  return text;
}

// Returns the states between `base` and the one after `output`, in the order in
// which a write makes them durable.
std::vector<State> StatesDuring(const State& base, const Output& output) {
  std::vector<State> states{base};
  State next = base;
  if (output.snapshot_to_install) {
    const replication::SnapshotMeta& meta = output.snapshot_to_install->meta;
    const bool is_other_history = meta.index > next.snapshot_index &&
                                  meta.index <= next.last_index() &&
                                  next.TermAt(meta.index) != meta.term;
    if (output.does_snapshot_replace_log || is_other_history) {
      next.entries.clear();
    }
    next.Compact(*output.snapshot_to_install);
    states.push_back(next);
  }
  if (output.hard_state) {
    next.hard_state = *output.hard_state;
    states.push_back(next);
  }
  for (const Entry& entry : output.entries_to_write) {
    std::erase_if(next.entries,
                  [&](const Entry& old) { return old.index >= entry.index; });
    states.push_back(next);
    next.Append(entry);
    states.push_back(next);
  }
  return states;
}

enum class StepKind {
  kAppend,
  kVote,
  kReplaceTail,
  kInstallSnapshot,
  kRepeatWrite,
  kSaveSnapshot,
  kKill,
  kLosePower,
  kStopSoon,
  kFillDisk,
  kEmptyDisk,
};

struct Step {
  StepKind kind = StepKind::kAppend;
  std::uint32_t choices = 0;
};

std::ostream& operator<<(std::ostream& stream, const Step& step) {
  constexpr std::array kNames{
      "append", "vote",       "replace tail", "install",   "repeat",    "save",
      "kill",   "lose power", "stop soon",    "fill disk", "empty disk"};
  return stream << kNames[static_cast<std::size_t>(step.kind)] << "/"
                << step.choices;
}

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind, rc::gen::weightedElement<StepKind>(
                                    {{24, StepKind::kAppend},
                                     {8, StepKind::kVote},
                                     {10, StepKind::kReplaceTail},
                                     {8, StepKind::kInstallSnapshot},
                                     {6, StepKind::kRepeatWrite},
                                     {14, StepKind::kSaveSnapshot},
                                     {5, StepKind::kKill},
                                     {5, StepKind::kLosePower},
                                     {9, StepKind::kStopSoon},
                                     {6, StepKind::kFillDisk},
                                     {5, StepKind::kEmptyDisk}})),
      rc::gen::set(&Step::choices,
                   rc::gen::inRange<std::uint32_t>(0, 1'000'000)));
}

// A replica's host over a disk that fails, and what that host may rely on.
class History {
 public:
  History(std::uint64_t seed, std::uint64_t segment_bytes)
      : disk(seed), random(seed), settings{.segment_bytes = segment_bytes} {
    this->Start();
  }

  void Apply(const Step& step) {
    this->random.seed(step.choices);
    switch (step.kind) {
      case StepKind::kAppend:
        this->WriteNew([this] { return this->MakeAppend(); });
        break;
      case StepKind::kVote:
        this->WriteNew([this] { return this->MakeVote(); });
        break;
      case StepKind::kReplaceTail:
        this->WriteNew([this] { return this->MakeReplacedTail(); });
        break;
      case StepKind::kInstallSnapshot:
        this->WriteNew([this] { return this->MakeInstall(); });
        break;
      case StepKind::kRepeatWrite:
        this->RepeatWrite();
        break;
      case StepKind::kSaveSnapshot:
        this->SaveSnapshot();
        break;
      case StepKind::kKill:
        this->Start();
        break;
      case StepKind::kLosePower:
        this->disk.LosePower();
        this->Start();
        break;
      case StepKind::kStopSoon:
        this->disk.StopAfter(1 + this->DrawBelow(kMaxOperationsToStop));
        break;
      case StepKind::kFillDisk:
        this->disk.refused_percent =
            static_cast<std::uint32_t>(10 + this->DrawBelow(91));
        break;
      case StepKind::kEmptyDisk:
        this->disk.refused_percent = 0;
        break;
    }
  }

  // Checks what a last loss of power leaves.
  void Finish() {
    this->disk.LosePower();
    this->Start();
  }

 private:
  std::uint64_t DrawBelow(std::uint64_t limit) {
    return this->random() % limit;
  }

  std::string DrawPayload() {
    return std::string(this->DrawBelow(kMaxPayloadBytes), 'p') +
           std::to_string(this->next_payload++);
  }

  void AddEntries(Output& output, LogIndex first, Term term) {
    const std::uint64_t count = 1 + this->DrawBelow(kMaxNewEntries);
    LogIndex index = first;
    for (std::uint64_t done = 0; done < count; ++done) {
      output.entries_to_write.push_back(
          Entry{.term = term, .index = index, .payload = this->DrawPayload()});
      index = index.Next();
    }
  }

  HardState MakeNextHardState() {
    HardState state{.term = this->current.hard_state.term.Next()};
    if (this->DrawBelow(2) == 0) {
      state.voted_for = NodeId(StrCat("c", this->DrawBelow(3), ".1"));
    }
    return state;
  }

  // Returns the term in which new entries or snapshots are, with the hard state
  // in the same output if `is_new`.
  Term UseTerm(Output& output, bool is_new) {
    if (is_new || this->current.hard_state.term == Term(0)) {
      output.hard_state = this->MakeNextHardState();
      return output.hard_state->term;
    }
    return this->current.hard_state.term;
  }

  Output MakeAppend() {
    Output output;
    const Term term = this->UseTerm(output, this->DrawBelow(8) == 0);
    this->AddEntries(output, this->current.last_index().Next(), term);
    return output;
  }

  Output MakeVote() {
    Output output;
    output.hard_state = this->MakeNextHardState();
    return output;
  }

  // Entries of a newer term replace some that were never committed.
  Output MakeReplacedTail() {
    Output output;
    const std::uint64_t open =
        this->current.last_index().value() - this->committed.value();
    const Term term = this->UseTerm(
        output, this->current.last_term() == this->current.hard_state.term);
    const LogIndex first(this->committed.value() + 1 +
                         this->DrawBelow(open + 1));
    this->AddEntries(output, first, term);
    return output;
  }

  Output MakeInstall() {
    Output output;
    const LogIndex index(this->committed.value() + 1 + this->DrawBelow(6));
    const bool is_within = index <= this->current.last_index();
    const bool is_same_history = is_within && this->DrawBelow(2) == 0;
    Term term = is_same_history ? this->current.TermAt(index) : Term(0);
    if (!is_same_history) {
      const bool needs_new_term =
          this->current.last_term() == this->current.hard_state.term &&
          (is_within || this->DrawBelow(2) == 0);
      term = this->UseTerm(output, needs_new_term);
    }
    output.snapshot_to_install = Snapshot{{index, term, {{NodeId("c1.1")}, {}}},
                                          "installed" + this->DrawPayload()};
    // Without the mark, the replica had replaced its entries up to the snapshot
    // in memory, and none of that was written yet.
    const bool was_replaced_in_memory =
        is_within && !is_same_history && this->DrawBelow(3) == 0;
    output.does_snapshot_replace_log =
        !is_same_history && !was_replaced_in_memory;
    if (!is_same_history && this->DrawBelow(2) == 0) {
      this->AddEntries(output, index.Next(), term);
    }
    return output;
  }

  template <typename Maker>
  void WriteNew(const Maker& make) {
    if (!this->waiting) {
      this->waiting = make();
      if (this->waiting->snapshot_to_install) {
        this->committed = this->waiting->snapshot_to_install->meta.index;
      }
    }
    this->RepeatWrite();
  }

  void RepeatWrite() {
    if (!this->waiting) {
      return;
    }
    const absl::Status status = this->folder->Write(*this->waiting);
    if (status.ok()) {
      for (State& base : this->bases) {
        base = StatesDuring(base, *this->waiting).back();
      }
      this->current = StatesDuring(this->current, *this->waiting).back();
      this->waiting.reset();
      return;
    }
    this->HandleFailure(status);
  }

  // Stores a snapshot of committed entries, also while a refused write waits.
  void SaveSnapshot() {
    LogIndex last = this->current.last_index();
    if (this->waiting && this->waiting->snapshot_to_install) {
      return;
    }
    if (this->waiting && !this->waiting->entries_to_write.empty()) {
      last = std::min(
          last,
          LogIndex(this->waiting->entries_to_write.front().index.value() - 1));
    }
    const LogIndex first =
        std::max(this->committed, this->current.snapshot_index.Next());
    if (first > last) {
      return;
    }
    const LogIndex index(first.value() +
                         this->DrawBelow(last.value() - first.value() + 1));
    this->committed = index;
    const Snapshot snapshot{
        {index, this->current.TermAt(index), {{NodeId("c1.1")}, {}}},
        "saved" + this->DrawPayload()};
    std::vector<State> compacted = this->bases;
    for (State& base : compacted) {
      base.Compact(snapshot);
    }
    this->current.Compact(snapshot);
    const absl::Status status = this->folder->SaveSnapshot(snapshot);
    if (status.ok()) {
      this->bases = std::move(compacted);
      return;
    }
    this->bases.insert(this->bases.end(), compacted.begin(), compacted.end());
    this->HandleFailure(status);
  }

  // Starts the process again if it has ended; other failures are those of a
  // full disk.
  void HandleFailure(const absl::Status& status) {
    if (this->disk.is_stopped()) {
      if (this->DrawBelow(2) == 0) {
        this->disk.LosePower();
      }
      this->Start();
      return;
    }
    RC_ASSERT(this->IsRefusal(status));
  }

  bool IsRefusal(const absl::Status& status) const {
    return this->disk.refused_percent > 0 &&
           (CodeOf(status) == ResultCode::kDiskFull ||
            CodeOf(status) == ResultCode::kStorageShort);
  }

  // Starts the process, which may end or lose power again and again meanwhile.
  void Start() {
    this->folder.reset();
    for (int attempt = 0; attempt < kFaultyStarts; ++attempt) {
      this->disk.Resume();
      if (this->DrawBelow(2) == 0) {
        this->disk.StopAfter(1 + this->DrawBelow(kMaxOperationsToStop));
      }
      const absl::Status status = this->TryStart();
      if (status.ok()) {
        return;
      }
      if (!this->disk.is_stopped() && !this->IsRefusal(status)) {
        RC_FAIL(std::string(status.message()));
      }
      if (this->DrawBelow(2) == 0) {
        this->disk.LosePower();
      }
    }
    this->disk.Resume();
    this->disk.refused_percent = 0;
    const absl::Status status = this->TryStart();
    if (!status.ok()) {
      RC_FAIL(std::string(status.message()));
    }
  }

  absl::Status TryStart() {
    const std::uint32_t refused = std::exchange(this->disk.refused_percent, 0);
    const bool has_identity = Folder::HasIdentity(this->disk, kFolder);
    this->disk.refused_percent = refused;
    if (!has_identity && !this->disk.is_stopped()) {
      RC_ASSERT(!this->is_formatted);
      TRY(Folder::Format(
          this->disk, kFolder,
          Identity{.node = NodeId("c1.1"), .first_voters = {NodeId("c1.1")}}));
      this->is_formatted = true;
    }
    Folder opened = TRY(Folder::Open(this->disk, kFolder, this->settings));
    this->is_formatted = true;
    const replication::StartState start = opened.TakeStartState();
    RC_ASSERT(start.self == NodeId("c1.1"));
    this->folder = std::move(opened);
    this->CheckState(State{start.hard_state, start.snapshot.meta.index,
                           start.snapshot.meta.term, start.snapshot.state,
                           start.entries});
    return absl::OkStatus();
  }

  void CheckState(const State& found) {
    std::string allowed;
    bool is_allowed = false;
    for (const State& base : this->bases) {
      for (const State& state :
           StatesDuring(base, this->waiting.value_or(Output()))) {
        is_allowed = is_allowed || state == found;
        allowed += "\n  " + Describe(state);
      }
    }
    if (!is_allowed) {
      RC_FAIL("read " + Describe(found) + "\nallowed:" + allowed);
    }
    this->bases = {found};
    this->current = found;
    this->waiting.reset();
    // A snapshot whose installation was not acknowledged may be gone, and with
    // it the knowledge of what is committed.
    this->committed = std::min(this->committed, found.last_index());
  }

  PowerDisk disk;
  std::mt19937_64 random;
  StorageSettings settings;
  std::optional<Folder> folder;
  bool is_formatted = false;
  // The states in which the acknowledged writes may be on the disk: with and
  // without snapshots whose storing failed.
  std::vector<State> bases{State()};
  // The state as the host knows it.
  State current;
  // The write that the disk refused and that the host repeats.
  std::optional<Output> waiting;
  LogIndex committed;
  std::uint64_t next_payload = 0;
};

// Guards against losing what was acknowledged, against reading what never was
// written, and against a folder that does not open any more.
RC_GTEST_PROP(DataFolderProperty,
              WhatIsAcknowledgedIsReadAfterAnySeriesOfFaults,
              ()) {
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  const auto segment_bytes = *rc::gen::elementOf(kSegmentSizes);
  const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep());
  History history(seed, segment_bytes);
  for (const Step& step : steps) {
    history.Apply(step);
  }
  history.Finish();
}

}  // namespace
}  // namespace sumac::storage
