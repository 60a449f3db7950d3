// @file settings.cc The table of settings drives reading and documentation.
#include "src/daemon/settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "src/core/error.h"
#include "src/daemon/address.h"

namespace medlargauge {
namespace {

using nlohmann::json;

constexpr size_t kMaxNameLength = 128;

constexpr std::string_view kKeys[] = {
#define STRING_SETTING(key, required, fallback, help) #key,
#define LIST_SETTING(key, help) #key,
#define INT_SETTING(key, fallback, lowest, highest, help) #key,
#include "src/daemon/settings_table.inc"
#undef STRING_SETTING
#undef LIST_SETTING
#undef INT_SETTING
};

/// Reads one file's values and remembers the first thing that is wrong.
class SettingsReader {
 public:
  SettingsReader(const json& values, std::string_view file, Error* reason)
      : m_values(values), m_file(file), m_reason(reason) {}

  /// Notes a fault with file, key and reason.
  void Refuse(std::string_view key, std::string_view why) {
    if (m_failed) {
      return;
    }
    m_failed = true;
    std::string detail(m_file);
    detail += ": ";
    detail += key;
    detail += ": ";
    detail += why;
    Fail(m_reason, ErrorKind::kBadSettings, detail);
  }

  void ReadString(std::string_view key, bool required, std::string* out) {
    const auto found = m_values.find(key);
    if (found == m_values.end()) {
      if (required) {
        Refuse(key, "is required");
      }
      return;
    }
    if (!found->is_string()) {
      Refuse(key, "must be a string");
      return;
    }
    *out = found->get<std::string>();
    if (required && out->empty()) {
      Refuse(key, "must not be empty");
    }
  }

  void ReadList(std::string_view key, std::vector<std::string>* out) {
    const auto found = m_values.find(key);
    if (found == m_values.end()) {
      return;
    }
    if (!found->is_array()) {
      Refuse(key, "must be a list of strings");
      return;
    }
    for (const json& entry : *found) {
      if (!entry.is_string()) {
        Refuse(key, "must be a list of strings");
        return;
      }
      out->push_back(entry.get<std::string>());
    }
  }

  void ReadInteger(std::string_view key,
                   int64_t lowest,
                   int64_t highest,
                   int64_t* out) {
    const auto found = m_values.find(key);
    if (found == m_values.end()) {
      return;
    }
    if (!found->is_number_integer()) {
      Refuse(key, "must be a whole number");
      return;
    }
    *out = found->get<int64_t>();
    if (*out < lowest || *out > highest) {
      Refuse(key, "must be between " + std::to_string(lowest) + " and " +
                      std::to_string(highest));
    }
  }

  void RefuseUnknownKeys() {
    for (const auto& [key, value] : m_values.items()) {
      if (std::find(std::begin(kKeys), std::end(kKeys), key) ==
          std::end(kKeys)) {
        Refuse(key, "is not a setting");
      }
    }
  }

  void CheckAddress(std::string_view key, const std::string& value) {
    if (!value.empty() && !ParseHostPort(value).has_value()) {
      Refuse(key, "must be IP:PORT");
    }
  }

  bool Failed() const { return m_failed; }

 private:
  const json& m_values;     ///< Parsed file.
  std::string_view m_file;  ///< For messages.
  Error* m_reason;          ///< Filled at the first fault.
  bool m_failed = false;    ///< Something was wrong.
};

/// Checks what depends on more than one key.
void CheckClashes(const Settings& settings, SettingsReader* reader) {
  const bool is_agent = settings.role == "agent";
  if (!is_agent && settings.role != "balancer") {
    reader->Refuse("role", "must be \"balancer\" or \"agent\"");
  }
  if (settings.name.size() > kMaxNameLength) {
    reader->Refuse("name", "must have at most 128 characters");
  }
  if (is_agent && settings.service.empty()) {
    reader->Refuse("service", "is required for an agent");
  }
  if (is_agent && settings.backend_address.empty()) {
    reader->Refuse("backend_address", "is required for an agent");
  }
  if (!is_agent && !settings.service.empty()) {
    reader->Refuse("service", "is only for an agent");
  }
  if (settings.removal_ms < settings.heartbeat_ms * 5) {
    reader->Refuse("removal_ms", "must be at least five times heartbeat_ms");
  }
  reader->CheckAddress("data_address", settings.data_address);
  reader->CheckAddress("control_address", settings.control_address);
  reader->CheckAddress("admin_address", settings.admin_address);
  reader->CheckAddress("metrics_address", settings.metrics_address);
  reader->CheckAddress("store_address", settings.store_address);
  reader->CheckAddress("backend_address", settings.backend_address);
  reader->CheckAddress("load_address", settings.load_address);
  reader->CheckAddress("answer_address", settings.answer_address);
  reader->CheckAddress("report_address", settings.report_address);
  reader->CheckAddress("outbound_address", settings.outbound_address);
  for (const std::string& seed : settings.seeds) {
    reader->CheckAddress("seeds", seed);
  }
}

}  // namespace

std::optional<Settings> ParseSettings(std::string_view text,
                                      std::string_view file,
                                      Error* reason) {
  const json values = json::parse(text, nullptr, false, true);
  SettingsReader reader(values, file, reason);
  if (values.is_discarded() || !values.is_object()) {
    reader.Refuse("(file)", "is not a JSON object");
    return std::nullopt;
  }
  Settings settings;
#define STRING_SETTING(key, required, fallback, help) \
  reader.ReadString(#key, required, &settings.key);
#define LIST_SETTING(key, help) reader.ReadList(#key, &settings.key);
#define INT_SETTING(key, fallback, lowest, highest, help) \
  reader.ReadInteger(#key, lowest, highest, &settings.key);
#include "src/daemon/settings_table.inc"
#undef STRING_SETTING
#undef LIST_SETTING
#undef INT_SETTING
  reader.RefuseUnknownKeys();
  CheckClashes(settings, &reader);
  if (reader.Failed()) {
    return std::nullopt;
  }
  return settings;
}

std::optional<Settings> LoadSettings(const std::string& file, Error* reason) {
  std::ifstream stream(file);
  if (!stream) {
    Fail(reason, ErrorKind::kBadSettings, file + ": cannot be read");
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str(), file, reason);
}

std::string DescribeSettings() {
  std::ostringstream text;
  text << "# Settings\n\nMade by `medlargauged --print_settings_doc`; do not "
          "edit. Settings files are JSON\nwith comments.\n\n"
          "| key | type | default | bounds | meaning |\n"
          "| --- | --- | --- | --- | --- |\n";
#define STRING_SETTING(key, required, fallback, help)                 \
  text << "| `" #key "` | string | "                                  \
       << ((required) ? "required" : "`\"" fallback "\"`") << " | | " \
       << (help) << " |\n";
#define LIST_SETTING(key, help) \
  text << "| `" #key "` | list of strings | `[]` | | " << (help) << " |\n";
#define INT_SETTING(key, fallback, lowest, highest, help)                  \
  text << "| `" #key "` | integer | `" << (fallback) << "` | " << (lowest) \
       << " to " << (highest) << " | " << (help) << " |\n";
#include "src/daemon/settings_table.inc"
#undef STRING_SETTING
#undef LIST_SETTING
#undef INT_SETTING
  return text.str();
}

}  // namespace medlargauge
