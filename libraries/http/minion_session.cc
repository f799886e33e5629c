// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/minion_session.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Timespan.h>

#include <algorithm>

namespace sumac::http {
namespace {

Poco::Timespan ToTimespan(Milliseconds wait) {
  constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;
  return Poco::Timespan(std::max<std::int64_t>(wait.count(), 1) *
                        kMicrosecondsPerMillisecond);
}

}  // namespace

MinionSession::MinionSession(const Poco::Net::SocketAddress& address)
    : Poco::Net::HTTPClientSession(address) {
  this->setKeepAlive(true);
  // NOTE: POCO would reopen a connection that was idle for longer than this.
  // The timeout is a year, so that only IsUsable decides whether a connection
  // is reused.
  this->setKeepAliveTimeout(Poco::Timespan(365, 0, 0, 0, 0));
}

void MinionSession::Connect() {
  this->reconnect();
  this->socket().setNoDelay(true);
}

bool MinionSession::IsUsable() {
  if (!this->connected()) {
    return false;
  }
  try {
    const bool is_readable =
        this->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    return !is_readable && this->buffered() == 0;
  } catch (const Poco::Exception&) {
    return false;
  }
}

void MinionSession::SetWait(Milliseconds wait) {
  const Poco::Timespan timespan = ToTimespan(wait);
  this->setTimeout(timespan, timespan, timespan);
  if (this->connected()) {
    this->socket().setSendTimeout(timespan);
    this->socket().setReceiveTimeout(timespan);
  }
}

int MinionSession::write(const char* buffer, std::streamsize length) {
  if (!this->connected()) {
    throw Poco::Net::ConnectionResetException(
        "the minion's connection is closed");
  }
  this->has_sent = true;
  // Bypasses HTTPClientSession::write, which would reconnect and resend.
  // NOLINTNEXTLINE(bugprone-parent-virtual-call)
  return HTTPSession::write(buffer, length);
}

}  // namespace sumac::http
