// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/silence_watch.h"

#include <algorithm>

namespace sumac::replication {

SilenceWatch::SilenceWatch(Milliseconds heartbeat_interval,
                           Milliseconds election_timeout)
    : max_step(2 * heartbeat_interval),
      max_gap(2 * election_timeout),
      min_own_silence(election_timeout) {}

void SilenceWatch::RecordReport(const NodeId& leader,
                                const std::vector<MemberSilence>& report,
                                SteadyTime now) {
  this->reporter = leader;
  this->silences.clear();
  for (const MemberSilence& member : report) {
    this->silences[member.node].total = member.silence;
  }
  this->counted_until = now;
}

void SilenceWatch::BeginLeading(const Membership& members,
                                const NodeId& self,
                                const std::set<NodeId>& answered,
                                SteadyTime now) {
  this->UpdateMembers(members, self);
  const Milliseconds gap =
      std::min(now - this->counted_until.value_or(now), this->max_gap);
  for (auto& [node, silence] : this->silences) {
    silence.own = Milliseconds(0);
    if (answered.contains(node)) {
      silence.total = Milliseconds(0);
    } else if (node == this->reporter || this->HasMissedHeartbeats(silence)) {
      silence.total += gap;
    }
  }
  this->reporter.reset();
  this->counted_until = now;
}

void SilenceWatch::UpdateMembers(const Membership& members,
                                 const NodeId& self) {
  std::erase_if(this->silences, [&](const auto& item) {
    return !members.is_member(item.first) || item.first == self;
  });
  for (const NodeId& node : members.AllMembers()) {
    if (node != self) {
      this->silences.try_emplace(node);
    }
  }
}

void SilenceWatch::Count(SteadyTime now) {
  const Milliseconds passed =
      std::min(now - this->counted_until.value_or(now), this->max_step);
  for (auto& [node, silence] : this->silences) {
    silence.total += passed;
    silence.own += passed;
  }
  this->counted_until = now;
}

void SilenceWatch::RecordAnswer(const NodeId& member) {
  const auto found = this->silences.find(member);
  if (found != this->silences.end()) {
    found->second = Silence{};
  }
}

Milliseconds SilenceWatch::SilenceOf(const NodeId& member) const {
  const auto found = this->silences.find(member);
  if (found == this->silences.end()) {
    return Milliseconds(0);
  }
  const Silence& silence = found->second;
  return silence.own >= this->min_own_silence ? silence.total : silence.own;
}

std::vector<MemberSilence> SilenceWatch::Report() const {
  std::vector<MemberSilence> report;
  for (const auto& [node, silence] : this->silences) {
    if (this->HasMissedHeartbeats(silence)) {
      report.push_back({node, silence.total});
    }
  }
  return report;
}

}  // namespace sumac::replication
