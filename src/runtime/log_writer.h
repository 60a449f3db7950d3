// @file log_writer.h Log lines to standard output without ever blocking.
#ifndef MEDLARGAUGE_RUNTIME_LOG_WRITER_H_
#define MEDLARGAUGE_RUNTIME_LOG_WRITER_H_

#include <string>

#include "src/core/event_log.h"
#include "src/runtime/event_loop.h"

namespace medlargauge {

/// Takes over the process's event lines. Lines wait in a bounded buffer until
/// standard output can take them; what does not fit is counted. Not
/// thread-safe.
class LogWriter {
 public:
  explicit LogWriter(EventLoop* loop);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;
  /// Writes what is left, as far as standard output takes it.
  ~LogWriter();

 private:
  void Add(Severity severity, std::string_view line);
  void Flush();

  std::string m_buffer;    ///< Lines not yet written.
  uint64_t m_dropped = 0;  ///< Lines lost since the last that fitted.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_LOG_WRITER_H_
