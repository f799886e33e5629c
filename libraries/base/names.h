// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_NAMES_H_
#define LIBRARIES_BASE_NAMES_H_

#include <cstdint>
#include <string>

#include "libraries/base/strong_type.h"

namespace sumac {

// Names that operators, callers and targets use. Docs: docs/GLOSSARY.md.
using ProcessName = StrongType<std::string, struct ProcessNameTag>;
using InstanceName = StrongType<std::string, struct InstanceNameTag>;
using PoolName = StrongType<std::string, struct PoolNameTag>;
using ServiceName = StrongType<std::string, struct ServiceNameTag>;
using DataCentre = StrongType<std::string, struct DataCentreTag>;
using Rack = StrongType<std::string, struct RackTag>;
using QueueName = StrongType<std::string, struct QueueNameTag>;
// The platform's name for a worker's process. A restarted process may keep it.
using WorkerName = StrongType<std::string, struct WorkerNameTag>;
// One incarnation of a worker's process on an instance; never reused.
using WorkerId = StrongType<std::string, struct WorkerIdTag>;
using WaveId = StrongType<std::string, struct WaveIdTag>;
using JobId = StrongType<std::string, struct JobIdTag>;
using OperationId = StrongType<std::string, struct OperationIdTag>;
using DecisionId = StrongType<std::string, struct DecisionIdTag>;
using IdempotencyKey = StrongType<std::string, struct IdempotencyKeyTag>;
using OperatorRequestId = StrongType<std::string, struct OperatorRequestIdTag>;
using CallerName = StrongType<std::string, struct CallerNameTag>;
// Who submits jobs to queues, as the operators' declaration names them.
using CustomerName = StrongType<std::string, struct CustomerNameTag>;
// A digest of an API key. Keys are secrets: past the adapter that reads them
// only their digests are handled.
using KeyDigest = StrongType<std::string, struct KeyDigestTag>;
using TeamName = StrongType<std::string, struct TeamNameTag>;

// The number of a declaration; the first accepted one is 1.
using Revision = StrongType<std::uint64_t, struct RevisionTag>;
// Counts the starts of one task; it keeps growing over changes of leader.
using RunNumber = StrongType<std::uint64_t, struct RunNumberTag>;
// Counts the leaderships; the fencing token of all orders of one leadership.
using LeaderEpoch = StrongType<std::uint64_t, struct LeaderEpochTag>;
// Grows with every placement of a job; a worker refuses a lower token.
using FencingToken = StrongType<std::uint64_t, struct FencingTokenTag>;
// Grows with every start of a target; reports of an older incarnation are
// ignored.
using Incarnation = StrongType<std::uint64_t, struct IncarnationTag>;

// Replication: a leader's term and a position in the log (the first is 1).
using Term = StrongType<std::uint64_t, struct TermTag>;
using LogIndex = StrongType<std::uint64_t, struct LogIndexTag>;

}  // namespace sumac

#endif  // LIBRARIES_BASE_NAMES_H_
