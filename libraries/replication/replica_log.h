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

  // The position of the snapshot that precedes the first entry.
  const SnapshotMeta& snapshot() const { return this->snapshot_meta; }

  LogIndex last_index() const;
  Term last_term() const;

  // Returns true if the term at `index` is still known, from an entry or from
  // the snapshot.
  bool has_term(LogIndex index) const;

  // Returns the term at `index`, which must be known.
  Term TermAt(LogIndex index) const;

  // Returns the entry at `index`, which must lie after the snapshot.
  const Entry& At(LogIndex index) const;

  // Returns entries from `first` on, limited by number and by bytes, but at
  // least one if there is any.
  std::vector<Entry> Read(LogIndex first,
                          std::size_t max_entries,
                          std::size_t max_bytes) const;

  // Appends an entry; its index and term must follow the last entry's.
  void Append(Entry entry);

  // Drops all entries from `first` on.
  void TruncateFrom(LogIndex first);

  // Drops the entries up to meta.index, now covered by a snapshot.
  void CompactTo(const SnapshotMeta& meta);

  // Returns the members of the last membership entry, or the snapshot's if
  // there is none.
  const Membership& LatestMembership() const;

  // Returns the position of the last membership entry, or the snapshot's if
  // there is none.
  LogIndex LatestMembershipIndex() const;

  // Returns the position of the first entry since which the node has been a
  // member without interruption, as far as the log goes back.
  LogIndex MemberSince(const NodeId& node) const;

  // Returns the members that were in effect at `index`.
  const Membership& MembershipAt(LogIndex index) const;

 private:
  SnapshotMeta snapshot_meta;
  std::deque<Entry> entries;
  // Positions of the membership entries held, ascending.
  std::vector<LogIndex> membership_indexes;
};

}  // namespace sumac::replication

#endif  // LIBRARIES_REPLICATION_REPLICA_LOG_H_
