// @file log_writer.h Non-blocking output of the log to standard output.
#ifndef MEDLARGAUGE_RUNTIME_LOG_WRITER_H_
#define MEDLARGAUGE_RUNTIME_LOG_WRITER_H_

#include <string>

#include "src/core/event_log.h"
#include "src/runtime/event_loop.h"

namespace medlargauge {

/// Writes the event lines of this process to standard output, each with a
/// timestamp and its level. Lines wait in a bounded buffer until standard
/// output is writable; lines that do not fit are dropped, and their number is
/// logged. Warnings and errors are written at once, as a process that is killed
/// loses the lines that wait. Not thread-safe.
class LogWriter {
 public:
  /// Installs this object as the event sink of the process. `loop` must not
  /// run any more once this object is destroyed.
  explicit LogWriter(EventLoop* loop);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;
  /// Writes the remaining lines as far as possible without blocking, and resets
  /// the event sink.
  ~LogWriter();

 private:
  void Append(Severity severity, std::string_view line);
  void Flush();

  std::string m_buffer;          ///< Lines to be written.
  uint64_t m_dropped_lines = 0;  ///< Since the last line that fitted.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_LOG_WRITER_H_
