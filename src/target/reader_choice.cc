// @file reader_choice.cc Ranking by hash.
#include "src/target/reader_choice.h"

#include <algorithm>

#include "src/core/hash.h"

namespace medlargauge {
namespace {

constexpr uint64_t kReaderSeed = 0x52454144;

}  // namespace

std::vector<MemberId> ChooseStoreReaders(
    const std::vector<MemberId>& candidates,
    size_t count) {
  std::vector<MemberId> ranked = candidates;
  std::sort(ranked.begin(), ranked.end(), [](MemberId a, MemberId b) {
    return MixHash(a.value, kReaderSeed) < MixHash(b.value, kReaderSeed);
  });
  if (ranked.size() > count) {
    ranked.resize(count);
  }
  return ranked;
}

}  // namespace medlargauge
