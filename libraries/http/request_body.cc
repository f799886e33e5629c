// SPDX-License-Identifier: Apache-2.0
#include "libraries/http/request_body.h"

#include <array>
#include <cstddef>
#include <memory>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/base/text.h"

namespace sumac::http {
namespace {

constexpr std::size_t kPieceBytes = 16'384;

// The state of one read.
class BodyRead {
 public:
  BodyRead(kj::AsyncInputStream& stream,
           std::uint64_t max_bytes,
           HeldBytes& held)
      : stream(stream), max_bytes(max_bytes), held(held) {}
  ~BodyRead() { this->held.now -= this->counted; }
  BodyRead(const BodyRead&) = delete;
  BodyRead& operator=(const BodyRead&) = delete;

  kj::Promise<absl::StatusOr<std::string>> ReadNext() {
    return this->stream.tryRead(this->piece.data(), 1, this->piece.size())
        .then([this](std::size_t size) { return this->Add(size); });
  }

 private:
  kj::Promise<absl::StatusOr<std::string>> Add(std::size_t size) {
    if (size == 0) {
      return absl::StatusOr<std::string>(std::move(this->text));
    }
    if (this->held.now + size > this->held.max) {
      return absl::StatusOr<std::string>(MakeError(
          ResultCode::kCrowded, "too many large bodies are being sent"));
    }
    this->held.now += size;
    this->counted += size;
    this->text.append(this->piece.data(), size);
    if (this->text.size() > this->max_bytes) {
      return absl::StatusOr<std::string>(
          MakeError(ResultCode::kBodyTooLarge,
                    StrCat(this->max_bytes, " bytes are allowed")));
    }
    return this->ReadNext();
  }

  kj::AsyncInputStream& stream;
  std::uint64_t max_bytes;
  HeldBytes& held;
  // What `held` counts for this body.
  std::uint64_t counted = 0;
  std::string text;
  std::array<char, kPieceBytes> piece{};
};

}  // namespace

kj::Promise<absl::StatusOr<std::string>> ReadBody(kj::AsyncInputStream& body,
                                                  std::uint64_t max_bytes,
                                                  HeldBytes& held) {
  auto read = kj::heap<BodyRead>(body, max_bytes, held);
  auto text = read->ReadNext();
  return text.attach(kj::mv(read))
      .catch_([](kj::Exception&& exception)
                  -> kj::Promise<absl::StatusOr<std::string>> {
        if (exception.getType() == kj::Exception::Type::DISCONNECTED) {
          return kj::mv(exception);
        }
        return absl::StatusOr<std::string>(MakeError(
            ResultCode::kBadRequest,
            "the body does not follow its Content-Length or its chunk sizes"));
      });
}

}  // namespace sumac::http
