// @file settings_type.h Settings of the daemon.
#ifndef MEDLARGAUGE_DAEMON_SETTINGS_TYPE_H_
#define MEDLARGAUGE_DAEMON_SETTINGS_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace medlargauge {

/// Settings of a daemon, with their defaults; settings_table.inc describes
/// each.
struct Settings {
#define STRING_SETTING(key, required, fallback, help) \
  std::string key = fallback;
#define LIST_SETTING(key, help) std::vector<std::string> key;
#define INT_SETTING(key, fallback, lowest, highest, help) \
  int64_t key = fallback;
#define REAL_SETTING(key, fallback, lowest, highest, help) \
  double key = fallback;
#include "src/daemon/settings_table.inc"
#undef STRING_SETTING
#undef LIST_SETTING
#undef INT_SETTING
#undef REAL_SETTING
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_SETTINGS_TYPE_H_
