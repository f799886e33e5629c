// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_JOBS_JOB_TOMBSTONES_H_
#define LIBRARIES_JOBS_JOB_TOMBSTONES_H_

#include <cstddef>
#include <map>
#include <optional>

#include "absl/status/status.h"
#include "libraries/base/names.h"
#include "libraries/base/time.h"
#include "libraries/codec/describe.h"

namespace sumac::jobs {

// The queue that a caller's request names and the customer on whose behalf it
// was sent; the customer is empty if the queue took the request without a key.
struct RequestOrigin {
  QueueName queue;
  CustomerName customer;
};

// Ids of jobs whose cancelling was confirmed although no job with the id is
// recorded any more or yet. A submission that arrives after its cancelling
// finds its id here and is refused. Part of the replicated state. Pure.
class JobTombstones {
 public:
  // The maximum number of ids. They take half a megabyte in a snapshot.
  static constexpr std::size_t kMaxCount = 16'384;
  // The maximum length of an id, in bytes.
  static constexpr std::size_t kMaxIdLength = 128;

  // Returns kTooManyCancels if the job must not be recorded for this origin,
  // and kBadRequest if its id is too long. The ids of one customer, or of one
  // queue for callers without a key, may take up no more room than they leave
  // free, so that nobody's ids keep out those of others. An id that is recorded
  // already needs no more room.
  absl::Status CheckRoom(const JobId& job, const RequestOrigin& origin) const;

  // Records that a caller of this origin cancelled the job. There must be room.
  void Add(const JobId& job, const RequestOrigin& origin, WallTime at);

  // Returns when a caller of this origin last cancelled the job, or nothing if
  // that is not recorded.
  std::optional<WallTime> FindCancel(const JobId& job,
                                     const RequestOrigin& origin) const;

  // Returns true if a submission must not be accepted: whoever cancelled the id
  // could have cancelled the job, had it been accepted first.
  bool Covers(const JobId& job, const RequestOrigin& submission) const;

  // Removes the ids that no submission under way can have any more.
  void DropExpired(WallTime now);

  // Returns how long it takes at least until some id is removed and there may
  // be room again.
  Milliseconds TimeToRoom(WallTime now) const;

  // Updates what is derived from the record. Must be called after the record
  // was read from a snapshot.
  void Reindex();

  std::size_t size() const;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("by_queue", self.by_queue);
    visitor.Field("by_customer", self.by_customer);
  }

 private:
  using Ids = std::map<JobId, WallTime>;

  // Returns the ids that were cancelled by callers of this origin; null if
  // there are none.
  const Ids* FindIds(const RequestOrigin& origin) const;

  // The time of the last cancel by id: of callers without a key by queue, and
  // of customers.
  std::map<QueueName, Ids> by_queue;
  std::map<CustomerName, Ids> by_customer;
  // No id was cancelled earlier. Not part of the record; refusals are frequent
  // where room is short, so they must not search for it.
  std::optional<WallTime> oldest;
};

}  // namespace sumac::jobs

#endif  // LIBRARIES_JOBS_JOB_TOMBSTONES_H_
