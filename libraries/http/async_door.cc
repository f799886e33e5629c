// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/async_door.h"

#include <Poco/Net/HTTPResponse.h>

#include "libraries/base/kj_time.h"
#include "libraries/log/json_log.h"

namespace sumac::http {
namespace {

constexpr std::uint32_t kBodyTooLargeStatus = 413;

const std::string& ReasonFor(std::uint32_t status) {
  return Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

}  // namespace

AsyncDoor::AsyncDoor(kj::Timer& timer, DoorSettings settings, Handler handler)
    : timer(timer), settings(std::move(settings)), handler(std::move(handler)) {
  kj::HttpHeaderTable::Builder builder;
  for (const std::string& name : this->settings.headers) {
    this->header_ids.emplace(name, builder.add(name.c_str()));
  }
  this->header_table = builder.build();
  kj::HttpServerSettings server_settings;
  server_settings.headerTimeout = ToKj(this->settings.header_time);
  server_settings.pipelineTimeout = ToKj(this->settings.idle_time);
  server_settings.callbacks = static_cast<kj::HttpServerCallbacks&>(*this);
  this->server = kj::heap<kj::HttpServer>(timer, *this->header_table,
                                          static_cast<kj::HttpService&>(*this),
                                          server_settings);
}

kj::Promise<void> AsyncDoor::Listen(kj::Network& network) {
  return network.parseAddress(this->settings.address)
      .then([this](kj::Own<kj::NetworkAddress>&& address) {
        this->receiver = address->listen();
        this->listening =
            this->server->listenHttp(*this->receiver)
                .eagerlyEvaluate([](kj::Exception&& error) {
                  LogEvent(LogLevel::kError, "listening-failed",
                           {{"error", error.getDescription().cStr()}});
                });
      });
}

kj::Promise<void> AsyncDoor::Drain() {
  this->is_closing = true;
  this->listening = nullptr;
  this->receiver = nullptr;
  return this->server->drain();
}

kj::Promise<void> AsyncDoor::request(kj::HttpMethod method,
                                     kj::StringPtr url,
                                     const kj::HttpHeaders& headers,
                                     kj::AsyncInputStream& request_body,
                                     Response& response) {
  auto request = kj::heap<DoorRequest>();
  request->method = method;
  request->path = url.cStr();
  KJ_IF_MAYBE (host, headers.get(kj::HttpHeaderId::HOST)) {
    request->host = host->cStr();
  }
  for (const auto& [name, id] : this->header_ids) {
    KJ_IF_MAYBE (value, headers.get(id)) {
      request->headers[name] = value->cStr();
    }
  }
  KJ_IF_MAYBE (length, request_body.tryGetLength()) {
    if (*length > this->settings.most_body_bytes) {
      return this->Reply(response, DoorReply{.status = kBodyTooLargeStatus});
    }
  }
  ++this->open_count;
  return request_body.readAllText(this->settings.most_body_bytes)
      .then([this, &response,
             request = kj::mv(request)](kj::String&& body) mutable {
        request->body.assign(body.begin(), body.size());
        return this->handler(std::move(*request));
      })
      .then([this, &response](DoorReply&& reply) {
        return this->Reply(response, reply);
      })
      .attach(kj::defer([this] { --this->open_count; }));
}

kj::Promise<void> AsyncDoor::Reply(Response& response, const DoorReply& reply) {
  kj::HttpHeaders headers(*this->header_table);
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

}  // namespace sumac::http
