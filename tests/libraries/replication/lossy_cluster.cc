// SPDX-License-Identifier: Apache-2.0
#include "tests/libraries/replication/lossy_cluster.h"

#include <algorithm>
#include <utility>

namespace sumac::replication {
namespace {

constexpr std::size_t kPacketBytes = 1'460;
constexpr std::size_t kHeaderBytes = 100;
constexpr Milliseconds kOneWay{1};
constexpr Milliseconds kFirstRetransmission{200};
// The time after which the host ends a connection without answers.
constexpr Milliseconds kMessageTimeout{1'000};

std::size_t PayloadOf(const Message& message) {
  if (const auto* chunk = std::get_if<SnapshotChunk>(&message.body)) {
    return chunk->data.size();
  }
  std::size_t bytes = 0;
  if (const auto* append = std::get_if<AppendRequest>(&message.body)) {
    for (const Entry& entry : append->entries) {
      bytes += entry.payload.size();
    }
  }
  return bytes;
}

}  // namespace

LossyCluster::LossyCluster(int voters,
                           std::uint64_t seed,
                           const ReplicationSettings& settings)
    : Cluster(voters, seed, settings), random(seed) {}

// Returns the time that so many packets wait because some are lost.
Milliseconds LossyCluster::DrawRetransmissions(std::size_t packets) {
  std::bernoulli_distribution is_lost(this->loss);
  Milliseconds waited{0};
  for (std::size_t left = packets; left > 0; --left) {
    for (Milliseconds wait = kFirstRetransmission; is_lost(this->random);
         wait *= 2) {
      waited += wait;
    }
  }
  return waited;
}

// Returns the number of packets that a message adds to a connection. Messages
// that wait for an earlier one share packets.
std::size_t LossyCluster::PacketsFor(Link& link, std::size_t bytes) const {
  const bool is_waiting = link.busy_until > this->now + kOneWay;
  link.partial_bytes = (is_waiting ? link.partial_bytes : kPacketBytes) + bytes;
  const std::size_t packets = link.partial_bytes / kPacketBytes;
  link.partial_bytes %= kPacketBytes;
  return packets;
}

void LossyCluster::TakeUpMessages() {
  for (Message& message : std::exchange(this->network, {})) {
    Link& link = this->links[{message.from, message.to}];
    const std::size_t packets =
        this->PacketsFor(link, kHeaderBytes + PayloadOf(message));
    link.busy_until = std::max(link.busy_until, this->now + kOneWay) +
                      this->DrawRetransmissions(packets);
    link.messages.push_back({this->now, link.busy_until, std::move(message)});
  }
}

void LossyCluster::EndSilentConnections() {
  for (auto& [ends, link] : this->links) {
    const bool is_silent =
        !link.messages.empty() &&
        this->now - link.messages.front().sent_at > kMessageTimeout;
    if (is_silent) {
      // The next connection is open after one round trip.
      link.messages.clear();
      link.busy_until = this->now + 2 * kOneWay + this->DrawRetransmissions(1);
    }
  }
}

void LossyCluster::Settle() {
  this->EndSilentConnections();
  this->TakeUpMessages();
  for (bool has_delivered = true; has_delivered;) {
    has_delivered = false;
    for (auto& [ends, link] : this->links) {
      if (!link.messages.empty() &&
          link.messages.front().arrives_at <= this->now) {
        this->network.push_back(std::move(link.messages.front().message));
        link.messages.pop_front();
        this->Deliver(0);
        has_delivered = true;
        break;
      }
    }
    this->TakeUpMessages();
  }
}

void LossyCluster::Crash(std::size_t node) {
  const NodeId& id = this->nodes[node].id;
  std::erase_if(this->links, [&](const auto& link) {
    return link.first.first == id || link.first.second == id;
  });
  Cluster::Crash(node);
}

}  // namespace sumac::replication
