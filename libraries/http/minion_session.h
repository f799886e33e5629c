// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_MINION_SESSION_H_
#define LIBRARIES_HTTP_MINION_SESSION_H_

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/SocketAddress.h>

#include "libraries/base/time.h"

namespace sumac::http {

// One connection to a minion that knows whether any byte of a request has left.
// POCO's own session connects anew and writes again by itself when a kept
// connection turns out to be closed; for a request that must not run twice that
// is wrong, so this one never does.
class MinionSession : public Poco::Net::HTTPClientSession {
 public:
  explicit MinionSession(const Poco::Net::SocketAddress& address);

  // Opens the connection now; throws Poco::Exception.
  void Connect();

  // True if a kept connection can be used: open, and the minion has neither
  // closed it nor sent anything unasked.
  bool IsUsable();

  // Forgets what was written before; called before each request.
  void StartRequest() { this->has_sent = false; }

  // True once a byte of the present request may have left.
  bool has_written() const { return this->has_sent; }

  // Bounds each wait of the connection.
  void SetWait(Milliseconds wait);

 protected:
  int write(const char* buffer, std::streamsize length) override;

 private:
  bool has_sent = false;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_MINION_SESSION_H_
