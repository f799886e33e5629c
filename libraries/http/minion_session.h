// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_MINION_SESSION_H_
#define LIBRARIES_HTTP_MINION_SESSION_H_

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/SocketAddress.h>

#include "libraries/base/time.h"

namespace sumac::http {

// A connection to a minion that records whether any byte of a request may have
// been sent. POCO's own session reconnects and resends on its own when a kept
// connection turns out to be closed. That is wrong for a request that must not
// run twice, so this class never does it.
class MinionSession : public Poco::Net::HTTPClientSession {
 public:
  explicit MinionSession(const Poco::Net::SocketAddress& address);

  // Opens the connection at once. Throws Poco::Exception on failure.
  void Connect();

  // Returns true if a kept connection is usable: it is open, and the minion has
  // neither closed it nor sent unsolicited data.
  bool IsUsable();

  // Resets has_written(). Must be called before each request.
  void StartRequest() { this->has_sent = false; }

  // Returns true if a byte of the current request may have been sent.
  bool has_written() const { return this->has_sent; }

  // Sets the timeout of connecting and of each send and receive.
  void SetWait(Milliseconds wait);

 protected:
  int write(const char* buffer, std::streamsize length) override;

 private:
  bool has_sent = false;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_MINION_SESSION_H_
