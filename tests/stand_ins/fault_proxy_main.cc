// SPDX-License-Identifier: Apache-2.0
// A proxy for tests with real processes: forwards connections between pairs of
// addresses. `POST /LINK/FAULT/MILLISECONDS` to its own listener injects a
// fault, where LINK is the index of the pair, from 0.
#include <kj/async-io.h>
#include <signal.h>

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "libraries/http/async_http_server.h"
#include "tests/stand_ins/fault_proxy.h"

namespace {

using sumac::stand_ins::FaultProxy;
using Links = std::vector<std::unique_ptr<FaultProxy>>;

constexpr std::uint32_t kBadRequest = 400;
// The parts of a path: an empty one before the first slash, the link, the fault
// and the time.
constexpr std::size_t kPathParts = 4;

sumac::http::ServerReply Apply(const Links& links, const std::string& path) {
  const std::vector<std::string> parts = absl::StrSplit(path, '/');
  std::size_t link = 0;
  std::int64_t time = 0;
  if (parts.size() != kPathParts || !absl::SimpleAtoi(parts[1], &link) ||
      link >= links.size() || !absl::SimpleAtoi(parts[3], &time)) {
    return {.status = kBadRequest};
  }
  const absl::Status status =
      links[link]->Apply(parts[2], sumac::Milliseconds(time));
  return {.status = status.ok() ? 200 : kBadRequest};
}

}  // namespace

int main(int argument_count, char** argument_values) {
  if (argument_count < 3) {
    std::cerr << "usage: fault_proxy_stand_in DOOR LISTEN=TARGET...\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  kj::AsyncIoContext io = kj::setupAsyncIo();
  kj::Network& network = io.provider->getNetwork();
  kj::Timer& timer = io.provider->getTimer();
  Links links;
  for (int number = 2; number < argument_count; ++number) {
    const std::vector<std::string> pair =
        absl::StrSplit(argument_values[number], '=');
    links.push_back(
        std::make_unique<FaultProxy>(network, timer, pair.at(0), pair.at(1)));
    links.back()->Listen().wait(io.waitScope);
  }
  sumac::http::AsyncHttpServer door(
      timer, {.address = argument_values[1]},
      [&links](const sumac::http::ServerRequest& request)
          -> kj::Promise<sumac::http::ServerReply> {
        return Apply(links, request.path);
      });
  door.Listen(network).wait(io.waitScope);
  std::cout << "ready" << std::endl;
  kj::NEVER_DONE.wait(io.waitScope);
}
