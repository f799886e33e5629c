// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/whole_request_stream.h"

#include <utility>

namespace sumac::http {

kj::Promise<void> WholeRequestStream::write(const void* buffer,
                                            std::size_t size) {
  if (this->held.empty() && !this->holds_next) {
    return this->inner->write(buffer, size);
  }
  return this->Gather(buffer, size) ? kj::Promise<void>(kj::READY_NOW)
                                    : this->Flush();
}

kj::Promise<void> WholeRequestStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  if (this->held.empty() && !this->holds_next) {
    return this->inner->write(pieces);
  }
  const bool is_held = std::exchange(this->holds_next, false);
  for (const auto& piece : pieces) {
    this->Gather(piece.begin(), piece.size());
  }
  return is_held ? kj::Promise<void>(kj::READY_NOW) : this->Flush();
}

bool WholeRequestStream::Gather(const void* buffer, std::size_t size) {
  this->held.append(static_cast<const char*>(buffer), size);
  return std::exchange(this->holds_next, false);
}

kj::Promise<void> WholeRequestStream::Flush() {
  auto whole = kj::heap<std::string>(std::exchange(this->held, {}));
  auto written = this->inner->write(whole->data(), whole->size());
  return written.attach(kj::mv(whole));
}

}  // namespace sumac::http
