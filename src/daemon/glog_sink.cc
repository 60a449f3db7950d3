// @file glog_sink.cc Mapping of event severities to glog severities.
#include "src/daemon/glog_sink.h"

#include <glog/logging.h>

#include "src/core/event_log.h"

namespace medlargauge {

void SendEventsToGlog() {
  SetEventSink([](Severity severity, std::string_view line) {
    switch (severity) {
      case Severity::kInfo:
        LOG(INFO) << line;
        break;
      case Severity::kWarning:
        LOG(WARNING) << line;
        break;
      case Severity::kError:
        LOG(ERROR) << line;
        break;
    }
  });
}

}  // namespace medlargauge
