// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_LIBRARIES_REPLICATION_LOSSY_CLUSTER_H_
#define TESTS_LIBRARIES_REPLICATION_LOSSY_CLUSTER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <utility>

#include "tests/libraries/replication/cluster.h"

namespace sumac::replication {

// A group whose connections lose packets. As with TCP, what is lost is sent
// again after a time that doubles with each loss, and all that was sent later
// waits for it. A connection on which a message has been on its way for too
// long is ended by the host, and all that is on its way on it is lost.
class LossyCluster : public Cluster {
 public:
  LossyCluster(int voters,
               std::uint64_t seed,
               const ReplicationSettings& settings);

  // Delivers the messages that have arrived by now.
  void Settle() override;
  void Crash(std::size_t node) override;

  // The share of packets that connections lose from now on.
  void SetLoss(double share) { this->loss = share; }

 private:
  struct OnTheWay {
    SteadyTime sent_at;
    SteadyTime arrives_at;
    Message message;
  };
  struct Link {
    std::deque<OnTheWay> messages;
    // Nothing that is sent later arrives before.
    SteadyTime busy_until{};
    // The bytes of the last packet that is not full.
    std::size_t partial_bytes = 0;
  };
  using Ends = std::pair<NodeId, NodeId>;

  void TakeUpMessages();
  void EndSilentConnections();
  Milliseconds DrawRetransmissions(std::size_t packets);
  std::size_t PacketsFor(Link& link, std::size_t bytes) const;

  std::mt19937_64 random;
  double loss = 0;
  std::map<Ends, Link> links;
};

}  // namespace sumac::replication

#endif  // TESTS_LIBRARIES_REPLICATION_LOSSY_CLUSTER_H_
