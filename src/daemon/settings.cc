// @file settings.cc Parsing and documentation of the settings of
// settings_table.inc.
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

/// Keys of all settings.
constexpr std::string_view kSettingKeys[] = {
#define STRING_SETTING(key, required, fallback, help) #key,
#define LIST_SETTING(key, help) #key,
#define INT_SETTING(key, fallback, lowest, highest, help) #key,
#define REAL_SETTING(key, fallback, lowest, highest, help) #key,
#include "src/daemon/settings_table.inc"
#undef STRING_SETTING
#undef LIST_SETTING
#undef INT_SETTING
#undef REAL_SETTING
};

/// Reads the values of a settings file and records the first fault.
class SettingsReader {
 public:
  SettingsReader(const json& values, std::string_view file, Error* reason)
      : m_values(values), m_file(file), m_reason(reason) {}

  /// Records a fault of a key, with the rule that its value breaks, unless
  /// there is an earlier fault.
  void ReportFault(std::string_view key, std::string_view rule) {
    if (m_has_fault) {
      return;
    }
    m_has_fault = true;
    std::string detail(m_file);
    detail += ": ";
    detail += key;
    detail += ": ";
    detail += rule;
    Fail(m_reason, ErrorKind::kBadSettings, detail);
  }

  void ReadString(std::string_view key, bool required, std::string* out) {
    const auto found = m_values.find(key);
    if (found == m_values.end()) {
      if (required) {
        ReportFault(key, "is required, but missing");
      }
      return;
    }
    if (!found->is_string()) {
      ReportFault(key, "must be a string");
      return;
    }
    *out = found->get<std::string>();
    if (required && out->empty()) {
      ReportFault(key, "is required and must not be empty");
    }
  }

  void ReadList(std::string_view key, std::vector<std::string>* out) {
    const auto found = m_values.find(key);
    if (found == m_values.end()) {
      return;
    }
    if (!found->is_array()) {
      ReportFault(key, "must be a list of strings");
      return;
    }
    for (const json& entry : *found) {
      if (!entry.is_string()) {
        ReportFault(key, "must be a list of strings");
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
      ReportFault(key, "must be a whole number");
      return;
    }
    *out = found->get<int64_t>();
    if (*out < lowest || *out > highest) {
      ReportFault(key, "must be between " + std::to_string(lowest) + " and " +
                           std::to_string(highest));
    }
  }

  void ReadReal(std::string_view key,
                double lowest,
                double highest,
                double* out) {
    const auto found = m_values.find(key);
    if (found == m_values.end()) {
      return;
    }
    if (!found->is_number()) {
      ReportFault(key, "must be a number");
      return;
    }
    *out = found->get<double>();
    if (*out < lowest || *out > highest) {
      std::ostringstream rule;
      rule << "must be between " << lowest << " and " << highest;
      ReportFault(key, rule.str());
    }
  }

  void CheckUnknownKeys() {
    for (const auto& [key, value] : m_values.items()) {
      if (std::find(std::begin(kSettingKeys), std::end(kSettingKeys), key) ==
          std::end(kSettingKeys)) {
        ReportFault(key, "is not a setting");
      }
    }
  }

  void CheckAddress(std::string_view key, const std::string& value) {
    if (!value.empty() && !ParseHostPort(value).has_value()) {
      ReportFault(key, "must be an IPv4 address and a port, as IP:PORT");
    }
  }

  bool HasFault() const { return m_has_fault; }

 private:
  const json& m_values;      ///< Parsed settings file.
  std::string_view m_file;   ///< Name of the file for error messages.
  Error* m_reason;           ///< Receives the first fault.
  bool m_has_fault = false;  ///< Whether a fault was found.
};

/// Checks the rules that go beyond the type and bounds of a single setting.
void CheckConflicts(const Settings& settings, SettingsReader* reader) {
  const bool is_agent = settings.role == "agent";
  if (!is_agent && settings.role != "balancer") {
    reader->ReportFault("role", "must be \"balancer\" or \"agent\"");
  }
  if (settings.name.size() > kMaxNameLength) {
    reader->ReportFault("name", "must have at most 128 characters");
  }
  if (is_agent && settings.service.empty()) {
    reader->ReportFault("service", "is required for role \"agent\"");
  }
  if (is_agent && settings.backend_address.empty()) {
    reader->ReportFault("backend_address", "is required for role \"agent\"");
  }
  if (!is_agent && !settings.service.empty()) {
    reader->ReportFault("service", "is only allowed for role \"agent\"");
  }
  if (settings.placement != "sample" &&
      settings.placement != "expected_finish") {
    reader->ReportFault("placement",
                        "must be \"sample\" or \"expected_finish\"");
  }
  if (settings.removal_ms < settings.heartbeat_ms * 5) {
    reader->ReportFault("removal_ms",
                        "must be at least five times heartbeat_ms");
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
    reader.ReportFault("(content)", "must be a JSON object");
    return std::nullopt;
  }
  Settings settings;
#define STRING_SETTING(key, required, fallback, help) \
  reader.ReadString(#key, required, &settings.key);
#define LIST_SETTING(key, help) reader.ReadList(#key, &settings.key);
#define INT_SETTING(key, fallback, lowest, highest, help) \
  reader.ReadInteger(#key, lowest, highest, &settings.key);
#define REAL_SETTING(key, fallback, lowest, highest, help) \
  reader.ReadReal(#key, lowest, highest, &settings.key);
#include "src/daemon/settings_table.inc"
#undef STRING_SETTING
#undef LIST_SETTING
#undef INT_SETTING
#undef REAL_SETTING
  reader.CheckUnknownKeys();
  CheckConflicts(settings, &reader);
  if (reader.HasFault()) {
    return std::nullopt;
  }
  return settings;
}

std::optional<Settings> LoadSettings(const std::string& file, Error* reason) {
  std::ifstream stream(file);
  if (!stream) {
    Fail(reason, ErrorKind::kBadSettings,
         file + ": cannot read the settings file");
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
#define REAL_SETTING(key, fallback, lowest, highest, help)                \
  text << "| `" #key "` | number | `" << (fallback) << "` | " << (lowest) \
       << " to " << (highest) << " | " << (help) << " |\n";
#include "src/daemon/settings_table.inc"
#undef STRING_SETTING
#undef LIST_SETTING
#undef INT_SETTING
#undef REAL_SETTING
  return text.str();
}

}  // namespace medlargauge
