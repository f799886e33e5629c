// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_REPLICATION_REPLICA_LOG_H_
#define LIBRARIES_REPLICATION_REPLICA_LOG_H_

#include <deque>
#include <vector>

#include "libraries/replication/types.h"

namespace sumac::replication {

// The part of the log after the last snapshot, in memory.
class ReplicaLog {
 public:
  ReplicaLog(SnapshotMeta snapshot, std::vector<Entry> entries);

  // Where the snapshot before the first entry stands.
  const SnapshotMeta& snapshot() const { return this->snapshot_meta; }

  LogIndex last_index() const;
  Term last_term() const;

  // True if the entry at `index`, or just its term, is still known here.
  bool has_term(LogIndex index) const;

  // The term at `index`, which must be known.
  Term TermAt(LogIndex index) const;

  // The entry at `index`, which must lie after the snapshot.
  const Entry& At(LogIndex index) const;

  // Entries from `first` on, bounded by count and by bytes but at least one
  // when there is one.
  std::vector<Entry> Read(LogIndex first,
                          std::size_t max_entries,
                          std::size_t max_bytes) const;

  // Adds an entry right after the last.
  void Append(Entry entry);

  // Drops all entries from `first` on.
  void TruncateFrom(LogIndex first);

  // Drops the entries up to meta.index, now covered by a snapshot.
  void CompactTo(const SnapshotMeta& meta);

  // The members as of the last membership entry, else the snapshot's.
  const Membership& LatestMembership() const;

  // The position of the last membership entry, else the snapshot's position.
  LogIndex LatestMembershipIndex() const;

  // The members as they were at `index`.
  const Membership& MembershipAt(LogIndex index) const;

 private:
  SnapshotMeta snapshot_meta;
  std::deque<Entry> entries;
  // Positions of the membership entries held, ascending.
  std::vector<LogIndex> membership_indexes;
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_REPLICA_LOG_H_
