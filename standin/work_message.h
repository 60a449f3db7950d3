// @file work_message.h Requests and answers between stand-ins.
#ifndef MEDLARGAUGE_STANDIN_WORK_MESSAGE_H_
#define MEDLARGAUGE_STANDIN_WORK_MESSAGE_H_

#include <cstdint>
#include <cstring>
#include <optional>
#include <vector>

#include "src/packet/packet_type.h"

namespace medlargauge {

/// A request that may run only once.
struct WorkRequest {
  uint64_t id = 0;            ///< Unique.
  uint32_t service = 0;       ///< Service that must run it.
  uint32_t answer_bytes = 0;  ///< Size of the whole answer.
};

/// One part of an answer.
struct WorkAnswer {
  uint64_t id = 0;      ///< Of the request.
  uint32_t offset = 0;  ///< Of this part.
  uint32_t total = 0;   ///< Size of the whole answer.
};

/// Copies a plain struct into bytes. Both ends run on one host.
template <typename Message>
std::vector<uint8_t> ToBytes(const Message& message, size_t extra = 0) {
  std::vector<uint8_t> bytes(sizeof(message) + extra);
  std::memcpy(bytes.data(), &message, sizeof(message));
  return bytes;
}

/// Reads a plain struct from the front of a payload.
template <typename Message>
std::optional<Message> FromBytes(ByteView payload) {
  Message message;
  if (payload.size() < sizeof(message)) {
    return std::nullopt;
  }
  std::memcpy(&message, payload.data(), sizeof(message));
  return message;
}

/// Returns the byte of an answer at `offset`: known to both ends.
inline uint8_t AnswerByte(uint64_t id, uint32_t offset) {
  return static_cast<uint8_t>((id * 31 + offset) * 7);
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STANDIN_WORK_MESSAGE_H_
