// @file settings.h Reading and checking of settings files.
#ifndef MEDLARGAUGE_DAEMON_SETTINGS_H_
#define MEDLARGAUGE_DAEMON_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/core/error_type.h"
#include "src/daemon/settings_type.h"

namespace medlargauge {

/// Reads JSON with comments and checks every key, type, bound and clash.
/// Thread-safe.
/// @param text content of the file
/// @param file name for messages
/// @param reason kBadSettings with file, key and reason when there is no result
std::optional<Settings> ParseSettings(std::string_view text,
                                      std::string_view file,
                                      Error* reason);

/// Reads a settings file. Thread-safe.
std::optional<Settings> LoadSettings(const std::string& file, Error* reason);

/// Returns docs/SETTINGS.md, made from the table. Thread-safe.
std::string DescribeSettings();

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_SETTINGS_H_
