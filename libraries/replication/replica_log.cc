// SPDX-License-Identifier: Apache-2.0
#include "libraries/replication/replica_log.h"

#include <utility>

#include "libraries/base/verify.h"

namespace sumac::replication {

ReplicaLog::ReplicaLog(SnapshotMeta snapshot,
                       std::vector<Entry> initial_entries)
    : snapshot_meta(std::move(snapshot)) {
  for (Entry& entry : initial_entries) {
    this->Append(std::move(entry));
  }
}

LogIndex ReplicaLog::last_index() const {
  return LogIndex(this->snapshot_meta.index.value() + this->entries.size());
}

Term ReplicaLog::last_term() const {
  return this->entries.empty() ? this->snapshot_meta.term
                               : this->entries.back().term;
}

bool ReplicaLog::has_term(LogIndex index) const {
  return index >= this->snapshot_meta.index && index <= this->last_index();
}

Term ReplicaLog::TermAt(LogIndex index) const {
  VERIFY(this->has_term(index));
  return index == this->snapshot_meta.index ? this->snapshot_meta.term
                                            : this->At(index).term;
}

const Entry& ReplicaLog::At(LogIndex index) const {
  VERIFY(index > this->snapshot_meta.index && index <= this->last_index());
  return this->entries[index.value() - this->snapshot_meta.index.value() - 1];
}

std::vector<Entry> ReplicaLog::Read(LogIndex first,
                                    std::size_t max_entries,
                                    std::size_t max_bytes) const {
  std::vector<Entry> read;
  std::size_t bytes = 0;
  for (LogIndex index = first; index <= this->last_index();
       index = index.Next()) {
    const Entry& entry = this->At(index);
    bytes += entry.payload.size();
    if (read.size() >= max_entries || (!read.empty() && bytes > max_bytes)) {
      break;
    }
    read.push_back(entry);
  }
  return read;
}

void ReplicaLog::Append(Entry entry) {
  VERIFY(entry.index == this->last_index().Next());
  VERIFY(entry.term >= this->last_term());
  if (entry.kind == EntryKind::kMembership) {
    this->membership_indexes.push_back(entry.index);
  }
  this->entries.push_back(std::move(entry));
}

void ReplicaLog::TruncateFrom(LogIndex first) {
  VERIFY(first > this->snapshot_meta.index);
  while (this->last_index() >= first) {
    this->entries.pop_back();
  }
  while (!this->membership_indexes.empty() &&
         this->membership_indexes.back() >= first) {
    this->membership_indexes.pop_back();
  }
}

void ReplicaLog::CompactTo(const SnapshotMeta& meta) {
  if (meta.index <= this->snapshot_meta.index) {
    return;
  }
  const bool is_same_history =
      meta.index <= this->last_index() && this->TermAt(meta.index) == meta.term;
  if (!is_same_history) {
    this->entries.clear();
  }
  while (!this->entries.empty() && this->entries.front().index <= meta.index) {
    this->entries.pop_front();
  }
  std::erase_if(this->membership_indexes, [&](LogIndex index) {
    return !is_same_history || index <= meta.index;
  });
  this->snapshot_meta = meta;
}

const Membership& ReplicaLog::LatestMembership() const {
  return this->membership_indexes.empty()
             ? this->snapshot_meta.membership
             : this->At(this->membership_indexes.back()).membership;
}

LogIndex ReplicaLog::LatestMembershipIndex() const {
  return this->membership_indexes.empty() ? this->snapshot_meta.index
                                          : this->membership_indexes.back();
}

LogIndex ReplicaLog::MemberSince(const NodeId& node) const {
  bool is_member = this->snapshot_meta.membership.is_member(node);
  LogIndex since = this->snapshot_meta.index;
  for (const LogIndex position : this->membership_indexes) {
    const bool was_member = is_member;
    is_member = this->At(position).membership.is_member(node);
    if (!was_member) {
      since = position;
    }
  }
  return is_member ? since : this->last_index().Next();
}

const Membership& ReplicaLog::MembershipAt(LogIndex index) const {
  const Membership* membership = &this->snapshot_meta.membership;
  for (const LogIndex position : this->membership_indexes) {
    if (position <= index) {
      membership = &this->At(position).membership;
    }
  }
  return *membership;
}

}  // namespace sumac::replication
