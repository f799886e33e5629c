// SPDX-License-Identifier: Apache-2.0
#include "libraries/jobs/job_tombstones.h"

#include <algorithm>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/jobs/late_requests.h"

namespace sumac::jobs {
namespace {

// Returns the element with this key; null if there is none.
template <typename Map>
const typename Map::mapped_type* FindIn(const Map& map,
                                        const typename Map::key_type& key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

// Returns true if the job is among the ids of any of these owners.
template <typename OwnedIds>
bool IsInAny(const OwnedIds& owned, const JobId& job) {
  return std::any_of(owned.begin(), owned.end(), [&job](const auto& element) {
    return element.second.contains(job);
  });
}

template <typename OwnedIds>
void DropExpiredOf(OwnedIds& owned, WallTime now) {
  for (auto& [owner, ids] : owned) {
    std::erase_if(ids, [now](const auto& element) {
      return IsOutcomeExpired(element.second, now);
    });
  }
  std::erase_if(owned,
                [](const auto& element) { return element.second.empty(); });
}

template <typename OwnedIds>
std::size_t CountIds(const OwnedIds& owned) {
  std::size_t count = 0;
  for (const auto& [owner, ids] : owned) {
    count += ids.size();
  }
  return count;
}

template <typename OwnedIds>
void FindOldest(const OwnedIds& owned, std::optional<WallTime>& oldest) {
  for (const auto& [owner, ids] : owned) {
    for (const auto& [job, at] : ids) {
      oldest = std::min(oldest.value_or(at), at);
    }
  }
}

}  // namespace

const JobTombstones::Ids* JobTombstones::FindIds(
    const RequestOrigin& origin) const {
  return origin.customer.value().empty()
             ? FindIn(this->by_queue, origin.queue)
             : FindIn(this->by_customer, origin.customer);
}

absl::Status JobTombstones::CheckRoom(const JobId& job,
                                      const RequestOrigin& origin) const {
  if (job.value().size() > kMaxIdLength) {
    return MakeError(ResultCode::kBadRequest,
                     StrCat("no job has this id, and it is longer than ",
                            kMaxIdLength, " bytes"));
  }
  if (this->FindCancel(job, origin)) {
    return absl::OkStatus();
  }
  const Ids* ids = this->FindIds(origin);
  const std::size_t own = ids == nullptr ? 0 : ids->size();
  const std::size_t total = this->size();
  if (own >= kMaxCount - std::min(total, kMaxCount)) {
    return MakeError(
        ResultCode::kTooManyCancels,
        StrCat("not cancelled: no job with this id is known, and ", own,
               " such ids of ", total, " are kept for this ",
               origin.customer.value().empty() ? "queue" : "customer"));
  }
  return absl::OkStatus();
}

void JobTombstones::Add(const JobId& job,
                        const RequestOrigin& origin,
                        WallTime at) {
  Ids& ids = origin.customer.value().empty()
                 ? this->by_queue[origin.queue]
                 : this->by_customer[origin.customer];
  ids[job] = at;
  this->oldest = std::min(this->oldest.value_or(at), at);
}

std::optional<WallTime> JobTombstones::FindCancel(
    const JobId& job,
    const RequestOrigin& origin) const {
  const Ids* ids = this->FindIds(origin);
  const WallTime* at = ids == nullptr ? nullptr : FindIn(*ids, job);
  return at == nullptr ? std::nullopt : std::optional<WallTime>(*at);
}

bool JobTombstones::Covers(const JobId& job,
                           const RequestOrigin& submission) const {
  if (submission.customer.value().empty()) {
    // Every caller may cancel a job that belongs to no customer.
    return IsInAny(this->by_queue, job) || IsInAny(this->by_customer, job);
  }
  // A queue may have required no key when the cancel came.
  const Ids* of_queue = FindIn(this->by_queue, submission.queue);
  return this->FindCancel(job, submission).has_value() ||
         (of_queue != nullptr && of_queue->contains(job));
}

void JobTombstones::DropExpired(WallTime now) {
  DropExpiredOf(this->by_queue, now);
  DropExpiredOf(this->by_customer, now);
  this->Reindex();
}

void JobTombstones::Reindex() {
  this->oldest.reset();
  FindOldest(this->by_queue, this->oldest);
  FindOldest(this->by_customer, this->oldest);
}

Milliseconds JobTombstones::TimeToRoom(WallTime now) const {
  return std::max(Milliseconds(0),
                  this->oldest.value_or(now) + kOutcomeRetention - now);
}

std::size_t JobTombstones::size() const {
  return CountIds(this->by_queue) + CountIds(this->by_customer);
}

}  // namespace sumac::jobs
