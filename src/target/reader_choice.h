// @file reader_choice.h Which processes read the key-value service.
#ifndef MEDLARGAUGE_TARGET_READER_CHOICE_H_
#define MEDLARGAUGE_TARGET_READER_CHOICE_H_

#include <vector>

#include "src/core/ids_type.h"

namespace medlargauge {

/// Returns the readers among `candidates`: the first `count` by hash, so that
/// the calls to the store do not grow with the fleet. Processes that disagree
/// about the members only cost calls, because reading is idempotent.
/// Thread-safe.
std::vector<MemberId> ChooseStoreReaders(
    const std::vector<MemberId>& candidates,
    size_t count);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_TARGET_READER_CHOICE_H_
