// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_DATA_CENTRE_SPREAD_H_
#define LIBRARIES_SCHEDULER_DATA_CENTRE_SPREAD_H_

#include <cstdint>
#include <map>
#include <set>

#include "libraries/base/names.h"
#include "libraries/jobs/job.h"

namespace sumac::scheduler {

// How the tasks of a step are distributed over data centres.
enum class DataCentreWish {
  // Wherever there is room. Tasks that take a moment start again elsewhere soon
  // after a loss, and packed tasks leave more instances free.
  kNone,
  // Apart, so that the loss of a data centre leaves as many as possible.
  kApart,
  // Together, because the loss of one of them ends them all: the fewer data
  // centres they depend on, the better.
  kTogether,
};

// Returns how the tasks of a step should be distributed: those that last or
// have a disruption budget apart, the members of a gang together.
DataCentreWish WishFor(const jobs::StepSpec& step);

// Counts the tasks of a step in each data centre, and ranks data centres for
// the next one. Pure.
class DataCentreSpread {
 public:
  // A data centre that is not in `known` may share its fate with any other, so
  // it is no domain: its tasks are not counted, and it is chosen last. Every
  // data centre is known if `known` is empty. It must outlive this object.
  DataCentreSpread(DataCentreWish wish, const std::set<DataCentre>& known)
      : wish(wish), known(&known) {}

  // Counts a task in the data centre.
  void Add(const DataCentre& data_centre);

  // Returns how bad a place the data centre is for the next task; the smallest
  // rank is the best.
  std::uint32_t RankOf(const DataCentre& data_centre) const;

  // Returns how many of the counted tasks the loss of any one data centre
  // leaves.
  std::uint32_t CountLeftAfterLoss() const;

 private:
  bool IsKnown(const DataCentre& data_centre) const {
    return this->known->empty() || this->known->contains(data_centre);
  }

  DataCentreWish wish;
  const std::set<DataCentre>* known;
  std::map<DataCentre, std::uint32_t> tasks;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_DATA_CENTRE_SPREAD_H_
