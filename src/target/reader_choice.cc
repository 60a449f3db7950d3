// @file reader_choice.cc Ranking of candidate readers by hash.
#include "src/target/reader_choice.h"

#include <algorithm>

#include "src/core/hash.h"

namespace medlargauge {
namespace {

constexpr uint64_t kReaderHashSeed = 0x52454144;  // ASCII "READ".

}  // namespace

std::vector<MemberId> ChooseStoreReaders(
    const std::vector<MemberId>& candidates,
    size_t count) {
  std::vector<MemberId> ranked = candidates;
  std::sort(ranked.begin(), ranked.end(), [](MemberId a, MemberId b) {
    return MixHash(a.value, kReaderHashSeed) <
           MixHash(b.value, kReaderHashSeed);
  });
  if (ranked.size() > count) {
    ranked.resize(count);
  }
  return ranked;
}

}  // namespace medlargauge
