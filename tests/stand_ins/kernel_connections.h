// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_KERNEL_CONNECTIONS_H_
#define TESTS_STAND_INS_KERNEL_CONNECTIONS_H_

#include <string>

namespace sumac::stand_ins {

// The keepalive timer in a line of /proc/net/tcp. A connection without
// unacknowledged data has it only if the connection is probed.
inline constexpr const char* kProbeTimer = "02:";

// Returns the line of /proc/net/tcp for an established connection by its local
// address, which is given in the kernel's notation. Empty if there is none.
std::string FindConnection(const std::string& kernel_address);

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_KERNEL_CONNECTIONS_H_
