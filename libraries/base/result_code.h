// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_BASE_RESULT_CODE_H_
#define LIBRARIES_BASE_RESULT_CODE_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace sumac {

// Whether the caller's request was run, according to its result: it ran, it did
// not run, or that is unknown. kNotRun guarantees that no byte of the request
// reached a minion, or that the minion itself declined it.
enum class RunEffect { kRan, kNotRun, kUnknown, kNotARequest };

// Every numbered result that the system returns to the outside. Numbers are
// never reused. 1xxx callers, 2xxx operators, 3xxx settings, 4xxx storage, 5xxx
// processes.
enum class ResultCode : std::uint16_t {
  kOk = 0,

  kBadRequest = 1001,
  kBodyTooLarge = 1002,
  kUnknownService = 1003,
  kBadIdempotencyKey = 1004,
  kKeyReused = 1005,
  kKeyTooOld = 1006,
  kUnknownQueue = 1007,
  kUnknownJob = 1008,
  kNoCredentials = 1009,
  kUnknownKey = 1010,
  kForeignJob = 1011,
  kAboveQuota = 1012,
  kBodyTooSlow = 1013,
  kCancelledBefore = 1014,
  kNoMinion = 1101,
  kOverloaded = 1102,
  kCallerLimit = 1103,
  kDeadlineBeforeRun = 1104,
  kClaimRefused = 1105,
  kStopping = 1106,
  kNothingDeclared = 1107,
  kNoControllerInTime = 1108,
  kCrowded = 1109,
  kTooManyCancels = 1110,
  kOutcomeUnknown = 1201,
  kStillRunning = 1202,
  kBrokenAnswer = 1203,
  kDeadlineDuringRun = 1204,
  kSubmissionUnknown = 1205,

  kInvalidDeclaration = 2001,
  kRevisionConflict = 2002,
  kUnknownName = 2003,
  kDuplicateName = 2004,
  kBudgetLargerThanPool = 2005,
  kBudgetWouldBreak = 2006,
  kWrongState = 2007,
  kNeverRunnable = 2008,
  kRequestIdReused = 2009,
  kNoLeader = 2010,
  kUnknownDecision = 2011,
  kBadArgument = 2012,
  kStaleReport = 2013,
  kUnknownDataCentre = 2014,
  kDataCentreChanged = 2015,
  kTooManyEnds = 2016,

  kSettingsUnreadable = 3001,
  kSettingsInvalid = 3002,
  kSettingsUnknownKey = 3003,
  kChartInvalid = 3004,

  kStorageDamaged = 4001,
  kStorageFailed = 4002,
  kDiskFull = 4003,
  kStorageVersion = 4004,
  kStorageShort = 4005,
  kStorageUnreadable = 4006,

  kUnreachable = 5001,
  kTimeout = 5002,
  kInternal = 5003,
  kMalformedMessage = 5004,
  kNotLeader = 5005,
};

// One row of the result table.
struct ResultInfo {
  ResultCode code;
  // The name used in logs and in docs/RESULTS.md.
  std::string_view name;
  // The HTTP status with which a caller receives this result.
  int http_status;
  RunEffect effect;
  // An explanation in one sentence, for operators.
  std::string_view meaning;
};

// Returns the whole table in ascending order of number. A test checks that
// docs/RESULTS.md matches it.
std::span<const ResultInfo> ResultTable();

// Returns the row for `code`. Every enumerator has a row.
const ResultInfo& InfoFor(ResultCode code);

// Returns the name of a run effect in answers and docs: ran, not-run, unknown
// or none.
std::string_view NameOf(RunEffect effect);

}  // namespace sumac

#endif  // LIBRARIES_BASE_RESULT_CODE_H_
