// @file reader_choice.h Choice of the processes that read the key-value
// service.
#ifndef MEDLARGAUGE_TARGET_READER_CHOICE_H_
#define MEDLARGAUGE_TARGET_READER_CHOICE_H_

#include <vector>

#include "src/core/ids_type.h"

namespace medlargauge {

/// Returns the `count` members of `candidates` with the lowest hashes, or all
/// candidates if there are fewer. A fixed number of readers keeps the load on
/// the store independent of the fleet's size. Processes with different views of
/// the membership may choose different readers, which only adds calls, because
/// reading is idempotent. Thread-safe.
std::vector<MemberId> ChooseStoreReaders(
    const std::vector<MemberId>& candidates,
    size_t count);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_TARGET_READER_CHOICE_H_
