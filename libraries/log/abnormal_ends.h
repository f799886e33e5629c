// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_LOG_ABNORMAL_ENDS_H_
#define LIBRARIES_LOG_ABNORMAL_ENDS_H_

namespace sumac {

// From now on a broken invariant (VERIFY) and an exception that nobody catches
// leave a last line in the log before the process aborts. What they print to
// standard error stays the same.
void LogAbnormalEnds();

}  // namespace sumac

#endif  // LIBRARIES_LOG_ABNORMAL_ENDS_H_
