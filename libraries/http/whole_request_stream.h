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
  void BufferNextWrite() { this->is_buffering_next = true; }

  kj::Promise<std::size_t> tryRead(void* buffer,
                                   std::size_t min_bytes,
                                   std::size_t max_bytes) override {
    return this->inner->tryRead(buffer, min_bytes, max_bytes);
  }
  kj::Promise<void> write(const void* buffer, std::size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> parts) override;
  kj::Promise<void> whenWriteDisconnected() override {
    return this->inner->whenWriteDisconnected();
  }
  void shutdownWrite() override { this->inner->shutdownWrite(); }
  void abortRead() override { this->inner->abortRead(); }

 private:
  // Appends the bytes to the buffer. Returns true if they are to be buffered
  // until the next write.
  bool AppendToBuffer(const void* buffer, std::size_t size);
  kj::Promise<void> Flush();

  kj::Own<kj::AsyncIoStream> inner;
  bool is_buffering_next = false;
  std::string buffered;
};

}  // namespace sumac::http

#endif  // LIBRARIES_HTTP_WHOLE_REQUEST_STREAM_H_
