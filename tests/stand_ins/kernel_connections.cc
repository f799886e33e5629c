// SPDX-License-Identifier: Apache-2.0
#include "tests/stand_ins/kernel_connections.h"

#include <fstream>
#include <sstream>

namespace sumac::stand_ins {

std::string FindConnection(const std::string& kernel_address) {
  constexpr const char* kEstablished = "01";
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    fields >> number >> local >> remote >> state;
    if (local == kernel_address && state == kEstablished) {
      return line;
    }
  }
  return "";
}

}  // namespace sumac::stand_ins
