// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/server_message.h"

#include <Poco/Net/HTTPResponse.h>

#include "libraries/base/text.h"
#include "nlohmann/json.hpp"

namespace sumac::http {
namespace {

const std::string& ReasonFor(std::uint32_t status) {
  return Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

}  // namespace

ServerReply ErrorReply(ResultCode code, std::string_view message) {
  const ResultInfo& info = InfoFor(code);
  nlohmann::json document = {{"code", static_cast<int>(code)},
                             {"error", info.name}};
  if (!message.empty()) {
    document["message"] = message;
  }
  return ServerReply{
      .status = static_cast<std::uint32_t>(info.http_status),
      .body = document.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace)};
}

kj::Promise<void> SendReply(const kj::HttpHeaderTable& table,
                            kj::HttpService::Response& response,
                            const ServerReply& reply) {
  kj::HttpHeaders headers(table);
  if (!reply.body.empty()) {
    headers.set(kj::HttpHeaderId::CONTENT_TYPE, reply.content_type);
  }
  for (const auto& [name, value] : reply.headers) {
    headers.add(kj::str(name), kj::str(value));
  }
  auto body = kj::heap<std::string>(reply.body);
  auto stream = response.send(reply.status, ReasonFor(reply.status), headers,
                              body->size());
  if (body->empty()) {
    return kj::READY_NOW;
  }
  auto written = stream->write(body->data(), body->size());
  return written.attach(kj::mv(stream), kj::mv(body));
}

std::string ToClosingText(const ServerReply& reply) {
  return StrCat("HTTP/1.1 ", reply.status, " ", ReasonFor(reply.status),
                "\r\nConnection: close\r\nContent-Type: ", reply.content_type,
                "\r\nContent-Length: ", reply.body.size(), "\r\n\r\n",
                reply.body);
}

}  // namespace sumac::http
