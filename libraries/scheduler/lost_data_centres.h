// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_LOST_DATA_CENTRES_H_
#define LIBRARIES_SCHEDULER_LOST_DATA_CENTRES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/base/time.h"

namespace sumac::scheduler {

// What is known of the workers of one data centre.
struct DataCentreCensus {
  // The number of its known workers, whether they answer or not.
  std::size_t workers = 0;
  // Since when each of those that don't answer has been silent.
  std::vector<SteadyTime> silent_since;
};

// A data centre that was lost or came back.
struct DataCentreChange {
  DataCentre data_centre;
  bool is_lost = false;
  // Its workers, including those that ended recently, and those of them that
  // are silent or ended.
  std::size_t workers = 0;
  std::size_t gone = 0;
};

// Recognises the loss of a whole data centre, or of the way to it: most of its
// workers fall silent or end within a short time. They then have a cause in
// common, so that none of their tasks is a suspect.
//
// A task that crashes its workers does so on few of them and regardless of
// their data centre. So a data centre with few workers is never recognised as
// lost, and none is while more of them look lost than the deployment tolerates.
// Pure.
class LostDataCentres {
 public:
  // `tolerated` is the number of data centres that may be lost at the same
  // time; with 0 no loss is recognised.
  explicit LostDataCentres(std::uint32_t tolerated) : tolerated(tolerated) {}

  bool is_on() const { return this->tolerated > 0; }

  // Records that an incarnation ended although nobody had planned this, and
  // since when it had been silent.
  void RecordEnd(const DataCentre& data_centre, SteadyTime silent_since);

  // Handles a census of all data centres and returns what changed.
  std::vector<DataCentreChange> HandleCensus(
      const std::map<DataCentre, DataCentreCensus>& census,
      SteadyTime now);

  // Returns true while the data centre is considered lost.
  bool IsLost(const DataCentre& data_centre) const {
    return this->lost.contains(data_centre);
  }
  bool has_lost() const { return !this->lost.empty(); }

 private:
  // Returns true if so many of the workers fell silent together that they have
  // a cause in common. `onsets` holds when each of those that are gone did.
  static bool HasCommonCause(std::vector<SteadyTime> onsets,
                             std::size_t workers);

  std::uint32_t tolerated;
  // Since when the incarnations that ended recently had been silent.
  std::map<DataCentre, std::vector<SteadyTime>> ends;
  std::set<DataCentre> lost;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_LOST_DATA_CENTRES_H_
