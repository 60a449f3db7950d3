// @file log_writer.cc Bounded buffer in front of standard output.
#include "src/runtime/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace medlargauge {
namespace {

/// Lines that would exceed this are dropped.
constexpr size_t kMaxBufferedBytes = 256U << 10U;
/// A writable pipe accepts this much without blocking (PIPE_BUF on Linux).
constexpr size_t kWriteChunkBytes = 4096;
constexpr Duration kFlushInterval = Milliseconds(200);

std::string_view LevelName(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "";
}

}  // namespace

LogWriter::LogWriter(EventLoop* loop) {
  SetEventSink([this](Severity severity, std::string_view line) {
    Append(severity, line);
  });
  loop->Every(kFlushInterval, [this] { Flush(); });
}

LogWriter::~LogWriter() {
  Flush();
  SetEventSink(nullptr);
}

void LogWriter::Append(Severity severity, std::string_view line) {
  if (m_buffer.size() + line.size() > kMaxBufferedBytes) {
    ++m_dropped_lines;
    return;
  }
  const int64_t wall_time_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  const auto append_line = [&](std::string_view level, std::string_view text) {
    m_buffer += "time_ms=" + std::to_string(wall_time_ms) + " level=";
    m_buffer += level;
    m_buffer += ' ';
    m_buffer += text;
    m_buffer += '\n';
  };
  if (m_dropped_lines > 0) {
    append_line("warning", "event=log_lines_dropped count=" +
                               std::to_string(m_dropped_lines));
    m_dropped_lines = 0;
  }
  append_line(LevelName(severity), line);
  if (severity != Severity::kInfo) {
    Flush();
  }
}

void LogWriter::Flush() {
  while (!m_buffer.empty()) {
    pollfd poll_entry{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&poll_entry, 1, 0) != 1 || (poll_entry.revents & POLLOUT) == 0) {
      return;
    }
    const size_t size = std::min(m_buffer.size(), kWriteChunkBytes);
    const ssize_t written = write(STDOUT_FILENO, m_buffer.data(), size);
    if (written <= 0) {
      return;
    }
    m_buffer.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace medlargauge
