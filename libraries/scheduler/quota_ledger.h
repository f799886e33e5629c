// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_SCHEDULER_QUOTA_LEDGER_H_
#define LIBRARIES_SCHEDULER_QUOTA_LEDGER_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "libraries/base/names.h"
#include "libraries/jobs/customer.h"
#include "libraries/jobs/resources.h"

namespace sumac::scheduler {

// The resources that the runs of each customer may be using on all workers. A
// run counts from before its start order is sent until it is certain that it
// has ended. Pure.
class QuotaLedger {
 public:
  // What one run counts for its customer, until it is destroyed. The ledger
  // must outlive it.
  class Reservation {
   public:
    Reservation() = default;
    Reservation(Reservation&& other) noexcept { this->Swap(other); }
    Reservation& operator=(Reservation&& other) noexcept {
      this->Swap(other);
      return *this;
    }
    ~Reservation() {
      if (this->used != nullptr) {
        this->used->Subtract(this->amount);
      }
    }

   private:
    friend class QuotaLedger;
    Reservation(jobs::Resources& used, const jobs::Resources& amount)
        : used(&used), amount(amount) {
      used.Add(amount);
    }
    void Swap(Reservation& other);

    jobs::Resources* used = nullptr;
    jobs::Resources amount;
  };

  // Counts a run, whether the quota has room for it or not: one that an earlier
  // leader started counts, too.
  [[nodiscard]] Reservation Reserve(const CustomerName& customer,
                                    const jobs::Resources& need);

  // Replaces what may be running unseen on workers that have not answered this
  // leader yet.
  void SetUnseen(std::map<CustomerName, jobs::Resources> unseen) {
    this->unseen = std::move(unseen);
  }

  // Returns true if the customer may run `count` more tasks that need `need`
  // each. A null customer has no quota.
  bool Allows(const jobs::CustomerDeclaration* customer,
              const jobs::Resources& need,
              std::uint32_t count = 1) const;

  // Returns what the customer's known runs use.
  jobs::Resources UsedBy(const CustomerName& customer) const;
  // Returns what may be running unseen.
  jobs::Resources UnseenOf(const CustomerName& customer) const;

 private:
  // Customers are never removed: reservations point to their entries.
  std::unordered_map<CustomerName, jobs::Resources> used;
  std::map<CustomerName, jobs::Resources> unseen;
};

}  // namespace sumac::scheduler

#endif  // LIBRARIES_SCHEDULER_QUOTA_LEDGER_H_
