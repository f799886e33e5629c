// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_SERVER_MESSAGE_H_
#define LIBRARIES_HTTP_SERVER_MESSAGE_H_

#include <kj/async.h>
#include <kj/compat/http.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libraries/base/result_code.h"

namespace sumac::http {

// A request that was read completely, with its body.
struct ServerRequest {
  kj::HttpMethod method = kj::HttpMethod::GET;
  // The path with its query, as sent.
  std::string path;
  std::string host;
  // The present ones of the headers listed in AsyncServerSettings::headers.
  std::map<std::string, std::string> headers;
  std::string body;
  // Returns false once the client has closed its side of the connection. A
  // client that ends only its sending side, and would still read the answer,
  // counts as gone too: the two can't be told apart here. May be called until
  // the request is answered or its handler's promise is destroyed, as it is
  // when the connection was reset.
  std::function<bool()> is_awaited;
};

// The answer to one request.
struct ServerReply {
  std::uint32_t status = 200;
  // The body; empty for none.
  std::string body;
  const char* content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
};

// Returns the reply for a result that is an error, with the result's HTTP
// status. Its body is a document with the result's number and name, and the
// message unless that is empty.
ServerReply ErrorReply(ResultCode code, std::string_view message = {});

// Sends a reply completely. `table` must outlive the promise.
kj::Promise<void> SendReply(const kj::HttpHeaderTable& table,
                            kj::HttpService::Response& response,
                            const ServerReply& reply);

// Returns the text of a reply that ends its connection, for a connection whose
// request has no kj::HttpService::Response.
std::string ToClosingText(const ServerReply& reply);

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_SERVER_MESSAGE_H_
