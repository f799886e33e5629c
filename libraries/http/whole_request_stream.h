// SPDX-License-Identifier: Apache-2.0
#ifndef LIBRARIES_HTTP_WHOLE_REQUEST_STREAM_H_
#define LIBRARIES_HTTP_WHOLE_REQUEST_STREAM_H_

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/memory.h>

#include <cstddef>
#include <string>

namespace sumac::http {

// A stream that sends the head of a request together with its body. kj's HTTP
// client writes them separately, which costs a second system call and often a
// second packet; a leader sends thousands of requests per second.
class WholeRequestStream : public kj::AsyncIoStream {
 public:
  explicit WholeRequestStream(kj::Own<kj::AsyncIoStream> inner)
      : inner(kj::mv(inner)) {}

  // Buffers the next write until the one after it, and sends both together.
  void HoldNextWrite() { this->holds_next = true; }

  kj::Promise<std::size_t> tryRead(void* buffer,
                                   std::size_t least,
                                   std::size_t most) override {
    return this->inner->tryRead(buffer, least, most);
  }
  kj::Promise<void> write(const void* buffer, std::size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override {
    return this->inner->whenWriteDisconnected();
  }
  void shutdownWrite() override { this->inner->shutdownWrite(); }
  void abortRead() override { this->inner->abortRead(); }

 private:
  // Appends the bytes to the buffer. Returns true if they are to be held until
  // the next write.
  bool Gather(const void* buffer, std::size_t size);
  kj::Promise<void> Flush();

  kj::Own<kj::AsyncIoStream> inner;
  bool holds_next = false;
  std::string held;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_WHOLE_REQUEST_STREAM_H_
