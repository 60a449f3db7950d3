// @file work_message.h Requests of callers and answers of backend servers.
#ifndef MEDLARGAUGE_STANDIN_WORK_MESSAGE_H_
#define MEDLARGAUGE_STANDIN_WORK_MESSAGE_H_

#include <cstdint>
#include <cstring>
#include <optional>
#include <vector>

#include "src/packet/packet_type.h"

namespace medlargauge {

/// A request, which must be executed at most once.
struct WorkRequest {
  uint64_t id = 0;            ///< Unique among all requests of the callers.
  uint32_t service = 0;       ///< Id of the service that must execute it.
  uint32_t answer_bytes = 0;  ///< Payload size of the whole answer.
};

/// Header of one part of an answer; the payload bytes of the part follow it.
struct WorkAnswerPart {
  uint64_t request_id = 0;   ///< Id of the answered request.
  uint32_t offset = 0;       ///< Position of the part in the answer, in bytes.
  uint32_t total_bytes = 0;  ///< Payload size of the whole answer.
};

/// Copies a message into bytes, in the byte order of this host: both ends run
/// on one host. Thread-safe. Precondition: `Message` is trivially copyable.
/// @param extra number of zero bytes to append
template <typename Message>
std::vector<uint8_t> SerializeWorkMessage(const Message& message,
                                          size_t extra = 0) {
  std::vector<uint8_t> bytes(sizeof(message) + extra);
  std::memcpy(bytes.data(), &message, sizeof(message));
  return bytes;
}

/// Reads a message from the start of a payload; nullopt if the payload is too
/// short. Thread-safe. Precondition: `Message` is trivially copyable.
template <typename Message>
std::optional<Message> ParseWorkMessage(ByteView payload) {
  Message message;
  if (payload.size() < sizeof(message)) {
    return std::nullopt;
  }
  std::memcpy(&message, payload.data(), sizeof(message));
  return message;
}

/// Returns the expected payload byte of an answer at `offset`. The backend
/// server writes it and the caller checks it. Thread-safe.
inline uint8_t ComputeAnswerByte(uint64_t request_id, uint32_t offset) {
  return static_cast<uint8_t>((request_id * 31 + offset) * 7);
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STANDIN_WORK_MESSAGE_H_
