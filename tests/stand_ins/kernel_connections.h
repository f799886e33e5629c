// SPDX-License-Identifier: Apache-2.0
#ifndef TESTS_STAND_INS_KERNEL_CONNECTIONS_H_
#define TESTS_STAND_INS_KERNEL_CONNECTIONS_H_

#include <string>

namespace sumac::stand_ins {

// The timer that a connection without anything unacknowledged has only if it is
// probed.
inline constexpr const char* kProbeTimer = "02:";

// The kernel's line about this side of an open connection, whose own address is
// given as the kernel writes it; empty if there is none.
std::string FindConnection(const std::string& kernel_address);

}  // namespace sumac::stand_ins

#endif  // TESTS_STAND_INS_KERNEL_CONNECTIONS_H_
