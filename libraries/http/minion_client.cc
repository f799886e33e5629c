// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/minion_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <array>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/text.h"
#include "libraries/http/headers.h"

namespace sumac::http {
namespace {

using routing::TryOutcome;

constexpr std::size_t kBufferBytes = 16'384;

SteadyTime Now() {
  return SystemClock().SteadyNow();
}

// Reads the body. The error is DeadlineExceeded after `deadline`, and DataLoss
// if the body is shorter than the declared `length`.
absl::StatusOr<std::string> ReadBody(MinionSession& session,
                                     std::istream& stream,
                                     std::uint64_t length,
                                     SteadyTime deadline) {
  std::string body;
  std::array<char, kBufferBytes> buffer{};
  while (body.size() < length) {
    const SteadyTime now = Now();
    if (now >= deadline) {
      return absl::DeadlineExceededError("the deadline passed within the body");
    }
    session.SetWait(deadline - now);
    stream.read(buffer.data(),
                static_cast<std::streamsize>(std::min<std::uint64_t>(
                    buffer.size(), length - body.size())));
    if (stream.gcount() <= 0) {
      return absl::DataLossError(StrCat("the body ended after ", body.size(),
                                        " of ", length, " bytes"));
    }
    body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
  }
  return body;
}

void WriteRequest(MinionSession& session,
                  const MinionRequest& request,
                  SteadyTime deadline) {
  Poco::Net::HTTPRequest head(request.method, request.target,
                              Poco::Net::HTTPMessage::HTTP_1_1);
  head.setKeepAlive(true);
  head.set(kRequestHeader, request.number);
  head.set("Sumac-Service", request.service);
  head.set(kDeadlineHeader, StrCat((deadline - Now()).count()));
  if (!request.content_type.empty()) {
    head.setContentType(request.content_type);
  }
  head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
  std::ostream& stream = session.sendRequest(head);
  stream.write(request.body.data(),
               static_cast<std::streamsize>(request.body.size()));
  stream.flush();
}

// Copies the minion's load and its notice of leaving from the head of an answer
// to `result`.
void ReadLoadReport(const Poco::Net::HTTPResponse& head, TryResult& result) {
  std::uint32_t load = 0;
  if (ParseNumber(std::string_view(head.get(kInFlightHeader, "")), &load)) {
    result.reported_load = load;
  }
  result.is_leaving = head.has(kLeavingHeader);
}

TryResult Broken(TryResult result, std::string detail) {
  result.outcome = TryOutcome::kBroken;
  result.detail = std::move(detail);
  return result;
}

}  // namespace

MinionClient::Connection MinionClient::Connect(const std::string& address,
                                               bool fresh,
                                               SteadyTime deadline) {
  if (!fresh) {
    const std::lock_guard lock(this->mutex);
    std::deque<Connection>& connections = this->kept[address];
    while (!connections.empty()) {
      Connection connection = std::move(connections.back());
      connections.pop_back();
      if (connection->IsUsable()) {
        return connection;
      }
    }
  }
  try {
    auto connection =
        std::make_unique<MinionSession>(Poco::Net::SocketAddress(address));
    connection->SetWait(deadline - Now());
    connection->Connect();
    return connection;
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

void MinionClient::KeepConnection(const std::string& address,
                                  Connection connection) {
  const std::lock_guard lock(this->mutex);
  std::deque<Connection>& connections = this->kept[address];
  if (connections.size() < kMaxKeptConnections) {
    connections.push_back(std::move(connection));
  }
}

TryResult MinionClient::Exchange(const std::string& address,
                                 Connection connection,
                                 const MinionRequest& request,
                                 std::uint32_t max_body_bytes,
                                 SteadyTime deadline) {
  TryResult result;
  connection->StartRequest();
  try {
    connection->SetWait(deadline - Now());
    WriteRequest(*connection, request, deadline);
    Poco::Net::HTTPResponse head;
    std::istream& stream = connection->receiveResponse(head);
    ReadLoadReport(head, result);
    if (head.get(kRequestHeader, "") != request.number) {
      return Broken(std::move(result), "the answer belongs to another request");
    }
    if (head.has(kNotRunHeader)) {
      result.outcome =
          result.is_leaving ? TryOutcome::kLeaving : TryOutcome::kDeclined;
      result.is_not_run = true;
      result.detail = head.get(kNotRunHeader);
      return result;
    }
    // POCO does not distinguish a truncated chunked body from a complete one,
    // so answers must declare their length.
    if (!head.hasContentLength()) {
      return Broken(std::move(result), "the answer declares no length");
    }
    const auto length = static_cast<std::uint64_t>(head.getContentLength64());
    if (length > max_body_bytes) {
      return Broken(std::move(result),
                    StrCat("the answer has ", length, " bytes of ",
                           max_body_bytes, " allowed"));
    }
    absl::StatusOr<std::string> body =
        ReadBody(*connection, stream, length, deadline);
    if (!body.ok()) {
      result = Broken(std::move(result), std::string(body.status().message()));
      if (absl::IsDeadlineExceeded(body.status())) {
        result.outcome = TryOutcome::kTimedOut;
      }
      return result;
    }
    result.outcome = TryOutcome::kAnswered;
    result.answer = MinionAnswer{static_cast<std::uint16_t>(head.getStatus()),
                                 head.getContentType(), *std::move(body)};
    if (head.getKeepAlive()) {
      this->KeepConnection(address, std::move(connection));
    }
    return result;
  } catch (const Poco::TimeoutException& error) {
    result.outcome = TryOutcome::kTimedOut;
    result.detail = error.displayText();
  } catch (const Poco::Exception& error) {
    result.outcome = TryOutcome::kBroken;
    result.detail = error.displayText();
  }
  if (!connection->has_written()) {
    result.outcome = TryOutcome::kUnreachable;
    result.is_not_run = true;
  }
  return result;
}

}  // namespace sumac::http
