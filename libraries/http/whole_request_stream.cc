// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/whole_request_stream.h"

#include <utility>

namespace sumac::http {

kj::Promise<void> WholeRequestStream::write(const void* buffer,
                                            std::size_t size) {
  if (this->buffered.empty() && !this->is_buffering_next) {
    return this->inner->write(buffer, size);
  }
  return this->AppendToBuffer(buffer, size) ? kj::Promise<void>(kj::READY_NOW)
                                            : this->Flush();
}

kj::Promise<void> WholeRequestStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> parts) {
  if (this->buffered.empty() && !this->is_buffering_next) {
    return this->inner->write(parts);
  }
  const bool is_buffered = std::exchange(this->is_buffering_next, false);
  for (const auto& piece : parts) {
    this->AppendToBuffer(piece.begin(), piece.size());
  }
  return is_buffered ? kj::Promise<void>(kj::READY_NOW) : this->Flush();
}

bool WholeRequestStream::AppendToBuffer(const void* buffer, std::size_t size) {
  this->buffered.append(static_cast<const char*>(buffer), size);
  return std::exchange(this->is_buffering_next, false);
}

kj::Promise<void> WholeRequestStream::Flush() {
  auto whole = kj::heap<std::string>(std::exchange(this->buffered, {}));
  auto written = this->inner->write(whole->data(), whole->size());
  return written.attach(kj::mv(whole));
}

}  // namespace sumac::http
