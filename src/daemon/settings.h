// @file settings.h Parsing and validation of settings files.
#ifndef MEDLARGAUGE_DAEMON_SETTINGS_H_
#define MEDLARGAUGE_DAEMON_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/core/error_type.h"
#include "src/daemon/settings_type.h"

namespace medlargauge {

/// Parses settings from JSON with comments and checks keys, types, bounds and
/// conflicts between settings. Thread-safe.
/// @param text content of the settings file
/// @param file name of the file for error messages
/// @param reason kBadSettings with file, key and broken rule of the first fault
///     when there is no result
std::optional<Settings> ParseSettings(std::string_view text,
                                      std::string_view file,
                                      Error* reason);

/// Reads a settings file and parses it as ParseSettings does. Thread-safe.
std::optional<Settings> LoadSettings(const std::string& file, Error* reason);

/// Returns the text of docs/SETTINGS.md, generated from settings_table.inc.
/// Thread-safe.
std::string DescribeSettings();

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_SETTINGS_H_
