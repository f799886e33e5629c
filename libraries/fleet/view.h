// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_FLEET_VIEW_H_
#define LIBRARIES_FLEET_VIEW_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/names.h"
#include "libraries/codec/describe.h"
#include "libraries/fleet/declaration.h"
#include "libraries/fleet/fleet_state.h"

namespace sumac::fleet {

// The properties of one minion that entries use for routing.
struct RoutedMinion {
  InstanceName name;
  std::string address;
  DataCentre data_centre;
  Rack rack;
  Incarnation incarnation;
  std::set<ServiceName> services;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // False while the minion gets no new requests because it is leaving, silent,
  // failed, quarantined or out for planned work.
  bool can_take_work = false;

  bool operator==(const RoutedMinion&) const = default;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("name", self.name);
    visitor.Field("address", self.address);
    visitor.Field("data_centre", self.data_centre);
    visitor.Field("rack", self.rack);
    visitor.Field("incarnation", self.incarnation);
    visitor.Field("services", self.services);
    visitor.Field("slots", self.slots);
    visitor.Field("connections", self.connections);
    visitor.Field("can_take_work", self.can_take_work);
  }
};

// The state that entries use for routing. Versions only increase; an entry
// never replaces its view with an older one.
struct View {
  std::uint64_t version = 0;
  Revision revision;
  std::vector<Service> services;
  Milliseconds key_window{0};
  std::vector<RoutedMinion> minions;
  // Used only in a delta: the minions that were removed, and whether `services`
  // and `key_window` are set.
  std::set<InstanceName> removed;
  bool has_services = true;

  template <typename Self, typename Visitor>
  static void Describe(Self& self, Visitor& visitor) {
    visitor.Field("version", self.version);
    visitor.Field("revision", self.revision);
    visitor.Field("services", self.services);
    visitor.Field("key_window_ms", self.key_window);
    visitor.Field("minions", self.minions);
    visitor.Field("removed", self.removed);
    visitor.Field("has_services", self.has_services);
  }
};

// Returns `before` with a delta applied: the delta's minions replace or are
// added to those of `before`, and all stay in order of name.
View ApplyDelta(const View& before, const View& delta);

// Returns the view of the current state.
View MakeView(const FleetState& state);

}  // namespace sumac::fleet

#endif  // LIBRARIES_FLEET_VIEW_H_
